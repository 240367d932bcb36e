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

// activeSettings holds the active settings of a router. It is immutable.
type activeSettings struct {
	settings *settings.Settings
	// digest allows a comparison with the settings of other routers; since is when the settings
	// took effect, on the boot clock.
	digest string
	since  time.Duration
	// pendingRestart lists the changed fields of the file that take effect at the next start.
	pendingRestart []string
}

// settings returns the active settings.
func (r *Router) settings() *settings.Settings { return r.active.Load().settings }

// Watch applies changes of the settings file until the context ends. The parameter initial is the
// content with which the router was created. A value from hangups requests an immediate check of
// the file.
func (r *Router) Watch(ctx context.Context, file string, initial []byte, hangups <-chan os.Signal) {
	w := &settings.Watcher{File: file, Apply: r.Apply, Log: r.log}
	r.watcher.Store(w)
	w.Run(ctx, initial, hangups)
}

// Apply activates changed settings without interrupting requests. Changes that take effect only at
// a restart are logged and not applied. It must not be called concurrently.
func (r *Router) Apply(given *settings.Settings) {
	before := r.active.Load()
	next := &activeSettings{settings: settings.Effective(before.settings, given), since: before.since}
	next.digest = next.settings.Digest()
	pending := settings.Changes(next.settings, given)
	for _, c := range pending {
		next.pendingRestart = append(next.pendingRestart, c.Path)
	}
	live := settings.Changes(before.settings, next.settings)
	if len(live) > 0 {
		next.since = bootclock.Now()
	}
	r.active.Store(next)
	r.logChanges(live, pending, next)
	r.propagate(live, next.settings)
}

// logChanges logs the changes, one line per field.
func (r *Router) logChanges(live, pending []settings.Change, next *activeSettings) {
	for _, c := range live {
		r.log.Info("setting changed", "setting", c.Path, "from", c.From, "to", c.To, "in_force", true)
	}
	for _, c := range pending {
		r.log.Warn("setting takes effect at the next start", "setting", c.Path, "from", c.From, "to", c.To, "in_force", false)
	}
	r.log.Info("settings read", "settings", next.digest, "changed", len(live), "wait_for_restart", len(pending))
}

// propagate applies changes to the components that don't read the settings at each use.
func (r *Router) propagate(changes []settings.Change, current *settings.Settings) {
	for _, c := range changes {
		switch c.Path {
		case "log_level":
			r.setLogLevel(current.LogLevel)
		case "store":
			r.store.setAddress(current.Store)
		case "seeds":
			r.logApplyError(c.Path, r.gossip.SetSeeds(r.seedAddresses()))
		case "fleet_key", "other_fleet_key":
			r.logApplyError(c.Path, r.gossip.SetKeys(r.gossipKeys()))
		case "limits.memory_mb":
			r.limitMemory()
		case "bounds.beat_ms":
			r.board.SetRenewInterval(time.Duration(current.Bounds.Beat))
		case "listen.ready", "listen.directory", "listen.control", "listen.metrics":
			r.logApplyError(c.Path, r.openMounts())
		}
	}
}

// logApplyError logs that a change could not be applied, unless err is nil.
func (r *Router) logApplyError(setting string, err error) {
	if err != nil {
		r.log.Error("failed to apply changed setting", "setting", setting, "cause", err)
	}
}

func (r *Router) setLogLevel(name string) {
	level, err := log.ParseLevel(name)
	if err != nil {
		// Not expected: checked settings allow only levels that the library supports.
		r.logApplyError("log_level", err)
		return
	}
	r.log.SetLevel(level)
}

// limitMemory sets the soft memory limit of the Go runtime, near which the garbage collector runs
// more often, and what requests may hold.
func (r *Router) limitMemory() {
	memory := float64(r.settings().Limits.MemoryMB) * (1 << 20)
	debug.SetMemoryLimit(int64(memoryShare * memory))
	r.forwarder.SetMemory(int64(requestMemoryShare * memory))
}
