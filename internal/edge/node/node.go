// Package node assembles a router that serves callers on a platform, and runs its life cycle:
// start, serve, leave, stop.
package node

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/base/version"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/callers"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/crash"
	"damaskrouter.example/damaskrouter/internal/edge/entry"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"damaskrouter.example/damaskrouter/internal/edge/forward"
	"damaskrouter.example/damaskrouter/internal/edge/origins"
	"damaskrouter.example/damaskrouter/internal/edge/reach"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/charmbracelet/log"
	"github.com/labstack/echo/v4"
	"github.com/zeebo/errs"
)

// Error is the class of errors of Router.Start, and of requests for the settings of
// another router.
var Error = errs.Class("router")

const (
	// addressTTL is how long callers may cache the addresses of routers. A router that leaves gets
	// no more requests once this time has passed.
	addressTTL = 2 * time.Second
	// leaseShare is the share of Bounds.Revoke for which a configuration may be used after its last
	// confirmation. The rest covers the time between the check and the send, and late notifications
	// by watches of the store.
	leaseShare = 0.7
	// settlingLeaseShare applies instead while nothing can confirm the configuration, since the store
	// has returned from an older copy. The store is reachable, so that notifications are not late.
	settlingLeaseShare = 0.9
	// idleTimeout is how long a caller's connection may be idle before it is closed. It exceeds the
	// longest idle time after which operators allow a caller to reuse a connection.
	idleTimeout = 2 * time.Minute
	// headerTimeout bounds the time to receive the header of a request.
	headerTimeout = 5 * time.Second
	// requestTimeout bounds the time to receive a whole request of an operator or the platform. The requests of
	// callers have a limit of their own.
	requestTimeout = 2 * headerTimeout
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// reviewInterval is how often the engines are compared with one another.
	reviewInterval = 500 * time.Millisecond
	// memoryShare is the share of the VM's memory that is set as the soft memory limit; the rest is
	// for buffers of the kernel.
	memoryShare = 0.7
	// requestMemoryShare is the share that requests may hold. The rest of memoryShare is for what is known of the
	// fleet and for garbage.
	requestMemoryShare = 0.3
)

// Platform holds the components that the adapter of the platform provides.
type Platform struct {
	Codec          forward.Codec
	Store          func(address string) Store
	MountDirectory func(*echo.Echo, func(entry.Query) entry.Response)
	MountReady     func(*echo.Echo, func() bool)
	// DialEngine opens connections to engines. The default is engineconn.DialTCP.
	DialEngine engineconn.DialFunc
}

