// Package node assembles a router that serves callers on a platform, and runs
// its life cycle: start, serve, leave, stop.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/base/version"
	"damaskrouter.example/damaskrouter/internal/edge/callers"
	"damaskrouter.example/damaskrouter/internal/edge/entry"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"damaskrouter.example/damaskrouter/internal/edge/forward"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"
)

// Error is the class of failures to start.
var Error = errs.Class("router")

const (
	// addressTTL is how long callers may keep an answer about addresses. A
	// router that leaves is out of use after it.
	addressTTL = 2 * time.Second
	// leaseShare is the part of the bound for revoked keys for which a
	// configuration may be used after its last confirmation. The rest covers
	// what lies between the check and the send, and watches of a store that
	// hear late.
	leaseShare = 0.7
	// idleTimeout closes callers' connections that are idle. It is above the
	// longest that operators allow a caller to reuse a connection after.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds how slowly a request's header may come.
	headerTimeout = 5 * time.Second
	// maxHeader bounds a request's header, in bytes.
	maxHeader = 64 << 10
	// reviewInterval is how often the engines are compared with one another.
	reviewInterval = 500 * time.Millisecond
	// memoryShare is the part of the VM's memory at which the garbage
	// collector works harder; the rest is for buffers of the kernel.
	memoryShare = 0.7
)

// Platform is what the platform's adapter provides.
type Platform struct {
	Codec          forward.Codec
	Store          func(address string) Store
	MountDirectory func(*echo.Echo, func(entry.Question) entry.Answer)
	MountReady     func(*echo.Echo, func() bool)
}

