package forward

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/crash"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"damaskrouter.example/damaskrouter/internal/edge/origins"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// defaultTimeout limits a request if neither the caller nor the route sets a limit.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody limits the request body, in bytes, if the configuration sets no limit.
	defaultMaxBody = 8 << 20
	// writeGrace is how much longer than the request's deadline a write to the caller may take
	// before the connection is closed.
	writeGrace = 2 * time.Second
	// unreadBodyTimeout bounds the reading of the body of a request that is refused without it. Beyond it, or
	// beyond 256 KB, the connection is closed after the response.
	unreadBodyTimeout = time.Second
)

// Options configure a Forwarder.
type Options struct {
	Snapshot func() *catalog.Snapshot
	// Clock returns the time since the VM booted, including suspends.
	Clock   func() time.Duration
	Codec   Codec
	Conns   *engineconn.Pool
	Engines *Balancer
	// Places is the client that requests permits from the owners of gates.
	Places *flow.Client
	Budget *RetryBudgets
	Log    *log.Logger
	// KeyLease returns the maximum age of a configuration's last confirmation at which requests
	// with API keys are served. Older configurations may contain revoked keys.
	KeyLease func() time.Duration
	// FreshFor returns the maximum age of the configuration at which an unknown route or key is
	// rejected. A newer version may contain the route or key, and callers treat the rejection as
	// final.
	FreshFor func() time.Duration
	// Settings returns an identifier of the active settings for log lines. The default returns an
	// empty string.
	Settings func() string
	// StoreLost reports whether the configuration is old because the store is unreachable, as
	// opposed to this router not having read the newest one yet.
	StoreLost func() bool
	// Routers returns the number of routers in the fleet, at least one.
	Routers func() int
	// PathLost reports whether this router has lost its direct path to an address since a time. The
	// default returns false.
	PathLost func(address string, since time.Duration) bool
	// Origins remembers which version began each stream. The default remembers those of this process.
	Origins *origins.Registry
	// Shares divides congested services among the accounts. The default knows this router's requests
	// only.
	Shares *AccountShares
	// Doubts tracks engines that may have been restarted in place.
	Doubts *RestartDoubts
	// Suspects holds the requests that may crash engines.
	Suspects suspects.Source
	// Cut is called for each request whose connection to the engine broke while the engine may have
	// been executing it. The default does nothing.
	Cut func(catalog.Engine, crash.Cut)
	// Leaving is called when an engine announces in the response to a request that it will stop. It
	// returns once snapshots contain the announcement. The default does nothing.
	Leaving func(start catalog.LeavingStart, requestID string)
}

// Forwarder is the http.Handler for callers' requests.
type Forwarder struct {
	Options
	// draining is nil until Drain is called.
	draining atomic.Pointer[drainState]
	inFlight atomic.Int64
	// ending ends once requests without an answer are given up.
	ending context.Context
	end    context.CancelFunc
	// servedLogLimiter limits the log lines about successful requests.
	servedLogLimiter *rate.Limiter
	stats            *Stats
	responseTimes    *responseTimes
	overloads        overloads
	throttles        throttles
	callerTimeouts   callerTimeouts
	outputs          *outputLengths
	memory           *requestMemory
	// random returns a random number from 0 to 1.
	random func() float64
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	if o.Settings == nil {
		o.Settings = func() string { return "" }
	}
	if o.Suspects == nil {
		o.Suspects = suspects.None{}
	}
	if o.Doubts == nil {
		o.Doubts = NewRestartDoubts(DoubtsOptions{
			Clock: o.Clock, Snapshot: o.Snapshot, QueryStart: QueryStart(o.Conns, o.Codec),
			Survives: func(string, time.Duration) bool { return true },
		})
	}
	if o.Origins == nil {
		o.Origins = origins.New(origins.Options{
			Clock: o.Clock, Snapshot: o.Snapshot, InDoubt: o.Doubts.InDoubtAt, FirstStart: true, Log: o.Log,
			Live: func() []feed.Peer { return nil },
		})
	}
	if o.Shares == nil {
		o.Shares = NewAccountShares(o.Clock, func() feed.AccountRates { return nil })
	}
	if o.PathLost == nil {
		o.PathLost = func(string, time.Duration) bool { return false }
	}
	if o.Cut == nil {
		o.Cut = func(catalog.Engine, crash.Cut) {}
	}
	if o.Leaving == nil {
		o.Leaving = func(catalog.LeavingStart, string) {}
	}
	ending, end := context.WithCancel(context.Background())
	return &Forwarder{
		ending: ending, end: end,
		Options: o, stats: newStats(), responseTimes: newResponseTimes(), servedLogLimiter: rate.NewLimiter(servedLogsPerSecond, servedLogsPerSecond),
		random:         rand.Float64,
		overloads:      overloads{random: rand.Float64, byService: make(map[string]*gate.Overload), byRefused: make(map[refusedKey]*gate.Overload)},
		throttles:      throttles{random: rand.Float64, byKey: make(map[throttleKey]*gate.Throttle)},
		callerTimeouts: callerTimeouts{byRoute: make(map[string]*gate.TimeoutBaseline)}, outputs: newOutputLengths(),
		memory: newRequestMemory(o.Clock),
	}
}

