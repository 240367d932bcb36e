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
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the
	// route has a limit.
	defaultTimeout = 30 * time.Second
	// defaultMaxBody bounds a body where the configuration doesn't.
	defaultMaxBody = 8 << 20
	// writeGrace is how long a caller may take to read after the time limit,
	// before its connection is given up.
	writeGrace = 2 * time.Second
)

// Options set up a Forwarder.
type Options struct {
	Snapshot func() *catalog.Snapshot
	// Clock reads the time since the VM booted, suspends included.
	Clock   func() time.Duration
	Codec   Codec
	Conns   *engineconn.Pool
	Engines *Engines
	// Places is whom to ask for places.
	Places *flow.Asker
	Budget *Budgets
	Log    *log.Logger
	// KeyLease is how long after its last confirmation a configuration may
	// be used for requests with API keys: a key may have been taken away
	// since.
	KeyLease func() time.Duration
	// FreshFor is the age of the configuration up to which it is sure that a
	// route or a key does not exist. Beyond it the newest version may have
	// them, and a refusal that the caller takes for final would be wrong.
	FreshFor func() time.Duration
	// Settings names the settings in force, for log lines. The default is no name.
	Settings func() string
	// StoreLost says whether a configuration is old because the store can't be
	// reached, and not because this router has not asked yet.
	StoreLost func() bool
	// Routers returns how many routers there are, at least one.
	Routers func() int
}

// Forwarder is the handler of callers' requests.
type Forwarder struct {
	Options
	// leaving is nil until the router is told to stop.
	draining atomic.Pointer[drainState]
	inFlight atomic.Int64
	// servedLines bounds the log of requests that were simply served.
	servedLogLimiter *rate.Limiter
	stats            *Stats
	answerTimes      *answerTimes
	overloads        overloads
	throttles        throttles
	callerTimeouts   callerTimeouts
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	if o.Settings == nil {
		o.Settings = func() string { return "" }
	}
	return &Forwarder{
		Options: o, stats: newStats(), answerTimes: newAnswerTimes(), servedLogLimiter: rate.NewLimiter(servedLogsPerSecond, servedLogsPerSecond),
		overloads:      overloads{random: rand.Float64, byService: make(map[string]*gate.Overload)},
		throttles:      throttles{random: rand.Float64, byKey: make(map[throttleKey]*gate.Throttle)},
		callerTimeouts: callerTimeouts{byRoute: make(map[string]*gate.Usual)},
	}
}

// Stats returns the counters.
func (f *Forwarder) Stats() *Stats { return f.stats }

// InFlight is how many requests are being handled.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// Leave makes callers go elsewhere: their connections are closed after the next
// answer, and requests are taken only while they can end before stop, the time
// until the process ends.
func (f *Forwarder) Leave(timeout time.Duration) {
	f.draining.Store(&drainState{startedAt: f.Clock(), timeout: timeout})
}

// leaving is the state of a router that was told to stop.
type drainState struct {
	// since is the boot time at which it was told, stop how long it has.
	startedAt, timeout time.Duration
}

// acceptShare is the part of the time to stop in which any request is still
// taken: callers keep an old address for some seconds. A long stream that came
// later would be cut.
const acceptAllShare = 0.3

// accepts says whether a request that arrives at now and may take up to limit
// is still taken.
func (l *drainState) accepts(now, limit time.Duration) bool {
	elapsed := now - l.startedAt
	return elapsed <= time.Duration(acceptAllShare*float64(l.timeout)) || elapsed+limit <= l.timeout
}

// ServeHTTP carries one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{f: f, w: w, r: r, started: f.Clock()}
	refusal := x.prepare()
	if refusal == nil {
		refusal = x.forward()
	}
	if refusal != nil {
		x.refuse(refusal)
	}
	x.finish()
}

// exchange is one caller's request and its answer.
type exchange struct {
	f       *Forwarder
	w       http.ResponseWriter
	r       *http.Request
	started time.Duration

	req     Request
	route   *catalog.Route
	account *catalog.Account
	// deadline is the boot time by which the caller has a final answer.
	deadline time.Duration
	body     []byte

	snapshot *catalog.Snapshot
	// executed counts the engines that may have executed the request, sends
	// the times it was sent.
	executed int
	sends    int
	// asks is how many engines had no place, predicted how long the last one would have
	// made the request wait.
	deniedPermits int
	predictedWait time.Duration
	// late means that the caller has come back after a refusal, too late for the objective.
	late     bool
	excluded map[string]bool
	// failure is an engine's own failure, which is the answer if no other
	// engine gives a better one.
	engineFailure *engineFailure
	// answered is set once a byte of an answer has gone to the caller.
	answered  bool
	firstByte time.Duration
	outcome   Reason
	status    int
	engine    string
	fetchFrom string
	aborted   bool
}

// prepare reads and admits the request.
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
	if l := x.f.draining.Load(); l != nil && !l.accepts(x.started, limit) {
		return notExecuted(ReasonDraining, retrySoon)
	}
	return x.readBody()
}

// readBody reads the whole body before anything is sent: an engine's slot is
// not held by a slow caller, and the request can be sent again.
func (x *exchange) readBody() *Refusal {
	control := http.NewResponseController(x.w)
	limit := x.snapshot.Config.Limits.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	left := x.remaining()
	// The error says that the connection has no deadlines, as in a test.
	_ = control.SetWriteDeadline(time.Now().Add(left + writeGrace))
	if x.r.ContentLength == 0 {
		return nil
	}
	_ = control.SetReadDeadline(time.Now().Add(left))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return rejected(http.StatusRequestEntityTooLarge, ReasonTooLarge)
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

func (x *exchange) remaining() time.Duration { return x.deadline - x.f.Clock() }

// context ends at the time limit, or when the caller leaves. A request that
// must not be repeated runs to its end once it was sent: cutting it off would
// leave its outcome unknown, and save nothing.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	ctx := x.r.Context()
	if x.route.Kind == catalog.NonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, x.remaining())
}

func (x *exchange) callerDisconnected() bool { return x.r.Context().Err() != nil }

// refuse ends a request that no engine has served: by an engine's own failure if
// there is one, else by the router's refusal. If an answer has begun, the
// connection is cut, so that the answer does not look complete.
func (x *exchange) refuse(refusal *Refusal) {
	x.outcome = refusal.Reason
	if x.answered {
		x.aborted = true
		return
	}
	if x.engineFailure != nil {
		x.writeAnswer(x.engineFailure.status, x.engineFailure.header, x.engineFailure.body)
		return
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