// Router is one running router.
type Router struct {
	// inForce are the settings that this router runs with.
	inForce atomic.Pointer[inForce]
	// watcher watches the settings file, nil where nobody does.
	watcher atomic.Pointer[settings.Watcher]
	log     *log.Logger
	plat    Platform

	// began is the boot time of the router's making, boot tells it from others of its name.
	began time.Duration
	boot  uint64

	store     *currentStore
	board     *feed.Board
	loads     *feed.Loads
	start     *feed.Start
	reader    *feed.Reader
	follower  *feed.Follower
	statuses  *feed.Statuses
	keeper    *feed.Keeper
	engines   *forward.Engines
	gates     *flow.Owner
	places    *flow.Asker
	forwarder *forward.Forwarder
	gossip    *gossip.Driver
	caller    *peer.Caller
	calls     *peer.Server
	counters  peer.Counters
	mounts    []mount
	self      feed.Peer
	// peersAlive are the routers that seem alive and stay, nil until this one is a member.
	peersAlive atomic.Pointer[[]feed.Peer]

	servers servers
	// callers bounds the connections of callers.
	callers *callers.Limit
	leaving atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New assembles a router; Start makes it serve.
func New(set *settings.Settings, plat Platform, logger *log.Logger) *Router {
	r := &Router{plat: plat, log: logger.With("router", set.Name), began: bootclock.Now(), boot: rand.Uint64()}
	r.inForce.Store(&inForce{set: set, digest: set.Digest(), since: bootclock.Now()})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.self = feed.Peer{
		Name: set.Name, Site: set.Site, Address: r.peerAddress(r.advertised()), Link: uint64(set.Limits.LinkMbps),
	}
	r.assembleFeed()
	r.assembleForwarder()
	return r
}

// changeBound is how long a change of the configuration, of an engine or of an evacuation may take
// to be in force at all routers.
func (r *Router) changeBound() time.Duration {
	b := r.set().Bounds
	bound := min(b.Config, b.Drain)
	if b.Evacuate > 0 {
		bound = min(bound, b.Evacuate)
	}
	return time.Duration(bound)
}

// keyLease is how long after its last confirmation a configuration may be used for requests
// with API keys.
func (r *Router) keyLease() time.Duration {
	return time.Duration(leaseShare * float64(r.set().Bounds.Revoke))
}

// timing follows from the bounds on changes.
func (r *Router) timing() feed.Timing { return feed.TimingFor(r.changeBound()) }

func (r *Router) assembleFeed() {
	r.callers = callers.New(r.mostCallers)
	r.start = r.startOf()
	r.store = newCurrentStore(r.plat.Store, r.set().Store)
	contacts := feed.Contacts{Table: r.store}
	r.board = feed.NewBoard(bootclock.Now, time.Duration(r.set().Bounds.Beat))
	r.loads = feed.NewLoads(func() map[string]feed.EngineLoad { return r.engines.Own() })
	r.reader = &feed.Reader{
		Board: r.board, Store: r.store, Clock: bootclock.Now, Log: r.log,
		Timing:     r.timing,
		Start:      r.start,
		Reads:      func() bool { return r.follower.Reads() },
		OthersLost: func() bool { return r.follower.ToldLost() },
		LostAgo:    func() time.Duration { return r.follower.LostAgo() },
	}
	r.caller = peer.NewCaller(r.self.Name, r.fleetKeys, &r.counters)
	r.calls = peer.NewServer(r.self.Name, r.fleetKeys, &r.counters)
	r.statuses = feed.NewStatuses(r.status, bootclock.Now)
	r.follower = &feed.Follower{
		Self: r.self, Board: r.board, Loads: r.loads, Clock: bootclock.Now, Log: r.log,
		Timing: r.timing, Start: r.start, Contacts: contacts, Statuses: r.statuses, Live: r.live, StoreLost: r.reader.Lost,
		Call: r.call,
	}
	r.keeper = &feed.Keeper{Contacts: contacts, Reads: r.follower.Reads, Live: r.live, Clock: bootclock.Now, Log: r.log}
}

// call calls a method of another router.
func (r *Router) call(ctx context.Context, to feed.Peer, method string, args, reply any) error {
	return r.caller.Call(ctx, peer.Target{Name: to.Name, Address: to.Address}, method, args, reply)
}

func (r *Router) assembleForwarder() {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.engines = forward.NewEngines(r.self.Site, r.loads.Others, bootclock.Now, rng)
	r.engines.SetColdLimits(r.coldLimits)
	r.gates = flow.NewOwner(bootclock.Now, r.engines.Known, r.leaves)
	r.places = flow.NewAsker(flow.Options{
		Self: r.self.Name, Owner: r.gates, Clock: bootclock.Now, Call: r.call, Live: r.live,
		Engines: func() int { return len(r.board.Snapshot().Engines.ByID) }, Log: r.log,
	})
	r.engines.ReleaseBy(r.places.Release)
	conns := engineconn.NewPool(engineconn.Options{Clock: bootclock.Now})
	r.engines.OnRestart(func(engine string) {
		r.log.Info("engine started again", "engine", engine)
		go conns.Drop(engine)
	})
	r.forwarder = forward.New(forward.Options{
		Snapshot: r.board.Snapshot, Clock: bootclock.Now, Codec: r.plat.Codec,
		Conns: conns, Engines: r.engines, Places: r.places,
		Log:       r.log,
		FreshFor:  r.changeBound,
		StoreLost: func() bool { return r.follower.Lost() || r.reader.Lost() },
		KeyLease:  r.keyLease,
		Settings:  func() string { return r.inForce.Load().digest },
		Budget:    forward.NewBudgets(r.budgetLimits, r.routers),
		Routers:   r.routers,
	})
}

// leaves says whether an engine is known to take no more requests.
func (r *Router) leaves(engine string) bool {
	s := r.board.Snapshot()
	e, known := s.Engines.ByID[engine]
	return known && !s.TakesRequests(e)
}

func (r *Router) coldLimits() forward.ColdLimits {
	b := r.set().Bounds
	return forward.ColdLimits{Over: b.ColdOver, Slack: b.ColdSlack}
}

func (r *Router) budgetLimits() forward.BudgetLimits {
	b := r.set().Bounds
	return forward.BudgetLimits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: time.Duration(b.RetryWindow)}
}

// Start listens and begins to serve.
func (r *Router) Start() error {
	r.limitMemory()
	if err := r.listen(); err != nil {
		r.Close()
		return Error.Wrap(err)
	}
	set := r.set()
	r.log.Info("started", "site", set.Site, "callers", set.Listen.Callers, "peers", r.self.Address,
		"seeds", set.Seeds, "store", set.Store, "settings", r.inForce.Load().digest, "version", version.String())
	return nil
}

