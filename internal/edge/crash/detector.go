// Package crash detects engines that end unexpectedly while they execute requests.
package crash

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/charmbracelet/log"
)

// checkPauses are the pauses before each check whether an engine still exists. The engine's entry
// outlives a crash by three missed renewals, and its port may accept no connections only some time
// after the connections broke.
var checkPauses = []time.Duration{
	0, 20 * time.Millisecond, 80 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

const (
	// joinTime is the time in which further requests that are cut at an engine belong to the same
	// investigation.
	joinTime = 20 * time.Millisecond
	// acceptDelay is how long after requests were cut a connection must have been begun for its acceptance to
	// show that the engine did not end then.
	acceptDelay = 100 * time.Millisecond
	// probeInterval is the least time between two connections to an engine that accepts them.
	probeInterval = 50 * time.Millisecond
	// probeTimeout bounds one connection attempt.
	probeTimeout = 300 * time.Millisecond
	// verdictLifetime is how long the end of an engine applies to further broken connections, some of
	// which are noticed late.
	verdictLifetime = 5 * time.Second
)

// Cut is a request whose response ended because the connection to its engine broke.
type Cut struct {
	RequestID string
	quarantine.Cut
	// Completed is set once another engine has completed the request, which shows that the request
	// crashes no engines. Nil means that it never will be.
	Completed *atomic.Bool
}

// End is an engine that ended unexpectedly, and the requests of this router that it was executing.
type End struct {
	Engine catalog.Engine
	At     time.Duration
	Cuts   []Cut
	// Evidence describes how the end was determined.
	Evidence string
	// Known is set if the end of the engine has been reported before, with other requests.
	Known bool
}

// Unexplained returns the end and the requests that the engine was executing, except those that have
// been completed since. peers is the number of engines of the service.
func (e End) Unexplained(peers int) (quarantine.End, []quarantine.Cut) {
	var cuts []quarantine.Cut
	for _, c := range e.Cuts {
		if c.Completed == nil || !c.Completed.Load() {
			cuts = append(cuts, c.Cut)
		}
	}
	return quarantine.End{Engine: e.Engine.ID, Born: e.Engine.Born, Site: e.Engine.Site, At: e.At, Peers: peers}, cuts
}

// Options configure a Detector.
type Options struct {
	Snapshot func() *catalog.Snapshot
	Clock    func() time.Duration
	// Dial opens a connection to an engine; the default is TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Ended is called when an engine has ended, and again for each request that is reported later.
	Ended func(End)
	Log   *log.Logger
}

// Detector determines whether an engine ended after connections to it broke. A broken connection
// alone proves nothing: the network may have reset it. Nor does an engine that runs after one broken
// connection prove anything of a later one. It is safe for concurrent use.
type Detector struct {
	Options

	mu     sync.Mutex
	starts map[quarantine.EngineStart]*startState
	wg     sync.WaitGroup
}

// startState is what is known of one start of an engine to which connections broke.
type startState struct {
	// investigations is the number of those in progress, and newest the last one that began.
	investigations int
	newest         *investigation
	// connecting is set while a connection is being opened, and acceptedAt is when the last accepted one was
	// begun.
	connecting bool
	acceptedAt time.Duration
	// ended is set once the engine has ended. endedAt and evidence tell when and how that was noticed.
	ended    bool
	endedAt  time.Duration
	evidence string
}

// investigation is that of requests that were cut at the same time.
type investigation struct {
	startedAt time.Duration
	cuts      []Cut
}

// NewDetector returns a Detector.
func NewDetector(o Options) *Detector {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		}
	}
	return &Detector{Options: o, starts: make(map[quarantine.EngineStart]*startState)}
}

// Report records a request that was cut, and starts an investigation unless one has just begun. An
// engine that is known to be stopping is not investigated, since its connections end as planned.
func (d *Detector) Report(ctx context.Context, e catalog.Engine, c Cut) {
	if ctx.Err() != nil || !d.expectedToRun(e.ID) {
		return
	}
	now := d.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(now)
	start := startOf(e)
	state := d.starts[start]
	if state == nil {
		state = &startState{}
		d.starts[start] = state
	}
	switch {
	case state.ended:
		end := End{Engine: e, At: state.endedAt, Cuts: []Cut{c}, Evidence: state.evidence, Known: true}
		d.wg.Go(func() { d.report(end) })
	case state.newest != nil && now-state.newest.startedAt < joinTime:
		state.newest.cuts = append(state.newest.cuts, c)
	default:
		inv := &investigation{startedAt: now, cuts: []Cut{c}}
		state.newest = inv
		state.investigations++
		d.wg.Go(func() { d.investigate(ctx, e, state, inv) })
	}
}

func startOf(e catalog.Engine) quarantine.EngineStart {
	return quarantine.EngineStart{ID: e.ID, Born: e.Born}
}

// Wait waits for the investigations in progress.
func (d *Detector) Wait() { d.wg.Wait() }

// expectedToRun reports whether the engine is registered and neither draining nor in an evacuated
// site.
func (d *Detector) expectedToRun(engine string) bool {
	s := d.Snapshot()
	e, known := s.Engines.ByID[engine]
	return known && s.TakesRequests(e)
}

// forget drops the starts of which no investigation is in progress. The caller holds the mutex.
func (d *Detector) forget(now time.Duration) {
	for start, state := range d.starts {
		if state.investigations == 0 && (!state.ended || now-state.endedAt > verdictLifetime) {
			delete(d.starts, start)
		}
	}
}