// Stats returns the counters.
func (f *Forwarder) Stats() *Stats { return f.stats }

// InFlight returns the number of requests in progress.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Drain starts draining: each caller's connection is closed after the next response, and requests
// are accepted only if they can finish before the process ends, timeout from now.
func (f *Forwarder) Drain(timeout time.Duration) {
	f.draining.Store(&drainState{startedAt: f.Clock(), timeout: timeout})
}

// End gives the requests in progress, and those to come, a final response at once, unless one has begun.
func (f *Forwarder) End() { f.end() }

// drainState is the state of a draining router.
type drainState struct {
	// startedAt is the reading of the boot clock when draining began, and timeout the time from
	// then until the process ends.
	startedAt, timeout time.Duration
}

// acceptAllShare is the share of the drain timeout during which every request is accepted, because
// callers keep sending requests to a draining router's address for some seconds. A long stream that
// started later would be truncated.
const acceptAllShare = 0.3

// accepts reports whether to accept a request that arrives at now on the boot clock and may take up
// to limit.
func (d *drainState) accepts(now, limit time.Duration) bool {
	elapsed := now - d.startedAt
	return elapsed <= time.Duration(acceptAllShare*float64(d.timeout)) || elapsed+limit <= d.timeout
}

// ServeHTTP forwards one request. It panics with http.ErrAbortHandler to close the connection if a
// response that has begun can't be completed.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{f: f, w: w, r: r, started: f.Clock()}
	defer x.releaseMemory()
	refusal := x.prepare()
	if refusal == nil {
		refusal = x.forward()
	}
	if refusal != nil {
		x.refuse(refusal)
	}
	x.finish()
}

// exchange is one caller's request and its response.
type exchange struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	started time.Duration

	req     Request
	route   *catalog.Route
	account *catalog.Account
	// deadline is the reading of the boot clock by which the caller must have a final response.
	deadline time.Duration
	body     []byte
	// bodyRead is set once there is nothing more to read of the body, or its reading was given up.
	bodyRead bool
	// memoryID identifies the request in the memory for requests; zero before it holds any. givenUp is set
	// once its answer is given up there.
	memoryID uint64
	givenUp  atomic.Bool
	// pendingHeld is what is counted for an incomplete event.
	pendingHeld int64

	snapshot *catalog.Snapshot
	// stream is the state of a stream that can be resumed, or is.
	stream streamState
	// executed counts the engines that may have executed the request, and sends the attempts to
	// send it.
	executed int
	sends    int
	// via is the router through which the last response came; empty for a direct connection.
	via string
	// sentAt is the reading of the boot clock at the last send, and answeredAt that at which its engine
	// began to answer; zero if it has not.
	sentAt, answeredAt time.Duration
	// deniedPermits counts the permit requests that yielded no usable permit. predictedWait is the
	// wait that the last reply to such a request predicted.
	deniedPermits int
	predictedWait time.Duration
	// noMemory means that the last gate had a free slot but no memory for the request.
	noMemory bool
	// unowned is set if the engine was selected without a permit because the owner of its gate did not
	// reply.
	unowned bool
	// pausedFor is the time until the first engine is used again, if the request was refused because
	// of pauses.
	pausedFor time.Duration
	// returnWait is how long the request has waited for an engine that returns from a pause.
	returnWait time.Duration
	// late means that the caller has retried after a refusal, too late to meet the route's
	// objective.
	late bool
	// askedOf is the service at which the request was last counted, share the part of such requests that
	// is within the share of the account there, and beyond whether this one is not.
	askedOf  string
	share    float64
	beyond   bool
	excluded map[string]bool
	// tracker follows the request as a possible cause of the end of engines, from when its content
	// is known.
	tracker suspects.Tracker
	// outlived is set once the answer in progress has shown that the prompt does not crash engines, and
	// resumed once the stream has gone on at another engine.
	outlived, resumed bool
	// timedOutAt holds the engines at which an attempt timed out.
	timedOutAt []catalog.Engine
	// engineFailure is an engine's own error response. The caller gets it if no other engine serves
	// the request.
	engineFailure *engineFailure
	// connectionEnd tells how the connection ended whose end was that of the last answer; empty for an answer with
	// a length or chunks. events is the number of events of a stream that were relayed.
	connectionEnd string
	events        int
	// responded is set once any byte of a response may have gone to the caller.
	responded atomic.Bool
	firstByte time.Duration
	outcome   Reason
	status    int
	// engine is the engine of the last send, or the one that began the stream, with its service and the
	// version of its software.
	engine, engineService, engineVersion string

	fetchFrom string
	// reply is the header of the response to the last send; zero if there was none.
	reply   Reply
	aborted bool
}