// Router is a running router.
type Router struct {
	// active holds the current settings.
	active atomic.Pointer[activeSettings]
	// watcher watches the settings file; nil until Watch is called.
	watcher  atomic.Pointer[settings.Watcher]
	log      *log.Logger
	platform Platform

	// createdAt is when the router was created, on the boot clock. bootID distinguishes the
	// processes of routers with the same name.
	createdAt time.Duration
	bootID    uint64

	store            *storeProxy
	board            *feed.Board
	loads            *feed.Loads
	leaving          *feed.LeavingRecorder
	start            *feed.Start
	reader           *feed.Reader
	follower         *feed.Follower
	statuses         *feed.Statuses
	contactsUpdater  *feed.ContactsUpdater
	quarantineKeeper *feed.QuarantineKeeper
	engines          *forward.Balancer
	shares           *forward.AccountShares
	gateOwner        *flow.Owner
	gateClient       *flow.Client
	origins          *origins.Registry
	doubts           *forward.RestartDoubts
	versionsKeeper   *feed.VersionsKeeper
	forwarder        *forward.Forwarder
	paths            *reach.Table
	dialer           *reach.Dialer
	relay            *reach.Service
	crashes          *crash.Detector
	suspects         *suspects.Set
	enginesEnded     expvar.Int
	unsolicitedConns expvar.Int
	gossip           *gossip.Driver
	peerClient       *peer.Caller
	peerServer       *peer.Server
	peerCounters     peer.Counters
	// tunnelCounters counts the bytes of tunnels, at both ends.
	tunnelCounters peer.Counters
	mounts         []mount
	self           feed.Peer
	// livePeers is the result of liveRouters; nil until this router has joined.
	livePeers atomic.Pointer[[]feed.Peer]

	servers servers
	// callerLimit limits the connections of callers.
	callerLimit *callers.Limit
	draining    atomic.Bool
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New assembles a router, which serves once Start is called.
func New(initial *settings.Settings, platform Platform, logger *log.Logger) *Router {
	r := &Router{platform: platform, log: logger.With("router", initial.Name), createdAt: bootclock.Now(), bootID: rand.Uint64()}
	r.active.Store(&activeSettings{settings: initial, digest: initial.Digest(), since: bootclock.Now()})
	r.ctx, r.cancel = context.WithCancel(context.Background())
	r.self = feed.Peer{
		Name: initial.Name, Site: initial.Site, Address: r.peerAddress(r.callerAddress()), Link: uint64(initial.Limits.LinkMbps),
	}
	r.assembleFeed()
	r.assembleForwarder()
	return r
}

// changeBound returns how long a change of the configuration, an engine or an evacuation may take
// to be active at all routers.
func (r *Router) changeBound() time.Duration {
	b := r.settings().Bounds
	bound := min(b.Config, b.Drain)
	if b.Evacuate > 0 {
		bound = min(bound, b.Evacuate)
	}
	return time.Duration(bound)
}

// keyLease returns how long after its last confirmation a configuration may be used for requests
// with API keys.
func (r *Router) keyLease() time.Duration {
	share := leaseShare
	// Each request with a key asks for the lease; the clock is read only after a return of the store.
	if s := r.board.Snapshot(); s.ConfigEraSince > 0 && s.ConfigSettling(bootclock.Now()) {
		share = settlingLeaseShare
	}
	return time.Duration(share * float64(r.settings().Bounds.Revoke))
}

// timing returns the intervals of the feed, which follow from changeBound.
func (r *Router) timing() feed.Timing { return feed.TimingFor(r.changeBound()) }

func (r *Router) assembleFeed() {
	r.callerLimit = callers.New(r.maxCallerConns)
	r.start = r.newStart()
	r.store = newStoreProxy(r.platform.Store, r.settings().Store)
	contacts := feed.Contacts{Table: r.store}
	r.board = feed.NewBoard(bootclock.Now, time.Duration(r.settings().Bounds.Beat))
	r.loads = feed.NewLoads(func() map[string]feed.EngineLoad { return r.leaving.AddTo(r.doubts.AddTo(r.engines.OwnLoads())) })
	r.leaving = &feed.LeavingRecorder{Board: r.board, Loads: r.loads, Clock: bootclock.Now, Log: r.log}
	r.loads.OnLeaving = func(starts []catalog.LeavingStart, from string) { r.leaving.Record(r.ctx, starts, "from", from) }
	r.reader = &feed.Reader{
		Board: r.board, Store: r.store, Clock: bootclock.Now, Log: r.log,
		Timing:     r.timing,
		Start:      r.start,
		Reads:      func() bool { return r.follower.Reads() },
		OthersLost: func() bool { return r.follower.ReportedStoreLost() },
		LostAgo:    func() time.Duration { return r.follower.LostAgo() },
	}
	r.peerClient = peer.NewCaller(r.self.Name, r.fleetKeys, &r.peerCounters)
	r.peerServer = peer.NewServer(r.self.Name, r.fleetKeys, &r.peerCounters)
	r.statuses = feed.NewStatuses(r.status, bootclock.Now)
	r.suspects = suspects.NewSet(quarantine.DefaultLimits(), bootclock.Now, r.log)
	r.follower = &feed.Follower{
		Self: r.self, Board: r.board, Loads: r.loads, Clock: bootclock.Now, Log: r.log,
		Timing: r.timing, Start: r.start, Contacts: contacts, Statuses: r.statuses, Suspects: r.suspects, Live: r.liveRouters, StoreLost: r.reader.StoreLost,
		Call: r.call,
	}
	r.quarantineKeeper = &feed.QuarantineKeeper{Table: r.store, Suspects: r.suspects, Reads: r.follower.Reads, Era: r.board.Era, Clock: bootclock.Now, Log: r.log}
	r.contactsUpdater = &feed.ContactsUpdater{Contacts: contacts, Reads: r.follower.Reads, Live: r.liveRouters, Era: r.board.NewestEra, Clock: bootclock.Now, Log: r.log}
}

// call calls a method of another router.
func (r *Router) call(ctx context.Context, to feed.Peer, method string, args, reply any) error {
	return r.peerClient.Call(ctx, peer.Target{Name: to.Name, Address: to.Address}, method, args, reply)
}

func (r *Router) assembleForwarder() {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	r.engines = forward.NewBalancer(r.self.Site, r.loads.Others, bootclock.Now, rng)
	r.engines.SetReportAge(r.loads.OthersAge)
	r.engines.SetColdLimits(r.coldLimits)
	r.engines.SetRouters(r.routerCount)
	r.shares = forward.NewAccountShares(bootclock.Now, r.loads.OtherAccounts)
	r.loads.OwnAccounts = r.shares.Report
	r.gateOwner = flow.NewOwner(bootclock.Now, r.engines.KnownLoad, r.refusesRequests)
	r.gateClient = flow.NewClient(flow.Options{
		Self: r.self.Name, Owner: r.gateOwner, Clock: bootclock.Now, Call: r.call, Live: r.liveRouters,
		Engines: func() int { return len(r.board.Snapshot().Engines.ByID) }, Log: r.log,
	})
	r.engines.SetRelease(r.gateClient.Release)
	r.assembleDialer()
	conns := engineconn.NewPool(engineconn.Options{
		Clock: bootclock.Now, Dial: r.dialer.Dial, DialTimeout: reach.DialTimeout, Stalled: r.dialer.Stalled,
		Lost: func(engine string, aliveAt time.Duration) { r.doubts.Lose(engine, aliveAt) },
		First: func(engine string, openedAt time.Duration, knownStart bool) {
			r.doubts.Connect(engine, openedAt, knownStart)
		},
	})
	r.assembleOrigins(conns)
	r.dialer.PathLost = func(address string) { r.pathChanged(conns, address, true) }
	r.dialer.Silent = func(address string) { r.engineSilent(conns, address) }
	r.dialer.PathBack = func(address string) { r.pathChanged(conns, address, false) }
	r.engines.OnRestart(func(engine string) {
		r.log.Info("engine restarted", "engine", engine)
		go conns.CloseIdle(engine)
	})
	r.crashes = crash.NewDetector(crash.Options{
		Snapshot: r.board.Snapshot, Clock: bootclock.Now, Log: r.log,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return r.dialer.Dial(ctx, "tcp4", address)
		},
		Ended: r.recordEnd,
	})
	r.forwarder = forward.New(forward.Options{
		Snapshot: r.board.Snapshot, Clock: bootclock.Now, Codec: r.platform.Codec,
		Conns: conns, Engines: r.engines, Places: r.gateClient,
		Log:       r.log,
		FreshFor:  r.changeBound,
		StoreLost: func() bool { return r.follower.StoreDown() || r.reader.StoreLost() },
		KeyLease:  r.keyLease,
		Settings:  func() string { return r.active.Load().digest },
		Budget:    forward.NewRetryBudgets(r.budgetLimits, r.routerCount),
		Routers:   r.routerCount,
		Origins:   r.origins,
		Doubts:    r.doubts,
		Shares:    r.shares,
		Suspects:  r.suspects,
		PathLost:  r.paths.LostSince,
		Cut:       func(e catalog.Engine, c crash.Cut) { r.crashes.Report(r.ctx, e, c) },
		Leaving: func(start catalog.LeavingStart, requestID string) {
			r.leaving.Record(r.ctx, []catalog.LeavingStart{start}, "request", requestID)
		},
	})
}

