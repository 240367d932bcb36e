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

// probePauses are the pauses before each check whether an engine still exists. The engine's entry
// outlives a crash by three missed renewals, and its port may accept no connections only some time
// after the connections broke.
var probePauses = []time.Duration{
	0, 20 * time.Millisecond, 80 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second,
}

const (
	// probeTimeout bounds one connection attempt.
	probeTimeout = 300 * time.Millisecond
	// verdictLifetime is how long the result of an investigation applies to further broken
	// connections to the same engine, some of which are noticed late.
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
// alone proves nothing: the network may have reset it. It is safe for concurrent use.
type Detector struct {
	Options

	mu             sync.Mutex
	investigations map[quarantine.EngineStart]*investigation
	wg             sync.WaitGroup
}

// investigation is the state of one start of an engine.
type investigation struct {
	startedAt time.Duration
	pending   []Cut
	// decided is set at the end of the investigation; ended and evidence are its result.
	decided, ended bool
	evidence       string
}

// NewDetector returns a Detector.
func NewDetector(o Options) *Detector {
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		}
	}
	return &Detector{Options: o, investigations: make(map[quarantine.EngineStart]*investigation)}
}

// Report records a request that was cut, and starts an investigation unless one is in progress. An
// engine that is known to be stopping is not investigated, since its connections end as planned.
func (d *Detector) Report(ctx context.Context, e catalog.Engine, c Cut) {
	if ctx.Err() != nil || !d.expectedToRun(e.ID) {
		return
	}
	now := d.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(now)
	inv := d.investigations[startOf(e)]
	switch {
	case inv == nil:
		d.investigations[startOf(e)] = &investigation{startedAt: now, pending: []Cut{c}}
		d.wg.Go(func() { d.investigate(ctx, e) })
	case !inv.decided:
		inv.pending = append(inv.pending, c)
	case inv.ended:
		d.wg.Go(func() {
			d.report(End{Engine: e, At: inv.startedAt, Cuts: []Cut{c}, Evidence: inv.evidence, Known: true})
		})
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

// forget drops old investigations. The caller holds the mutex.
func (d *Detector) forget(now time.Duration) {
	for start, inv := range d.investigations {
		if inv.decided && now-inv.startedAt > verdictLifetime {
			delete(d.investigations, start)
		}
	}
}

// investigate determines whether the engine has ended.
func (d *Detector) investigate(ctx context.Context, e catalog.Engine) {
	accepts := false
	for _, wait := range probePauses {
		if !pause.For(ctx, wait) {
			return
		}
		if ended, evidence, decided := d.checkCatalog(e, accepts); decided {
			d.decide(e, ended, evidence)
			return
		}
		if accepts {
			continue
		}
		err := d.connect(ctx, e.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			d.decide(e, true, "connection refused")
			return
		}
		accepts = err == nil
	}
	d.decide(e, false, "")
}

// checkCatalog looks for evidence in the catalog. An engine that crashed may start again under its ID,
// and another engine may have started at its address. Otherwise its entry expires without
// having been marked as draining. If its address accepts connections, an expired entry proves
// nothing, since an engine may also leave without a mark.
func (d *Detector) checkCatalog(e catalog.Engine, accepts bool) (ended bool, evidence string, decided bool) {
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
	if !known {
		return !accepts, "entry removed", true
	}
	return false, "", false
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

// decide ends the investigation and reports its result.
func (d *Detector) decide(e catalog.Engine, ended bool, evidence string) {
	d.mu.Lock()
	inv := d.investigations[startOf(e)]
	inv.decided, inv.ended, inv.evidence = true, ended, evidence
	end := End{Engine: e, At: inv.startedAt, Cuts: inv.pending, Evidence: evidence}
	inv.pending = nil
	d.mu.Unlock()
	if !ended {
		d.Log.Debug("connections to an engine broke; the engine runs or stops as planned", "engine", e.ID, "requests", len(end.Cuts))
		return
	}
	d.report(end)
}

// report logs an end and passes it on.
func (d *Detector) report(end End) {
	e := end.Engine
	d.Log.Warn("engine ended", "engine", e.ID, "address", e.Address, "service", e.Service, "site", e.Site,
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
