// Package node assembles a router that serves callers on a platform, and runs
// its life cycle: start, serve, leave, stop.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/entry"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"damaskrouter.example/damaskrouter/internal/edge/forward"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	storeplatform "damaskrouter.example/damaskrouter/internal/store/platform"
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

// Store is the platform's store: what operators and engines keep there, and rows of the
// project's own.
type Store interface {
	feed.Store
	storeplatform.Table
}

// Platform is what the platform's adapter provides.
type Platform struct {
	Codec          forward.Codec
	Store          func(address string) Store
	MountDirectory func(*echo.Echo, func(entry.Question) entry.Answer)
	MountReady     func(*echo.Echo, func() bool)
}

// Router is one running router.
type Router struct {
	set  *settings.Settings
	log  *log.Logger
	plat Platform

	board     *feed.Board
	loads     *feed.Loads
	start     *feed.Start
	reader    *feed.Reader
	follower  *feed.Follower
	keeper    *feed.Keeper
	engines   *forward.Engines
	gates     *flow.Owner
	places    *flow.Asker
	forwarder *forward.Forwarder
	gossip    *gossip.Driver
	caller    *peer.Caller
	calls     *peer.Server
	counters  peer.Counters
	self      feed.Peer
	// peersAlive are the routers that seem alive and stay, nil until this one is a member.
	peersAlive atomic.Pointer[[]feed.Peer]

	servers []*http.Server
	leaving atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// New assembles a router; Start makes it serve.
func New(set *settings.Settings, plat Platform, logger *log.Logger) *Router {
	r := &Router{set: set, plat: plat, log: logger.With("router", set.Name)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.self = feed.Peer{
		Name: set.Name, Site: set.Site, Address: r.peerAddress(r.advertised()), Link: uint64(set.Limits.LinkMbps),
	}
	r.assembleFeed()
	r.assembleForwarder()
	return r
}

// changeBound is how long a change of the configuration or of an engine may take
// to be in force at all routers.
func (r *Router) changeBound() time.Duration {
	return time.Duration(min(r.set.Bounds.Config, r.set.Bounds.Drain))
}

func (r *Router) assembleFeed() {
	timing := feed.TimingFor(r.changeBound())
	r.start = r.startOf()
	store := r.plat.Store(r.set.Store)
	contacts := feed.Contacts{Table: store}
	r.board = feed.NewBoard(bootclock.Now, time.Duration(r.set.Bounds.Beat))
	r.loads = feed.NewLoads(func() map[string]feed.EngineLoad { return r.engines.Own() })
	r.reader = &feed.Reader{
		Board: r.board, Store: store, Clock: bootclock.Now, Log: r.log,
		Timing:     timing,
		Start:      r.start,
		Reads:      func() bool { return r.follower.Reads() },
		OthersLost: func() bool { return r.follower.ToldLost() },
		LostAgo:    func() time.Duration { return r.follower.LostAgo() },
	}
	r.caller = peer.NewCaller(r.set.Name, r.fleetKeys, &r.counters)
	r.calls = peer.NewServer(r.set.Name, r.fleetKeys, &r.counters)
	r.follower = &feed.Follower{
		Self: r.self, Board: r.board, Loads: r.loads, Clock: bootclock.Now, Log: r.log,
		Timing: timing, Start: r.start, Contacts: contacts, Live: r.live, StoreLost: r.reader.Lost,
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
	r.engines = forward.NewEngines(r.set.Site, r.loads.Others, bootclock.Now, rng)
	r.gates = flow.NewOwner(bootclock.Now, r.engines.Known)
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
	b := r.set.Bounds
	r.forwarder = forward.New(forward.Options{
		Snapshot: r.board.Snapshot, Clock: bootclock.Now, Codec: r.plat.Codec,
		Conns: conns, Engines: r.engines, Places: r.places,
		Log:       r.log,
		FreshFor:  r.changeBound(),
		StoreLost: func() bool { return r.follower.Lost() || r.reader.Lost() },
		KeyLease:  time.Duration(leaseShare * float64(b.Revoke)),
		Budget: forward.NewBudgets(forward.BudgetLimits{
			Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: time.Duration(b.RetryWindow),
		}, r.routers),
		Routers: r.routers,
	})
}

// Start listens and begins to serve.
func (r *Router) Start() error {
	debug.SetMemoryLimit(int64(memoryShare * float64(r.set.Limits.MemoryMB) * (1 << 20)))
	if err := r.listen(); err != nil {
		r.Close()
		return Error.Wrap(err)
	}
	r.log.Info("started", "site", r.set.Site, "callers", r.set.Listen.Callers, "peers", r.self.Address,
		"seeds", r.set.Seeds, "store", r.set.Store)
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
	directory, ready, control := newEcho(), newEcho(), newEcho()
	r.plat.MountDirectory(directory, r.addresses)
	r.plat.MountReady(ready, r.ready)
	vars := r.vars()
	mountMetrics(control, vars)
	if r.set.Listen.Metrics != "" {
		metrics := newEcho()
		mountMetrics(metrics, vars)
		if err := r.serve("metrics", r.set.Listen.Metrics, metrics); err != nil {
			return err
		}
	}
	return errors.Join(
		r.serve("callers", r.set.Listen.Callers, r.forwarder),
		r.serve("directory", r.set.Listen.Directory, directory),
		r.serve("ready", r.set.Listen.Ready, ready),
		r.serve("control", r.set.Listen.Control, control),
	)
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

func (r *Router) serve(name, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     r.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	r.servers = append(r.servers, server)
	r.goRun(func(context.Context) {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("listener failed", "serves", name, "cause", err)
		}
	})
	return nil
}

// review logs the changes of the judgement on engines.
func (r *Router) review(ctx context.Context) {
	for pause.For(ctx, reviewInterval) {
		for _, v := range r.engines.Review(r.board.Snapshot()) {
			r.log.Info("engine judged", "engine", v.Engine, "service", v.Service, "ejected", v.Ejected,
				"good", v.Evidence.Good, "bad", v.Evidence.Bad)
		}
	}
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
	return entry.Answers(routers, q, min(addressTTL, time.Duration(r.set.Bounds.MaxTTL)))
}

// ready says whether callers' requests can be served.
func (r *Router) ready() bool {
	s := r.board.Snapshot()
	return !r.leaving.Load() && s.Config != nil && s.ConfigAge(bootclock.Now()) < r.forwarder.KeyLease
}

// Close stops at once; Leave comes first in a graceful shutdown.
func (r *Router) Close() {
	for _, s := range r.servers {
		_ = s.Close()
	}
	r.cancel()
	r.calls.Close()
	r.caller.Close()
	if r.gossip != nil {
		r.gossip.Close()
	}
	r.forwarder.Conns.Close()
	r.wg.Wait()
}