// assembleOrigins assembles what keeps a stream at the version of the engines that began it.
func (r *Router) assembleOrigins(conns *engineconn.Pool) {
	r.doubts = forward.NewRestartDoubts(forward.DoubtsOptions{
		Clock: bootclock.Now, Snapshot: r.board.Snapshot, Survives: conns.Survives, QueryStart: forward.QueryStart(conns, r.platform.Codec),
		MultiVersion: func(service string) bool { return r.origins.MultiVersion(service) },
		Others:       r.loads.Others,
		Answered:     func() { r.origins.ReviewDoubtful() },
	})
	r.engines.SetDoubts(r.doubts)
	r.origins = origins.New(origins.Options{
		Self: r.self.Name, Clock: bootclock.Now, Call: r.call, Live: r.liveRouters, Snapshot: r.board.Snapshot,
		InDoubt: r.doubts.InDoubtAt, Doubt: r.doubts.Doubt, Log: r.log,
	})
	r.engines.SetEstablished(r.origins.Established)
	r.versionsKeeper = &feed.VersionsKeeper{
		Table: r.store, Reads: r.follower.Reads, Era: r.board.Era, History: r.origins.History, Adopt: r.origins.AdoptHistory,
		Stored: r.origins.SetStored, FirstStart: r.settings().FirstStart, Clock: bootclock.Now, Log: r.log,
	}
}

