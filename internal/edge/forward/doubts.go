package forward

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
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

// DoubtsOptions configure a RestartDoubts.
type DoubtsOptions struct {
	// Clock returns the time since the VM booted.
	Clock    func() time.Duration
	Snapshot func() *catalog.Snapshot
	// Survives reports whether a connection to the engine is open that was opened before a time.
	Survives func(engine string, openedBefore time.Duration) bool
	// QueryStart asks an engine for the time of its start, on a new connection.
	QueryStart func(catalog.Engine) (StatedStart, error)
	// MultiVersion reports whether more than one version of a service has served lately. The default is that
	// one has.
	MultiVersion func(service string) bool
	// Others returns what the other routers report of the engines, by ID. The default is nothing.
	Others func() map[string]feed.EngineLoad
	// Answered is called when an engine has stated its start. The default does nothing.
	Answered func()
}

// RestartDoubts tracks the engines that may have been restarted in place, under the same ID and address,
// before their entries show it: the new process may be of another version. A lost connection is
// a sign of that, unless an older one is still open. The engine is then queried for the time of its start.
// Engines that state no start in their entries have another ID after each. It is safe for concurrent
// use.
type RestartDoubts struct {
	DoubtsOptions
	// begins limits the queries for streams that begin while one version serves.
	begins *rate.Limiter

	mu     sync.Mutex
	losses map[string]loss
	// connected holds by engine when connections were opened while there was no other, as long as its
	// entry may be that of a start before.
	connected map[string]firstConnections
	// proofs holds by engine what is known of the start that its entry states.
	proofs map[string]startProof
}

// firstConnections are the connections to an engine that were opened while there was no other, and whose
// start is not proved.
type firstConnections struct {
	// since is when the first of them was opened, and last when the last one was.
	since, last time.Duration
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
func NewRestartDoubts(o DoubtsOptions) *RestartDoubts {
	if o.MultiVersion == nil {
		o.MultiVersion = func(string) bool { return false }
	}
	if o.Others == nil {
		o.Others = func() map[string]feed.EngineLoad { return nil }
	}
	if o.Answered == nil {
		o.Answered = func() {}
	}
	return &RestartDoubts{
		DoubtsOptions: o, begins: rate.NewLimiter(beginQueriesPerSecond, beginQueryBurst),
		losses: make(map[string]loss), connected: make(map[string]firstConnections), proofs: make(map[string]startProof),
	}
}

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
// entry states, if one was. Without a loss, the first connection that may be to the next start counts.
func (d *RestartDoubts) LostAt(e catalog.Engine) (at time.Duration, lost bool) {
	if d == nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if l, ok := d.losses[e.ID]; ok && !e.RestartOf(l.engine) {
		return l.first, true
	}
	c, ok := d.connected[e.ID]
	return c.since, ok
}

// Lose records that a connection to the engine was lost, whose process lived at aliveAt.
func (d *RestartDoubts) Lose(engine string, aliveAt time.Duration) {
	if e, ok := d.Snapshot().Engines.ByID[engine]; ok {
		d.doubt(e, aliveAt, d.Clock())
	}
}

// Connect records that a connection to the engine was opened while there was no other, so that a
// restart since the last one went unnoticed. If knownStart is set, a stream that can be resumed uses it.
func (d *RestartDoubts) Connect(engine string, openedAt time.Duration, knownStart bool) {
	e, ok := d.Snapshot().Engines.ByID[engine]
	if !ok || e.Born == 0 {
		return
	}
	asOf := d.Snapshot().EnginesAsOf
	d.mu.Lock()
	c, known := d.connected[engine]
	if !known || asOf > c.since+entryDelay {
		c.since = openedAt
	}
	c.last = max(c.last, openedAt)
	d.connected[engine] = c
	d.mu.Unlock()
	if knownStart {
		d.VerifyBegin(e)
	}
}

// VerifyBegin is Verify for a stream that begins at the engine. While one version serves, a restart that
// goes unnoticed matters only if it brings the first engine of another version: the engine is queried only
// if no other router proves its start, and within a limit.
func (d *RestartDoubts) VerifyBegin(e catalog.Engine) {
	d.mu.Lock()
	_, unverified := d.connected[e.ID]
	d.mu.Unlock()
	if unverified && (d.MultiVersion(e.Service) || !d.provenByOthers(e) && d.begins.Allow()) {
		d.Verify(e)
	}
}

// provenByOthers reports whether another router has a connection that proves the start that the engine's
// entry states, and none has lost one to it.
func (d *RestartDoubts) provenByOthers(e catalog.Engine) bool {
	load := d.Others()[e.ID]
	return load.Proven > 0 && load.LostBorn != e.Born
}

// Verify puts the engine in doubt if a restart may have gone unnoticed.
func (d *RestartDoubts) Verify(e catalog.Engine) {
	asOf := d.Snapshot().EnginesAsOf
	d.mu.Lock()
	c, ok := d.connected[e.ID]
	delete(d.connected, e.ID)
	d.mu.Unlock()
	if ok && asOf <= c.last+entryDelay {
		d.Doubt(e, c.last)
	}
}

// Doubt puts the engine in doubt until there is a proof that it ran the start of its entry at a time.
func (d *RestartDoubts) Doubt(e catalog.Engine, at time.Duration) {
	d.doubt(e, 0, at)
	d.InDoubt(e)
}

// doubt records that the engine may have been restarted between aliveAt and a later time.
func (d *RestartDoubts) doubt(e catalog.Engine, aliveAt, at time.Duration) {
	if e.Born == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.proofs[e.ID].covers(e, at) {
		return
	}
	l, ok := d.losses[e.ID]
	if !ok || e.RestartOf(l.engine) {
		l = loss{engine: e, aliveAt: aliveAt, first: at}
	}
	l.aliveAt = min(l.aliveAt, aliveAt)
	l.last, l.queries = max(l.last, at), 0
	d.losses[e.ID] = l
}

// InDoubtAt reports whether the engine may have been restarted with another version by a time. A
// start that it has stated since stays proved, whatever happens later.
func (d *RestartDoubts) InDoubtAt(e catalog.Engine, at time.Duration) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	proved := d.proofs[e.ID].covers(e, at)
	d.mu.Unlock()
	return !proved && d.InDoubt(e)
}

