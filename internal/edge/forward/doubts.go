package forward

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"golang.org/x/time/rate"
)

const (
	// entryDelay is how long after its start an engine's entry may still be that of the start before.
	entryDelay = 1500 * time.Millisecond
	// lossSpread is the time within which all connections of a process that ends are lost.
	lossSpread = 5 * time.Millisecond
	// maxQueries is how often an engine is queried for its start after a loss.
	maxQueries = 3
	// beginQueriesPerSecond limits the queries of a router for streams that begin while one version serves.
	// With 295 routers and two such streams a second at each, an engine gets two queries a second.
	beginQueriesPerSecond = 10
	beginQueryBurst       = 20
)

// RestartDoubts tracks the engines that may have been restarted in place, under the same ID and address,
// before their entries show it: the new process may be of another version. A lost connection is
// a sign of that, unless an older one is still open. The engine is then queried for the time of its start.
// Engines that state no start in their entries have another ID after each. It is safe for concurrent
// use.
type RestartDoubts struct {
	clock    func() time.Duration
	snapshot func() *catalog.Snapshot
	// survives reports whether a connection to the engine is open that was opened before a time.
	survives func(engine string, openedBefore time.Duration) bool
	// queryStart returns the time of the start that an engine states, as in its entry.
	queryStart func(catalog.Engine) (born int64, err error)
	// multiVersion reports whether more than one version of a service has served lately.
	multiVersion func(service string) bool
	// begins limits the queries for streams that begin while one version serves.
	begins *rate.Limiter
	// answered is called when an engine has stated its start.
	answered func()

	mu     sync.Mutex
	losses map[string]loss
	// connectedAt is when a connection to an engine was opened while there was no other, as long as its
	// entry may be that of a start before.
	connectedAt map[string]time.Duration
}

// loss is the loss of connections to an engine.
type loss struct {
	// engine is the entry that was known then.
	engine catalog.Engine
	// aliveAt is when the process of the first lost connection lived for certain, first and last are the
	// times of the first loss and the last one, on the boot clock.
	aliveAt, first, last time.Duration
	// restarted is set if the engine has stated another start than the entry. queries counts how often it
	// was queried, and querying is set while it is.
	restarted bool
	queries   int
	querying  bool
}

// NewRestartDoubts returns a RestartDoubts.
func NewRestartDoubts(clock func() time.Duration, snapshot func() *catalog.Snapshot, survives func(engine string, openedBefore time.Duration) bool, queryStart func(catalog.Engine) (int64, error), multiVersion func(service string) bool) *RestartDoubts {
	return &RestartDoubts{begins: rate.NewLimiter(beginQueriesPerSecond, beginQueryBurst), clock: clock, snapshot: snapshot, survives: survives, queryStart: queryStart, multiVersion: multiVersion, answered: func() {}, losses: make(map[string]loss), connectedAt: make(map[string]time.Duration)}
}

// OnAnswer sets the function that is called when an engine has stated its start. It must be called before
// the first request.
func (d *RestartDoubts) OnAnswer(answered func()) { d.answered = answered }

// Restarted reports whether the engine is known to have been restarted since its entry was written.
func (d *RestartDoubts) Restarted(e catalog.Engine) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.losses[e.ID]
	return l.restarted && !e.RestartOf(l.engine)
}

// LostAt returns when a connection to the engine was first lost that may show the end of the start that its
// entry states, if one was.
func (d *RestartDoubts) LostAt(e catalog.Engine) (at time.Duration, lost bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.losses[e.ID]
	return l.first, ok && !e.RestartOf(l.engine)
}

// Lose records that a connection to the engine was lost, whose process lived at aliveAt.
func (d *RestartDoubts) Lose(engine string, aliveAt time.Duration) {
	if e, ok := d.snapshot().Engines.ByID[engine]; ok {
		d.doubt(e, aliveAt)
	}
}

// Connect records that a connection to the engine was opened while there was no other, so that a
// restart since the last one went unnoticed. If knownStart is set, a stream that can be resumed uses it.
func (d *RestartDoubts) Connect(engine string, knownStart bool) {
	e, ok := d.snapshot().Engines.ByID[engine]
	if !ok || e.Born == 0 {
		return
	}
	d.mu.Lock()
	d.connectedAt[engine] = d.clock()
	d.mu.Unlock()
	if knownStart {
		d.VerifyBegin(e)
	}
}