// prepare decodes and admits the request, sets its deadline and reads its body.
func (x *exchange) prepare() *Refusal {
	x.snapshot = x.f.Snapshot()
	var err error
	x.req, err = x.f.Codec.Decode(x.r)
	if err != nil {
		return rejected(http.StatusBadRequest, ReasonMalformed)
	}
	if refusal := x.admit(); refusal != nil {
		return refusal
	}
	limit := defaultTimeout
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.req.Timeout > 0 {
		limit = min(limit, x.req.Timeout)
	}
	x.deadline = x.started + limit
	if drain := x.f.draining.Load(); drain != nil && !drain.accepts(x.started, limit) {
		return notExecuted(ReasonDraining, retrySoon)
	}
	if refusal := x.checkSize(); refusal != nil {
		return refusal
	}
	if refusal := x.holdMemory(); refusal != nil {
		return refusal
	}
	if refusal := x.readBody(); refusal != nil {
		return refusal
	}
	x.trackSuspicion()
	if refusal := x.checkSuspicion(); refusal != nil {
		return refusal
	}
	return x.findOrigin()
}

// readBody reads the whole body before anything is sent, so that a slow caller does not occupy an
// engine's slot and the request can be sent again.
func (x *exchange) readBody() *Refusal {
	control := http.NewResponseController(x.w)
	limit := x.snapshot.Config.Limits.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	left := x.remaining()
	// Setting a deadline fails only where the connection supports none, as in tests.
	_ = control.SetWriteDeadline(time.Now().Add(left + writeGrace))
	x.bodyRead = true
	if x.r.ContentLength == 0 {
		return nil
	}
	_ = control.SetReadDeadline(time.Now().Add(left))
	body, err := io.ReadAll(x.counted(http.MaxBytesReader(x.w, x.r.Body, limit), max(x.r.ContentLength, 0)))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rejected(http.StatusRequestEntityTooLarge, ReasonTooLarge)
	case errNoMemory.Has(err):
		x.w.Header().Set("Connection", "close")
		return notExecuted(ReasonNoMemory, retrySoon)
	case err != nil && x.remaining() <= 0:
		x.w.Header().Set("Connection", "close")
		return rejected(http.StatusRequestTimeout, ReasonSlowBody)
	case err != nil:
		x.w.Header().Set("Connection", "close")
		return rejected(http.StatusBadRequest, ReasonMalformed)
	}
	x.body = body
	return nil
}

// accountName returns the name of the client account, or an empty one on a public route.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// remaining returns the time until the deadline; zero for a request that is given up as the router ends.
func (x *exchange) remaining() time.Duration {
	if x.givenUpAtEnd() {
		return 0
	}
	return x.deadline - x.f.Clock()
}

// givenUpAtEnd reports whether the request has no answer and gets none, because the router ends.
func (x *exchange) givenUpAtEnd() bool { return !x.responded.Load() && x.f.ending.Err() != nil }

// context returns a context that ends at the deadline or when the caller disconnects.
// Non-idempotent requests continue after a disconnect: canceling one would leave its outcome
// unknown and save nothing.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if x.route.Kind == catalog.NonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return x.withDeadline(ctx)
}

// withDeadline returns a context that ends at the deadline, or when the request is given up as the router ends.
func (x *exchange) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, x.remaining())
	stop := context.AfterFunc(x.f.ending, func() {
		if !x.responded.Load() {
			cancel()
		}
	})
	return ctx, func() {
		stop()
		cancel()
	}
}

func (x *exchange) callerDisconnected() bool { return x.r.Context().Err() != nil }

// refuse ends a request that no engine has served. It passes on an engine's own error response if
// there is one, and sends the refusal otherwise. If a response has begun, it closes the connection,
// so that the response does not look complete.
func (x *exchange) refuse(refusal *Refusal) {
	x.outcome = refusal.Reason
	if x.responded.Load() {
		x.aborted = true
		return
	}
	if x.engineFailure != nil {
		x.writeResponse(x.engineFailure.status, x.engineFailure.header, x.engineFailure.body)
		return
	}
	if !x.bodyRead && x.r.ContentLength != 0 {
		// The server reads the rest of the body before it writes the response. Setting a deadline fails only
		// where the connection supports none, as in tests.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
	x.status = refusal.Status
	refusal.write(x.w, x.f.Codec, x.req.ID)
}

func (x *exchange) finish() {
	took := x.f.Clock() - x.started
	x.f.stats.recordRequest(x, took)
	x.log(took)
	if x.aborted {
		panic(http.ErrAbortHandler)
	}
}
