package node

import (
	"context"
	"os"
	"runtime/debug"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"github.com/charmbracelet/log"
)

// inForce are the settings that a router runs with. It is immutable.
type inForce struct {
	set *settings.Settings
	// digest tells them apart from those of other routers; since is the boot time at which
	// they took effect.
	digest string
	since  time.Duration
	// waiting are the fields of the file that take effect at the next start.
	waiting []string
}

// set returns the settings in force.
func (r *Router) set() *settings.Settings { return r.inForce.Load().set }

// Watch takes over changes of the settings file until the context ends. Started is the content
// with which the router was made; a value from hangups asks to look at the file at once.
func (r *Router) Watch(ctx context.Context, file string, started []byte, hangups <-chan os.Signal) {
	w := &settings.Watcher{File: file, Apply: r.Apply, Log: r.log}
	r.watcher.Store(w)
	w.Run(ctx, started, hangups)
}

// Apply puts changed settings in force, without cutting anything. What takes effect at a restart
// only is said, and stays as it is. It is called by one goroutine.
func (r *Router) Apply(given *settings.Settings) {
	before := r.inForce.Load()
	next := &inForce{set: settings.Effective(before.set, given), since: before.since}
	next.digest = next.set.Digest()
	waiting := settings.Changes(next.set, given)
	for _, c := range waiting {
		next.waiting = append(next.waiting, c.Path)
	}
	live := settings.Changes(before.set, next.set)
	if len(live) > 0 {
		next.since = bootclock.Now()
	}
	r.inForce.Store(next)
	r.logChanges(live, waiting, next)
	r.follow(live, next.set)
}

// logChanges writes what has changed, one line a field.
func (r *Router) logChanges(live, waiting []settings.Change, next *inForce) {
	for _, c := range live {
		r.log.Info("setting changed", "setting", c.Path, "from", c.From, "to", c.To, "in_force", true)
	}
	for _, c := range waiting {
		r.log.Warn("setting takes effect at the next start", "setting", c.Path, "from", c.From, "to", c.To, "in_force", false)
	}
	r.log.Info("settings read", "settings", next.digest, "changed", len(live), "wait_for_restart", len(waiting))
}

// follow makes what does not look at the settings each time follow them.
func (r *Router) follow(changes []settings.Change, set *settings.Settings) {
	for _, c := range changes {
		switch c.Path {
		case "log_level":
			r.setLogLevel(set.LogLevel)
		case "store":
			r.store.move(set.Store)
		case "seeds":
			r.followed(c.Path, r.gossip.SetSeeds(r.seedAddresses()))
		case "fleet_key", "other_fleet_key":
			r.followed(c.Path, r.gossip.SetKeys(r.gossipKeys()))
		case "limits.memory_mb":
			r.limitMemory()
		case "bounds.beat_ms":
			r.board.SetBeat(time.Duration(set.Bounds.Beat))
		case "listen.ready", "listen.directory", "listen.control", "listen.metrics":
			r.followed(c.Path, r.openMounts())
		}
	}
}

// followed logs a change that could not be made.
func (r *Router) followed(setting string, err error) {
	if err != nil {
		r.log.Error("setting changed, but is not in force", "setting", setting, "cause", err)
	}
}

func (r *Router) setLogLevel(name string) {
	level, err := log.ParseLevel(name)
	if err != nil {
		// Settings are checked; the names are the library's.
		r.followed("log_level", err)
		return
	}
	r.log.SetLevel(level)
}

// limitMemory makes the garbage collector work harder near the VM's memory.
func (r *Router) limitMemory() {
	debug.SetMemoryLimit(int64(memoryShare * float64(r.set().Limits.MemoryMB) * (1 << 20)))
}
