package admission

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"github.com/zeebo/errs"
)

// ErrNotOwner is the class of errors for calls about an engine that this router
// doesn't own. Routers' views of the fleet differ for some seconds after a
// change.
var ErrNotOwner = errs.Class("admission: not the owner")

// engineLedger is the permit ledger of one owned engine.
type engineLedger struct {
	mu      sync.Mutex
	permits *permit.Ledger
	bound   float64
	engine  string
	group   groupKey
}

// permitLedgers holds the permit ledgers of the engines that this router owns.
type permitLedgers struct {
	a  *Admission
	mu sync.RWMutex
	// byEngine maps engine IDs to ledgers.
	byEngine map[uint64]*engineLedger
	// liveHolders are the holder names of the routers in the last snapshot.
	liveHolders map[string]bool
}

func newPermitLedgers(a *Admission) *permitLedgers {
	return &permitLedgers{a: a, byEngine: make(map[uint64]*engineLedger), liveHolders: make(map[string]bool)}
}

// sync opens and closes ledgers as the ownership of engines changes.
func (l *permitLedgers) sync(now time.Time, snap *board.Snapshot) {
	owned := make(map[uint64]*board.Engine)
	for _, g := range snap.Groups() {
		for i := range g.Engines {
			if o := g.Owners[i]; o >= 0 && snap.Routers[o].Name == snap.Self {
				owned[g.IDs[i]] = &g.Engines[i]
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.byEngine {
		if owned[id] == nil {
			delete(l.byEngine, id)
		}
	}
	others := otherHolders(snap)
	for id, e := range owned {
		if l.byEngine[id] == nil {
			l.byEngine[id] = l.newLedger(now, e, others)
		}
	}
	l.updateRouters(now, snap)
}

// newLedger opens the ledger of an engine. Permits granted by the previous
// owner are reported by their holders; until all have reported, or the warm-up
// time is over, the ledger grants permits only up to half of the load bound.
func (l *permitLedgers) newLedger(now time.Time, e *board.Engine, others []string) *engineLedger {
	ledger := &engineLedger{engine: e.Name, group: groupKey{pool: e.Pool, region: e.Region}}
	cfg := permit.Config{
		// The pool's own limits are checked before the ledger is consulted, so
		// that a configuration change takes effect at once.
		MaxBatch: unlimitedBatch,
		Admit: func(load, w, total int64, n int, _ float64) bool {
			return placement.Admissible(load, w, total, n, ledger.bound)
		},
	}
	ledger.permits = permit.NewLedger(now, cfg, e.Status.Incarnation, others)
	return ledger
}

// unlimitedBatch disables the batch limit of a ledger; placement.Admit enforces
// the pool's limit.
const unlimitedBatch = 1 << 20

func otherHolders(snap *board.Snapshot) []string {
	var out []string
	for _, r := range snap.Routers {
		if r.Name != snap.Self {
			out = append(out, r.HolderName())
		}
	}
	return out
}

// updateRouters records in the ledgers which routers died or returned.
func (l *permitLedgers) updateRouters(now time.Time, snap *board.Snapshot) {
	live := make(map[string]bool, len(snap.Routers))
	for _, r := range snap.Routers {
		live[r.HolderName()] = true
	}
	for _, ledger := range l.byEngine {
		ledger.mu.Lock()
		for name := range l.liveHolders {
			if !live[name] {
				ledger.permits.MarkRouterDead(now, name)
			}
		}
		for name := range live {
			if !l.liveHolders[name] {
				ledger.permits.MarkRouterAlive(now, name)
			}
		}
		ledger.mu.Unlock()
	}
	l.liveHolders = live
}

func (l *permitLedgers) find(id uint64) *engineLedger {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byEngine[id]
}

func (l *permitLedgers) load(now time.Time, id uint64) (permit.Load, bool) {
	ledger := l.find(id)
	if ledger == nil {
		return permit.Load{}, false
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.permits.Load(now), true
}

func (l *permitLedgers) acquire(now time.Time, id uint64, bound float64, r permit.Request) (permit.Permit, error) {
	ledger := l.find(id)
	if ledger == nil {
		return permit.Permit{}, ErrNotOwner.New("engine %x", id)
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.bound = bound
	return ledger.permits.Acquire(now, r)
}

// release ends a permit; ok is false if this router doesn't own the engine.
func (l *permitLedgers) release(now time.Time, id uint64, permitID, holder string) (out permit.Outcome, group groupKey, ok bool) {
	ledger := l.find(id)
	if ledger == nil {
		return permit.NotHeld, groupKey{}, false
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.permits.ReleaseBy(now, permitID, holder), ledger.group, true
}

func (l *permitLedgers) transfer(now time.Time, id uint64, r permit.Request) (permit.Permit, error) {
	ledger := l.find(id)
	if ledger == nil {
		return permit.Permit{}, ErrNotOwner.New("engine %x", id)
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.permits.Transfer(now, r)
}

// applyEngineReport applies an engine's own report. It returns false if this
// router doesn't own the engine.
func (l *permitLedgers) applyEngineReport(now time.Time, id uint64, load permit.EngineLoad) bool {
	return l.reconcile(id, func(ledger *permit.Ledger) permit.Changes { return ledger.ApplyEngineReport(now, load) })
}

// applyHolderReport applies a holder's report. It returns false if this router
// doesn't own the engine.
func (l *permitLedgers) applyHolderReport(now time.Time, id uint64, r permit.HolderReport) bool {
	return l.reconcile(id, func(ledger *permit.Ledger) permit.Changes { return ledger.ApplyHolderReport(now, r) })
}

// reconcile applies a report to an engine's ledger and counts the permits that it
// adopted or dropped.
func (l *permitLedgers) reconcile(id uint64, apply func(*permit.Ledger) permit.Changes) bool {
	ledger := l.find(id)
	if ledger == nil {
		return false
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	r := apply(ledger.permits)
	l.a.Metrics.Reconciled.Add(int64(r.Adopted + r.Dropped))
	return true
}