// VerifyBegin is Verify for a stream that begins at the engine. While one version serves, it is limited:
// a restart that goes unnoticed matters only if it brings the first engine of another version.
func (d *RestartDoubts) VerifyBegin(e catalog.Engine) {
	d.mu.Lock()
	_, unverified := d.connectedAt[e.ID]
	d.mu.Unlock()
	if unverified && (d.multiVersion(e.Service) || d.begins.Allow()) {
		d.Verify(e)
	}
}

// Verify puts the engine in doubt if a restart may have gone unnoticed.
func (d *RestartDoubts) Verify(e catalog.Engine) {
	asOf := d.snapshot().EnginesAsOf
	d.mu.Lock()
	at, ok := d.connectedAt[e.ID]
	delete(d.connectedAt, e.ID)
	d.mu.Unlock()
	if ok && asOf <= at+entryDelay {
		d.doubt(e, 0)
		d.InDoubt(e)
	}
}

func (d *RestartDoubts) doubt(e catalog.Engine, aliveAt time.Duration) {
	if e.Born == 0 {
		return
	}
	now := d.clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.losses[e.ID]
	if !ok || e.RestartOf(l.engine) {
		l = loss{engine: e, aliveAt: aliveAt, first: now}
	}
	l.aliveAt = min(l.aliveAt, aliveAt)
	l.last, l.queries = now, 0
	d.losses[e.ID] = l
}

// InDoubt reports whether the engine may have been restarted with another version.
func (d *RestartDoubts) InDoubt(e catalog.Engine) bool {
	if d == nil {
		return false
	}
	s := d.snapshot()
	current, known := s.Engines.ByID[e.ID]
	if known && current.RestartOf(e) {
		// The entry was replaced since the engine was selected.
		return true
	}
	d.mu.Lock()
	l, ok := d.losses[e.ID]
	d.mu.Unlock()
	if !ok {
		return false
	}
	now := d.clock()
	switch {
	case known && current.RestartOf(l.engine):
		// The entry is that of the new start.
	case l.restarted:
		return true
	case s.EnginesAsOf > l.last+entryDelay:
	case now > l.last+lossSpread && d.survives(e.ID, l.aliveAt):
	default:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.query(e.ID, d.losses[e.ID])
		return true
	}
	d.clear(e.ID, l)
	return false
}

// query asks the engine for its start, unless that is in progress. The caller holds the mutex.
func (d *RestartDoubts) query(engine string, l loss) {
	if l.querying || l.queries >= maxQueries || l.engine.ID != engine {
		return
	}
	l.querying = true
	l.queries++
	d.losses[engine] = l
	go func() {
		sent := d.clock()
		born, err := d.queryStart(l.engine)
		d.recordStart(l.engine, sent, born, err)
		d.answered()
	}()
}

// recordStart applies the reply of an engine that was queried at sent.
func (d *RestartDoubts) recordStart(e catalog.Engine, sent time.Duration, born int64, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.losses[e.ID]
	if !ok {
		return
	}
	l.querying = false
	switch {
	case err != nil:
	case born != l.engine.Born:
		l.restarted = true
	case sent >= l.last:
		delete(d.losses, e.ID)
		return
	}
	d.losses[e.ID] = l
	if err == nil && !l.restarted {
		// Another connection was lost or opened since.
		d.query(e.ID, l)
	}
}

// clear drops a loss, unless there was another one since.
func (d *RestartDoubts) clear(engine string, l loss) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.losses[engine].last == l.last {
		delete(d.losses, engine)
	}
}

// Prune drops what is known of engines that are gone, or no longer matters.
func (d *RestartDoubts) Prune() {
	engines := d.snapshot().Engines.ByID
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.losses {
		if _, ok := engines[id]; !ok {
			delete(d.losses, id)
		}
	}
	asOf := d.snapshot().EnginesAsOf
	for id, at := range d.connectedAt {
		if _, ok := engines[id]; !ok || asOf > at+entryDelay {
			delete(d.connectedAt, id)
		}
	}
}

// Count returns the number of engines with a loss that is not explained yet.
func (d *RestartDoubts) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.losses)
}
