package origins

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/origin"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"github.com/charmbracelet/log"
)

// testRouter is a router of a testFleet.
type testRouter struct {
	name     string
	peer     feed.Peer
	registry *Registry
	stop     context.CancelFunc
	// versions are those of the engines that the router knows, of the service "svc".
	versions []string
	// inDoubt is set while all engines are in doubt. provesAfter is how long one that is put in doubt takes to
	// prove its start, and provesNothing is set if it does not.
	inDoubt, provesNothing bool
	provesAfter, doubtedAt time.Duration
	// born is the start that entries of engines state; zero for 1.
	born int64
	// listMu guards versions and listAt, when the router last read the engines; zero for always.
	listMu sync.Mutex
	listAt time.Duration
	// old routers are of an earlier release: they keep no records.
	old bool
	up  bool
	// live lists the routers that this one believes alive; nil for all that are up.
	live []string
}

// testFleet is registries that call one another. Tests change it between their calls only.
type testFleet struct {
	t       *testing.T
	routers map[string]*testRouter
	names   []string
	start   time.Time
	// cut reports whether calls from one router to another get no reply; nil for no cut.
	cut func(from, to string) bool
	// dropSends drops records on their way; nil for none.
	dropSends func(to string) bool
	// mu guards calls and serializes count.
	mu    sync.Mutex
	calls int
	// count is called with each call; nil for nothing.
	count func(from, to string, args any)
}

func newFleet(t *testing.T, routers int, versions ...string) *testFleet {
	f := &testFleet{t: t, routers: make(map[string]*testRouter), start: time.Now()}
	for i := range routers {
		name := fmt.Sprintf("r%d", i)
		f.names = append(f.names, name)
		f.routers[name] = &testRouter{
			name: name, versions: versions, peer: feed.Peer{Name: name, Site: fmt.Sprint("site", i%3), Address: name, Link: 100},
		}
		f.boot(name, true)
	}
	return f
}

func (f *testFleet) now() time.Duration { return time.Hour + time.Since(f.start) }

// boot starts a router with nothing in memory.
func (f *testFleet) boot(name string, firstStart bool) {
	f.bootStopped(name)
	r := f.routers[name]
	if firstStart {
		r.registry.history = origin.NewHistory(f.now(), true)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	r.stop = cancel
	go r.registry.Run(ctx)
	go r.registry.FollowHistory(ctx)
}

// bootStopped replaces the registry of a router by a new one, which does not follow the fleet.
func (f *testFleet) bootStopped(name string) {
	r := f.routers[name]
	r.up = true
	r.registry = New(Options{
		Self: name, Clock: f.now, Log: log.New(io.Discard),
		Call: func(ctx context.Context, to feed.Peer, method string, args, reply any) error {
			return f.call(ctx, name, to, method, args, reply)
		},
		Live:     func() []feed.Peer { return f.live(r) },
		Snapshot: func() *catalog.Snapshot { return f.snapshot(r) },
		InDoubt: func(catalog.Engine, time.Duration) bool {
			return r.inDoubt || r.doubtedAt > 0 && (r.provesNothing || f.now() < r.doubtedAt+r.provesAfter)
		},
		Doubt: func(catalog.Engine, time.Duration) { r.doubtedAt = f.now() },
	})
}

// readEngines lets a router read the engines again during its calls.
func (f *testFleet) readEngines(r *testRouter, versions []string) {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	r.versions, r.listAt = versions, f.now()
}

// kill ends a router as a crash does.
func (f *testFleet) kill(name string) {
	f.routers[name].up = false
	f.routers[name].stop()
}

func (f *testFleet) live(r *testRouter) (out []feed.Peer) {
	names := r.live
	if names == nil {
		for _, name := range f.names {
			if f.routers[name].up {
				names = append(names, name)
			}
		}
	}
	for _, name := range names {
		out = append(out, f.routers[name].peer)
	}
	return out
}

func (f *testFleet) snapshot(r *testRouter) *catalog.Snapshot {
	r.listMu.Lock()
	defer r.listMu.Unlock()
	u := catalog.EngineUpdate{Full: true, Upto: 1}
	for _, version := range r.versions {
		e := engineOf(version)
		e.Born = max(e.Born, r.born)
		u.Present = append(u.Present, e)
	}
	s := catalog.NewSnapshot()
	s.Engines, _ = s.Engines.Apply(u, 0)
	s.EnginesAsOf = f.now()
	if r.listAt > 0 {
		s.EnginesAsOf = r.listAt
	}
	return s
}

func engineOf(version string) catalog.Engine {
	return catalog.Engine{ID: "e-" + version, Service: "svc", Version: version, Born: 1, Revision: 1}
}

func (f *testFleet) call(ctx context.Context, from string, to feed.Peer, method string, args, reply any) error {
	f.mu.Lock()
	f.calls++
	if f.count != nil {
		f.count(from, to.Name, args)
	}
	f.mu.Unlock()
	target := f.routers[to.Name]
	switch {
	case target == nil || !target.up:
		return peer.ErrNotSent.New("down")
	case f.cut != nil && f.cut(from, to.Name):
		<-ctx.Done()
		return peer.ErrNoReply.Wrap(ctx.Err())
	case target.old:
		return peer.ErrRemote.New("rpc: can't find service %s", method)
	}
	service := Service{Registry: target.registry}
	switch method {
	case ReplicateMethod:
		if f.dropSends != nil && f.dropSends(to.Name) {
			return peer.ErrNoReply.New("lost")
		}
		return service.Replicate(args.(ReplicateArgs), reply.(*Empty))
	case FindMethod:
		return service.Find(args.(FindArgs), reply.(*FindReply))
	}
	return service.History(args.(HistoryArgs), reply.(*HistoryReply))
}

// begin begins a stream at a router and an engine of a version.
func (f *testFleet) begin(router, id, version string) {
	f.routers[router].registry.Begin(streamOf(id), 1, engineOf(version), f.now(), false)
}

func streamOf(id string) Stream {
	return Stream{Account: "a", ID: id, Exchange: NewExchange(), Life: 15 * time.Second}
}

// find returns the version at which a router lets a stream continue, or an empty string.
func (f *testFleet) find(router, id string) string {
	found, err := f.routers[router].registry.Find(f.t.Context(), "a", id, []string{"svc"})
	if err != nil {
		return ""
	}
	return found.Version
}