func (r *Router) listen() error {
	if err := r.startPeers(); err != nil {
		return err
	}
	r.goRun(r.board.Run)
	r.goRun(r.reader.Run)
	r.goRun(r.follower.Run)
	r.goRun(r.keeper.Run)
	r.goRun(r.logFleet)
	r.goRun(r.review)
	r.goRun(r.gates.Run)
	forCallers := r.newServer(r.forwarder)
	r.callers.Attach(forCallers)
	if err := r.servers.open(r, listenCallers, r.set().Listen.Callers, forCallers); err != nil {
		return err
	}
	r.mounts = r.mount()
	return r.openMounts()
}

// The listeners, as logged.
const (
	listenCallers   = "callers"
	listenDirectory = "directory"
	listenReady     = "ready"
	listenControl   = "control"
	listenMetrics   = "metrics"
)

// mount is a handler and where it is served, which settings may change.
type mount struct {
	name    string
	handler http.Handler
	address func(settings.Listen) string
}

func (r *Router) mount() []mount {
	directory, ready, control, metrics := newEcho(), newEcho(), newEcho(), newEcho()
	r.plat.MountDirectory(directory, r.addresses)
	r.plat.MountReady(ready, r.ready)
	vars := r.vars()
	for _, e := range []*echo.Echo{control, metrics} {
		mountMetrics(e, vars)
		r.mountOperators(e)
	}
	return []mount{
		{listenDirectory, directory, func(l settings.Listen) string { return l.Directory }},
		{listenReady, ready, func(l settings.Listen) string { return l.Ready }},
		{listenControl, control, func(l settings.Listen) string { return l.Control }},
		{listenMetrics, metrics, func(l settings.Listen) string { return l.Metrics }},
	}
}

// openMounts serves each handler where the settings in force say.
func (r *Router) openMounts() error {
	var errs []error
	for _, m := range r.mounts {
		errs = append(errs, r.servers.open(r, m.name, m.address(r.set().Listen), r.newServer(m.handler)))
	}
	return errors.Join(errs...)
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (r *Router) goRun(f func(context.Context)) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f(r.ctx)
	}()
}

// review logs the changes of the judgement on engines.
func (r *Router) review(ctx context.Context) {
	cold := map[string]time.Duration{}
	for pause.For(ctx, reviewInterval) {
		cold = r.logCold(cold)
		for _, v := range r.engines.Review(r.board.Snapshot()) {
			r.log.Info("engine judged", "engine", v.Engine, "service", v.Service, "ejected", v.Ejected,
				"good", v.Evidence.Good, "bad", v.Evidence.Bad)
		}
	}
}

// logCold logs which engines are cold now and were not before, and the reverse.
func (r *Router) logCold(before map[string]time.Duration) map[string]time.Duration {
	now := r.engines.Cold(r.board.Snapshot())
	for id, left := range now {
		if _, was := before[id]; !was {
			r.log.Info("engine cold", "engine", id, "for", left)
		}
	}
	for id := range before {
		if _, still := now[id]; !still {
			r.log.Info("engine warm", "engine", id)
		}
	}
	return now
}

// addresses answers a caller. A router that leaves sends callers to the others;
// one that knows no other names itself.
func (r *Router) addresses(q entry.Question) entry.Answer {
	var routers []entry.Router
	for _, p := range r.live() {
		if p.Name == r.self.Name && r.leaving.Load() {
			continue
		}
		routers = append(routers, entry.Router{Name: p.Name, Site: p.Site, Address: r.callersAddress(p.Address)})
	}
	if len(routers) == 0 {
		routers = []entry.Router{{Name: r.self.Name, Site: r.self.Site, Address: r.advertised()}}
	}
	return entry.Answers(r.self.Name, routers, q, min(addressTTL, time.Duration(r.set().Bounds.MaxTTL)))
}

// ready says whether callers' requests can be served.
func (r *Router) ready() bool {
	s := r.board.Snapshot()
	return !r.leaving.Load() && s.Config != nil && s.ConfigAge(bootclock.Now()) < r.keyLease()
}

// Close stops at once; Leave comes first in a graceful shutdown.
func (r *Router) Close() {
	r.servers.close()
	r.cancel()
	r.calls.Close()
	r.caller.Close()
	if r.gossip != nil {
		r.gossip.Close()
	}
	r.forwarder.Conns.Close()
	r.wg.Wait()
}
