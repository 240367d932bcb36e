// Package router assembles one router from its parts and runs its life cycle:
// provision, start, serve, drain, stop.
package router

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/secure/secret"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/controller"
	"damaskrouter.example/damaskrouter/internal/serve/quota"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"damaskrouter.example/damaskrouter/internal/serve/traffic"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of failures to start.
var Error = errs.Class("router")

const (
	// maxClaimBatch bounds the claims in one transaction.
	maxClaimBatch = 32
	// readHeaderTimeout bounds how slowly a request's headers may come.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes callers' idle connections before something on the
	// way forgets them.
	idleTimeout = 30 * time.Second
	// cutGrace is how long streams that are cut at the deadline get to end.
	cutGrace = 2 * time.Second
)

// Options changes parts of a router for tests and experiments.
type Options struct {
	// NewStrategy replaces the placement strategy.
	NewStrategy func(*rand.Rand) placement.Strategy
	// Policy replaces the placement policy.
	Policy placement.Policy
	// Gossip replaces the membership options; Seeds are added.
	Gossip membership.Options
	// Seed makes the router's random choices repeatable; 0 draws one.
	Seed uint64
}

// Router is one running router.
type Router struct {
	set  *settings.Settings
	opts Options
	log  *log.Logger

	board     *board.Board
	gossip    *gossip.Driver
	caller    *peer.Caller
	calls     *peer.Server
	counters  peer.Counters
	secrets   *secret.Store
	upstream  *upstream.Client
	admission *admission.Admission
	facts     *admission.Facts
	quota     *quota.Quota
	traffic   *traffic.Server
	chain     *config.Chain
	claims    *claim.Store
	table     platform.Table
	objects   platform.Objects
	stats     *platform.Stats

	vms     *controller.VMs
	configs *controller.Configs
	engines *controller.Engines
	loads   *controller.Loads
	handoff *controller.Handoff
	sweeper *controller.Sweeper

	http    *http.Server
	vars    *expvar.Map
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	address string
	control string
	admin   string
}

// New provisions a router; Start makes it serve.
func New(set *settings.Settings, logger *log.Logger, o Options) (*Router, error) {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	r := &Router{set: set, opts: o, log: logger.With("router", set.Name), vars: new(expvar.Map).Init()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.board = board.New(set.Name)
	return r, nil
}

// Start listens and begins to serve. A router without a configuration
// answers with a typed refusal until it has one.
func (r *Router) Start() error {
	if err := r.start(); err != nil {
		r.Close()
		return Error.Wrap(err)
	}
	r.log.Info("serving", "address", r.address, "control", r.control)
	return nil
}

func (r *Router) start() error {
	control, err := net.Listen("tcp", r.set.ControlListen)
	if err != nil {
		return err
	}
	r.control = control.Addr().String()
	callers, err := net.Listen("tcp", r.set.Listen)
	if err != nil {
		return errors.Join(err, control.Close())
	}
	r.address = callers.Addr().String()
	if err := r.provision(); err != nil {
		return errors.Join(err, control.Close(), callers.Close())
	}
	r.goRun(r.board.Run)
	r.goRun(func(context.Context) { r.calls.Serve(control) })
	if err := r.join(); err != nil {
		return errors.Join(err, control.Close(), callers.Close())
	}
	context.AfterFunc(r.ctx, func() { _ = control.Close() })
	r.goRun(r.watchSecrets)
	r.goRun(r.vms.Run)
	r.goRun(r.configs.Run)
	r.goRun(r.engines.Run)
	r.goRun(r.handoff.Run)
	r.goRun(r.sweeper.Run)
	r.goRun(r.loads.Run)
	r.goRun(r.loads.RunReports)
	r.goRun(r.quota.Run)
	r.serveCallers(r.callerListener(callers))
	return r.serveAdmin()
}

func (r *Router) goRun(f func(context.Context)) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f(r.ctx)
	}()
}

func (r *Router) serveCallers(ln net.Listener) {
	r.http = &http.Server{
		Handler:           r.traffic.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    traffic.MaxHeaderBytes(),
		ErrorLog:          r.log.StandardLog(),
	}
	r.goRun(func(context.Context) {
		if err := r.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("callers' listener failed", "cause", err)
		}
	})
}

// Drain leaves the fleet without cutting a request. Callers keep the address
// for the time to live of their locate answer, so the router leaves the
// answers first and serves on; then it sends newcomers elsewhere and lets what
// runs finish. At the deadline the rest is cut, and callers resume elsewhere.
func (r *Router) Drain(ctx context.Context) {
	r.log.Info("draining")
	r.board.UpdateWait(func(s *board.State) { s.Draining = true })
	if err := r.gossip.Leave(); err != nil {
		r.log.Warn("leaving not announced", "cause", err)
	}
	deadline := time.Now().Add(r.set.Timeouts.Drain)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	pause.For(ctx, r.set.Timeouts.LocateTTL)
	r.traffic.RefuseNew()
	if err := r.traffic.Wait(ctx); err != nil {
		r.log.Warn("drain deadline met; streams are handed on", "cause", err)
		r.traffic.CutStreams()
		wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), cutGrace)
		defer cancel()
		_ = r.traffic.Wait(wait)
	}
	r.log.Info("drained")
}

// Close stops at once; Drain comes first in a graceful shutdown.
func (r *Router) Close() {
	r.cancel()
	if r.http != nil {
		_ = r.http.Close()
	}
	if r.traffic != nil {
		r.traffic.Close()
	}
	if r.gossip != nil {
		r.gossip.Close()
	}
	if r.admission != nil {
		r.admission.Close()
	}
	if r.calls != nil {
		r.calls.Close()
	}
	if r.caller != nil {
		r.caller.Close()
	}
	if r.upstream != nil {
		r.upstream.Close()
	}
	r.wg.Wait()
}

// Address is where callers connect.
func (r *Router) Address() string { return r.address }

// Control is the UDP and RPC address.
func (r *Router) Control() string { return r.control }

// Snapshot is the router's view of the fleet.
func (r *Router) Snapshot() *board.Snapshot { return r.board.Snapshot() }

// Vars are the router's metrics.
func (r *Router) Vars() *expvar.Map { return r.vars }

// ControlBytes is the control traffic so far, in bytes sent and received,
// by membership and load digests over UDP and by calls over TCP.
func (r *Router) ControlBytes() (udp, tcp int64) {
	c := r.gossip.Counters()
	udp = int64(gossip.Total(c.In).Bytes + gossip.Total(c.Out).Bytes)
	return udp, r.counters.In.Load() + r.counters.Out.Load()
}

func newToken() string { return uuid.NewString() }