// recordEnd records an engine that ended unexpectedly.
func (r *Router) recordEnd(end crash.End) {
	if !end.Known {
		r.enginesEnded.Add(1)
	}
	r.suspects.RecordEnd(end.Unexplained(len(r.board.Snapshot().Engines.ForService(end.Engine.Service))))
}

// refusesRequests reports whether an engine is known and accepts no more requests.
func (r *Router) refusesRequests(engine string) bool {
	snapshot := r.board.Snapshot()
	e, known := snapshot.Engines.ByID[engine]
	return known && !snapshot.TakesRequests(e)
}

func (r *Router) coldLimits() forward.ColdLimits {
	b := r.settings().Bounds
	return forward.ColdLimits{Over: b.ColdOver, Slack: b.ColdSlack}
}

func (r *Router) budgetLimits() forward.RetryBudgetLimits {
	b := r.settings().Bounds
	return forward.RetryBudgetLimits{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: time.Duration(b.RetryWindow)}
}

// Start begins to listen and serve. If it fails, the router is closed. Errors: Error.
func (r *Router) Start() error {
	r.limitMemory()
	if err := r.listen(); err != nil {
		r.Close()
		return Error.Wrap(err)
	}
	current := r.settings()
	r.log.Info("started", "site", current.Site, "callers", current.Listen.Callers, "peers", r.self.Address,
		"seeds", current.Seeds, "store", current.Store, "settings", r.active.Load().digest, "version", version.String())
	return nil
}

func (r *Router) listen() error {
	if err := r.joinFleet(); err != nil {
		return err
	}
	r.goRun(r.board.Run)
	r.goRun(r.reader.Run)
	r.goRun(r.follower.Run)
	r.goRun(r.contactsUpdater.Run)
	r.goRun(r.quarantineKeeper.Run)
	r.goRun(r.versionsKeeper.Run)
	r.goRun((&feed.VersionReader{Board: r.board, Store: r.store, Log: r.log}).Run)
	r.goRun(r.origins.Run)
	r.goRun(r.origins.FollowHistory)
	r.goRun(r.logFleetSize)
	r.goRun(r.reviewEngines)
	r.goRun(r.dialer.Run)
	r.goRun(r.closeUnsolicited)
	r.goRun(r.gateOwner.Run)
	r.goRun(r.suspects.Run)
	callerServer := r.newServer(r.forwarder)
	r.callerLimit.Attach(callerServer)
	if err := r.servers.open(r, listenerCallers, r.settings().Listen.Callers, callerServer); err != nil {
		return err
	}
	r.mounts = r.newMounts()
	return r.openMounts()
}

// The names of the listeners in logs.
const (
	listenerCallers   = "callers"
	listenerDirectory = "directory"
	listenerReady     = "ready"
	listenerControl   = "control"
	listenerMetrics   = "metrics"
)