// investigate determines whether the engine ended when the requests were cut.
func (d *Detector) investigate(ctx context.Context, e catalog.Engine, state *startState, inv *investigation) {
	ended, evidence := d.check(ctx, e, state, inv)
	d.mu.Lock()
	known := state.ended
	if ended && !known {
		state.ended, state.endedAt, state.evidence = true, inv.startedAt, evidence
	}
	state.investigations--
	if state.newest == inv {
		state.newest = nil
	}
	end := End{Engine: e, At: state.endedAt, Cuts: inv.cuts, Evidence: state.evidence, Known: known}
	d.mu.Unlock()
	if !ended {
		d.Log.Debug("connections to an engine broke; the engine runs or stops as planned", "engine", e.ID, "requests", len(end.Cuts))
		return
	}
	d.report(end)
}

// check looks for evidence that the engine ended when the requests of an investigation were cut.
func (d *Detector) check(ctx context.Context, e catalog.Engine, state *startState, inv *investigation) (ended bool, evidence string) {
	for _, wait := range checkPauses {
		if !pause.For(ctx, wait) {
			return false, ""
		}
		accepted, endedMeanwhile := d.progress(state, inv)
		if endedMeanwhile {
			return accepted != acceptedLate, ""
		}
		if ended, evidence, decided := d.checkCatalog(e, accepted); decided {
			return ended, evidence
		}
		if accepted != acceptedLate && d.probe(ctx, e, state) {
			return true, "connection refused"
		}
	}
	return false, ""
}

// acceptance tells when the engine has accepted a connection since the requests were cut.
type acceptance uint8

const (
	notAccepted acceptance = iota
	// acceptedEarly means that the connection was begun so soon that the engine may have been ending.
	acceptedEarly
	acceptedLate
)

// progress returns whether the engine has accepted a connection since the requests of an investigation were
// cut, and whether another investigation has found that it ended.
func (d *Detector) progress(state *startState, inv *investigation) (accepted acceptance, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case state.acceptedAt >= inv.startedAt+acceptDelay:
		accepted = acceptedLate
	case state.acceptedAt >= inv.startedAt:
		accepted = acceptedEarly
	}
	return accepted, state.ended
}

// probe opens a connection, unless another investigation has just done so, and reports whether it was
// refused.
func (d *Detector) probe(ctx context.Context, e catalog.Engine, state *startState) (refused bool) {
	begun := d.Clock()
	d.mu.Lock()
	skip := state.connecting || state.acceptedAt > 0 && begun-state.acceptedAt < probeInterval
	state.connecting = state.connecting || !skip
	d.mu.Unlock()
	if skip {
		return false
	}
	err := d.connect(ctx, e.Address)
	d.mu.Lock()
	defer d.mu.Unlock()
	state.connecting = false
	if err == nil {
		state.acceptedAt = begun
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// checkCatalog looks for evidence in the catalog. An engine that crashed may start again under its ID,
// and another engine may have started at its address. Otherwise its entry expires without
// having been marked as draining. If its address accepts connections, an expired entry proves
// nothing, since an engine may also leave without a mark.
func (d *Detector) checkCatalog(e catalog.Engine, accepted acceptance) (ended bool, evidence string, decided bool) {
	s := d.Snapshot()
	current, known := s.Engines.ByID[e.ID]
	if known && current.StartedAfter(e) {
		return !s.Leaving.Has(e), "started again under its ID", true
	}
	if known && !s.TakesRequests(current) {
		return false, "", true
	}
	for _, other := range s.Engines.ByID {
		if other.Address == e.Address && other.ID != e.ID && other.RegisteredAfter(e) {
			return true, "another engine at its address", true
		}
	}
	switch {
	case known:
		return false, "", false
	case accepted == notAccepted:
		return true, "entry removed", true
	}
	return false, "", accepted == acceptedLate
}

// connect opens and closes a connection.
func (d *Detector) connect(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// report logs an end and passes it on.
func (d *Detector) report(end End) {
	e := end.Engine
	d.Log.Warn("engine ended", "engine", e.ID, "born", e.Born, "address", e.Address, "service", e.Service, "site", e.Site,
		"evidence", end.Evidence, "requests", requestIDs(end.Cuts), "fingerprints", fingerprints(end.Cuts),
		"answered", answered(end.Cuts), "parts", partCounts(end.Cuts))
	d.Ended(end)
}

const (
	// maxLogged limits the requests and the prompt parts listed in a log line.
	maxLogged = 16
	// maxLoggedID limits the logged ID of a prompt part, which the caller chooses, in bytes.
	maxLoggedID = 32
)

func requestIDs(cuts []Cut) []string {
	var out []string
	for _, c := range cuts[:min(len(cuts), maxLogged)] {
		out = append(out, c.RequestID)
	}
	return out
}

func answered(cuts []Cut) []time.Duration {
	var out []time.Duration
	for _, c := range cuts[:min(len(cuts), maxLogged)] {
		out = append(out, c.Answered)
	}
	return out
}

// partCounts returns the prompt parts of the requests, those of most requests first, each with the
// number of requests that have it.
func partCounts(cuts []Cut) []string {
	counts := make(map[string]int)
	for _, c := range cuts {
		for _, p := range c.Parts {
			counts[p.ID]++
		}
	}
	ids := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(counts[b]-counts[a], strings.Compare(a, b))
	})
	var out []string
	for _, id := range ids[:min(len(ids), maxLogged)] {
		out = append(out, id[:min(len(id), maxLoggedID)]+":"+strconv.Itoa(counts[id]))
	}
	return out
}

func fingerprints(cuts []Cut) []string {
	var out []string
	for _, c := range cuts[:min(len(cuts), maxLogged)] {
		out = append(out, c.Request.Fingerprint.String())
	}
	return out
}
