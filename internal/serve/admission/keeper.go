package admission

import (
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"github.com/zeebo/errs"
)

// ErrNotOwner means that this router does not own the engine that a permit
// was asked for; views of the fleet differ for some seconds after a change.
var ErrNotOwner = errs.Class("admission: not the owner")

// entry is the book of one owned engine.
type entry struct {
	mu     sync.Mutex
	book   *permit.Book
	bound  float64
	engine string
	lane   laneKey
}

// Keeper holds the books of the engines that this router owns.
type Keeper struct {
	a  *Admission
	mu sync.RWMutex
	// books are by engine id.
	books map[uint64]*entry
	// live are the holder names of the routers known at the last sync.
	live map[string]bool
}

func newKeeper(a *Admission) *Keeper {
	return &Keeper{a: a, books: make(map[uint64]*entry), live: make(map[string]bool)}
}

// sync opens and closes books as ownership moves.
func (k *Keeper) sync(now time.Time, snap *board.Snapshot) {
	owned := make(map[uint64]*board.Engine)
	for _, g := range snap.Groups() {
		for i := range g.Engines {
			if o := g.Owners[i]; o >= 0 && snap.Routers[o].Name == snap.Self {
				owned[g.IDs[i]] = &g.Engines[i]
			}
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.books {
		if owned[id] == nil {
			delete(k.books, id)
		}
	}
	others := otherNames(snap)
	for id, e := range owned {
		if k.books[id] == nil {
			k.books[id] = k.open(now, e, others)
		}
	}
	k.noteRouters(now, snap)
}

// open starts the book of an engine. Holders that the previous owner had
// granted permits report them; until then, or for a time, half is granted.
func (k *Keeper) open(now time.Time, e *board.Engine, others []string) *entry {
	en := &entry{engine: e.Name, lane: laneKey{pool: e.Pool, region: e.Region}}
	cfg := permit.Config{
		// The pool's own limits are checked before the book is asked, so that
		// a changed configuration counts at once.
		MaxBatch: maxBatchInBook,
		Admit: func(load, w, total int64, n int, _ float64) bool {
			return placement.Admissible(load, w, total, n, en.bound)
		},
	}
	en.book = permit.NewBook(now, cfg, e.Status.Incarnation, others)
	return en
}

// maxBatchInBook leaves the batch limit to placement.Admit.
const maxBatchInBook = 1 << 20

func otherNames(snap *board.Snapshot) []string {
	var out []string
	for _, r := range snap.Routers {
		if r.Name != snap.Self {
			out = append(out, r.HolderName())
		}
	}
	return out
}

// noteRouters tells the books which routers were lost or came back.
func (k *Keeper) noteRouters(now time.Time, snap *board.Snapshot) {
	live := make(map[string]bool, len(snap.Routers))
	for _, r := range snap.Routers {
		live[r.HolderName()] = true
	}
	for _, en := range k.books {
		en.mu.Lock()
		for name := range k.live {
			if !live[name] {
				en.book.RouterDead(now, name)
			}
		}
		for name := range live {
			if !k.live[name] {
				en.book.RouterAlive(now, name)
			}
		}
		en.mu.Unlock()
	}
	k.live = live
}

func (k *Keeper) entry(id uint64) *entry {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.books[id]
}

func (k *Keeper) load(now time.Time, id uint64) (permit.Load, bool) {
	en := k.entry(id)
	if en == nil {
		return permit.Load{}, false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.book.Load(now), true
}

func (k *Keeper) acquire(now time.Time, id uint64, bound float64, r permit.Request) (permit.Permit, error) {
	en := k.entry(id)
	if en == nil {
		return permit.Permit{}, ErrNotOwner.New("engine %x", id)
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.bound = bound
	return en.book.Acquire(now, r)
}

// release ends a permit; ok is false where this router does not own the engine.
func (k *Keeper) release(now time.Time, id uint64, permitID, holder string) (out permit.Outcome, lane laneKey, ok bool) {
	en := k.entry(id)
	if en == nil {
		return permit.NotHeld, laneKey{}, false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.book.ReleaseBy(now, permitID, holder), en.lane, true
}

func (k *Keeper) transfer(now time.Time, id uint64, r permit.Request) (permit.Permit, error) {
	en := k.entry(id)
	if en == nil {
		return permit.Permit{}, ErrNotOwner.New("engine %x", id)
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.book.Transfer(now, r)
}

// report takes in what an engine says of itself; it returns false where this
// router does not own the engine.
func (k *Keeper) report(now time.Time, id uint64, load permit.EngineLoad) bool {
	return k.reconcile(id, func(b *permit.Book) permit.Reconciled { return b.EngineReport(now, load) })
}

// holdings takes in what another router holds; it returns false where this
// router does not own the engine.
func (k *Keeper) holdings(now time.Time, id uint64, r permit.HolderReport) bool {
	return k.reconcile(id, func(b *permit.Book) permit.Reconciled { return b.Holdings(now, r) })
}

// reconcile applies a report to an engine's book and counts what it changed.
func (k *Keeper) reconcile(id uint64, apply func(*permit.Book) permit.Reconciled) bool {
	en := k.entry(id)
	if en == nil {
		return false
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	r := apply(en.book)
	k.a.Metrics.Reconciled.Add(int64(r.Adopted + r.Dropped))
	return true
}