// mount is a handler and its listen address in the settings, which may change.
type mount struct {
	name    string
	handler http.Handler
	address func(settings.Listen) string
}

func (r *Router) newMounts() []mount {
	directory, ready, control, metrics := newEcho(), newEcho(), newEcho(), newEcho()
	r.platform.MountDirectory(directory, r.resolve)
	r.platform.MountReady(ready, r.ready)
	vars := r.vars()
	for _, e := range []*echo.Echo{control, metrics} {
		mountMetrics(e, vars)
		r.mountOperatorPaths(e)
		r.mountQuarantine(e)
		r.mountEngines(e)
		r.mountShares(e)
	}
	r.mountQuarantineControl(control)
	return []mount{
		{listenerDirectory, directory, func(l settings.Listen) string { return l.Directory }},
		{listenerReady, ready, func(l settings.Listen) string { return l.Ready }},
		{listenerControl, control, func(l settings.Listen) string { return l.Control }},
		{listenerMetrics, metrics, func(l settings.Listen) string { return l.Metrics }},
	}
}

// openMounts serves each handler at its address in the active settings. It tries all of them and
// joins the errors.
func (r *Router) openMounts() error {
	var errs []error
	for _, m := range r.mounts {
		server := r.newServer(m.handler)
		server.ReadTimeout = requestTimeout
		errs = append(errs, r.servers.open(r, m.name, m.address(r.settings().Listen), server))
	}
	return errors.Join(errs...)
}

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// goRun runs f in a goroutine, with a context that Close ends. Close waits for it.
func (r *Router) goRun(f func(context.Context)) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f(r.ctx)
	}()
}

// reviewEngines compares the engines every reviewInterval, and logs which of them were ejected or
// restored, and which became cold or warm.
func (r *Router) reviewEngines(ctx context.Context) {
	cold := map[string]time.Duration{}
	cutOff := map[string]bool{}
	for pause.For(ctx, reviewInterval) {
		r.logCutOffServices(cutOff)
		r.doubts.Prune()
		cold = r.logColdEngines(cold)
		for _, change := range r.engines.EjectionChanges(r.board.Snapshot()) {
			r.log.Info("engine judged", "engine", change.Engine, "service", change.Service, "ejected", change.Ejected,
				"good", change.Evidence.Good, "bad", change.Evidence.Bad)
		}
	}
}

// logColdEngines logs the engines that became cold or warm, and returns the cold ones with the time
// for which they will still be treated as cold.
func (r *Router) logColdEngines(before map[string]time.Duration) map[string]time.Duration {
	now := r.engines.ColdRemaining(r.board.Snapshot())
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

// resolve answers a caller's query for addresses of routers. A router that leaves returns only the
// others, or itself if it knows no other.
func (r *Router) resolve(q entry.Query) entry.Response {
	var routers []entry.Router
	for _, p := range r.liveRouters() {
		if p.Name == r.self.Name && r.draining.Load() {
			continue
		}
		routers = append(routers, entry.Router{Name: p.Name, Site: p.Site, Address: r.callerAddressOf(p.Address)})
	}
	if len(routers) == 0 {
		routers = []entry.Router{{Name: r.self.Name, Site: r.self.Site, Address: r.callerAddress()}}
	}
	return entry.Resolve(r.self.Name, routers, q, min(addressTTL, time.Duration(r.settings().Bounds.MaxTTL)))
}

// ready reports whether requests of callers can be served.
func (r *Router) ready() bool {
	snapshot := r.board.Snapshot()
	return !r.draining.Load() && snapshot.Config != nil && snapshot.ConfigAge(bootclock.Now()) < r.keyLease()
}

// Close stops the router at once and waits for its goroutines. For a graceful shutdown, call Leave
// before.
func (r *Router) Close() {
	r.servers.close()
	r.cancel()
	r.peerServer.Close()
	r.peerClient.Close()
	if r.gossip != nil {
		r.gossip.Close()
	}
	r.forwarder.Conns.Close()
	r.crashes.Wait()
	r.wg.Wait()
}
