// Package router assembles a router from its components and runs its life cycle: provision, start,
// serve, drain, stop.
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

// Error is the class of errors of Start.
var Error = errs.Class("router")

const (
	// maxClaimBatch is the maximum number of claims in one transaction.
	maxClaimBatch = 32
	// readHeaderTimeout bounds the time to read the headers of a request.
	readHeaderTimeout = 5 * time.Second
	// idleTimeout closes idle connections of callers before a device in the network drops their
	// state.
	idleTimeout = 30 * time.Second
	// streamCloseTimeout bounds the wait for streams that are closed at the drain deadline.
	streamCloseTimeout = 2 * time.Second
)

// Options replaces components of a router in tests and experiments.
type Options struct {
	// NewStrategy replaces the placement strategy.
	NewStrategy func(*rand.Rand) placement.Strategy
	// Policy replaces the placement policy.
	Policy placement.Policy
	// Gossip replaces the membership options. The seeds of the settings are added to its Seeds.
	Gossip membership.Options
	// Seed makes the router's random decisions repeatable. If it is 0, a random seed is used.
	Seed uint64
}

// Router is a router of the fleet.
type Router struct {
	set  *settings.Settings
	opts Options
	log  *log.Logger

	board      *board.Board
	gossip     *gossip.Driver
	peerCaller *peer.Caller
	peerServer *peer.Server
	counters   peer.Counters
	secrets    *secret.Store
	upstream   *upstream.Client
	admission  *admission.Admission
	cacheIndex *admission.CacheIndex
	quota      *quota.Quota
	traffic    *traffic.Server
	chain      *config.Chain
	claims     *claim.Store
	table      platform.Table
	objects    platform.Objects
	stats      *platform.Stats

	vms      *controller.VMs
	configs  *controller.Configs
	engines  *controller.Engines
	loads    *controller.Loads
	handoff  *controller.Handoff
	sweeper  *controller.Sweeper
	suspects *controller.Suspects

	http           *http.Server
	vars           *expvar.Map
	ctx            context.Context
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	address        string
	controlAddress string
	adminAddress   string
}

// New returns a router that does not serve until Start is called.
func New(set *settings.Settings, logger *log.Logger, o Options) (*Router, error) {
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	r := &Router{set: set, opts: o, log: logger.With("router", set.Name), vars: new(expvar.Map).Init()}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.board = board.New(set.Name)
	return r, nil
}

// Start opens the listeners and begins to serve. Until a configuration is active, requests are
// refused with a typed error. After an error the router is closed. Errors: Error.
func (r *Router) Start() error {
	if err := r.start(); err != nil {
		r.Close()
		return Error.Wrap(err)
	}
	r.log.Info("serving", "address", r.address, "control", r.controlAddress)
	return nil
}

func (r *Router) start() error {
	control, err := net.Listen("tcp", r.set.ControlListen)
	if err != nil {
		return err
	}
	r.controlAddress = control.Addr().String()
	callers, err := net.Listen("tcp", r.set.Listen)
	if err != nil {
		return errors.Join(err, control.Close())
	}
	r.address = callers.Addr().String()
	if err := r.provision(); err != nil {
		return errors.Join(err, control.Close(), callers.Close())
	}
	r.goRun(r.board.Run)
	r.goRun(func(context.Context) { r.peerServer.Serve(control) })
	if err := r.connectMembership(); err != nil {
		return errors.Join(err, control.Close(), callers.Close())
	}
	context.AfterFunc(r.ctx, func() { _ = control.Close() })
	r.goRun(r.pollSecrets)
	r.goRun(r.vms.Run)
	r.goRun(r.configs.Run)
	r.goRun(r.engines.Run)
	r.goRun(r.handoff.Run)
	r.goRun(r.sweeper.Run)
	r.goRun(r.loads.Run)
	r.goRun(r.suspects.Run)
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
			r.log.Error("caller listener failed", "cause", err)
		}
	})
}

// Drain removes the router from the fleet without interrupting requests. Callers may cache the
// router's address for the time to live of a locate response. Therefore locate responses first stop
// naming this router, while it still serves new requests for that time. Then it refuses new
// requests, which callers send to other routers, and waits for those in progress. At the drain
// deadline it closes the remaining streams, which callers resume at other routers.
func (r *Router) Drain(ctx context.Context) {
	r.log.Info("draining")
	r.board.UpdateWait(func(s *board.State) { s.Draining = true })
	if err := r.gossip.Leave(); err != nil {
		r.log.Warn("failed to announce leaving", "cause", err)
	}
	deadline := time.Now().Add(r.set.Timeouts.Drain)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	pause.For(ctx, r.set.Timeouts.LocateTTL)
	r.traffic.RefuseNew()
	if err := r.traffic.Wait(ctx); err != nil {
		r.log.Warn("drain deadline reached; closing open streams", "cause", err)
		r.traffic.CloseStreams()
		wait, cancel := context.WithTimeout(context.WithoutCancel(ctx), streamCloseTimeout)
		defer cancel()
		_ = r.traffic.Wait(wait)
	}
	r.log.Info("drained")
}

// Close stops the router at once. Call Drain first for a graceful shutdown.
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
	if r.peerServer != nil {
		r.peerServer.Close()
	}
	if r.peerCaller != nil {
		r.peerCaller.Close()
	}
	if r.upstream != nil {
		r.upstream.Close()
	}
	r.wg.Wait()
}

// Address returns the address that callers connect to.
func (r *Router) Address() string { return r.address }

// Control returns the UDP and RPC address for other routers.
func (r *Router) Control() string { return r.controlAddress }

// Snapshot returns this router's view of the fleet.
func (r *Router) Snapshot() *board.Snapshot { return r.board.Snapshot() }

// Vars returns the router's metrics.
func (r *Router) Vars() *expvar.Map { return r.vars }

// ControlBytes returns the number of bytes of control traffic sent and received since the start:
// membership and load digests over UDP, and calls over TCP.
func (r *Router) ControlBytes() (udp, tcp int64) {
	c := r.gossip.Counters()
	udp = int64(gossip.Total(c.In).Bytes + gossip.Total(c.Out).Bytes)
	return udp, r.counters.In.Load() + r.counters.Out.Load()
}

func newToken() string { return uuid.NewString() }