// InDoubt reports whether the engine may have been restarted with another version.
func (d *RestartDoubts) InDoubt(e catalog.Engine) bool {
	if d == nil {
		return false
	}
	s := d.Snapshot()
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
	now := d.Clock()
	switch {
	case known && current.RestartOf(l.engine):
		// The entry is that of the new start.
	case l.restarted:
		return true
	case s.EnginesAsOf > l.last+entryDelay:
	case now > l.last+lossSpread && d.Survives(e.ID, l.aliveAt):
	default:
		d.mu.Lock()
		defer d.mu.Unlock()
		d.query(e.ID, d.losses[e.ID])
		return true
	}
	d.clear(e.ID, l)
	return false
}

// Querying reports whether the engine is being queried for its start.
func (d *RestartDoubts) Querying(e catalog.Engine) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.losses[e.ID].querying
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
		stated, err := d.QueryStart(l.engine)
		d.recordStart(l.engine, stated, err)
		d.Answered()
	}()
}

// recordStart applies the reply of an engine that was queried.
func (d *RestartDoubts) recordStart(e catalog.Engine, stated StatedStart, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil && stated.Born == e.Born {
		d.proofs[e.ID] = startProof{born: e.Born, verifiedAt: stated.OpenedAt}
		if c, ok := d.connected[e.ID]; ok && c.last <= stated.OpenedAt {
			delete(d.connected, e.ID)
		}
	}
	l, ok := d.losses[e.ID]
	if !ok {
		return
	}
	l.querying = false
	switch {
	case err != nil:
	case stated.Born != l.engine.Born:
		l.restarted = true
	case stated.OpenedAt >= l.last:
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
	engines := d.Snapshot().Engines.ByID
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.losses {
		if _, ok := engines[id]; !ok {
			delete(d.losses, id)
		}
	}
	for id := range d.proofs {
		if _, ok := engines[id]; !ok {
			delete(d.proofs, id)
		}
	}
	asOf := d.Snapshot().EnginesAsOf
	for id, c := range d.connected {
		if _, ok := engines[id]; !ok || asOf > c.last+entryDelay {
			delete(d.connected, id)
		}
	}
}

// Count returns the number of engines with a loss that is not explained yet.
func (d *RestartDoubts) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.losses)
}
