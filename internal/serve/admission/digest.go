package admission

import (
	"maps"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// EngineLoad is what an engine's owner tells other routers.
type EngineLoad struct {
	// Engine is the engine's id.
	Engine      uint64
	Incarnation uint64
	// Weight and Count are the admitted, unfinished work.
	Weight   int64
	Count    int32
	MaxBatch int32
	Flags    uint8
	// Owner is the low half of the owner's instance, and Seq counts the owner's
	// rounds: what is passed on by others may arrive late and out of order.
	Owner uint32
	Seq   uint32
}

// The flags of an EngineLoad.
const (
	flagLeaving = 1 << iota
	flagModel
	flagAdapters
)

// Leaving says that the engine is to stop.
func (e EngineLoad) Leaving() bool { return e.Flags&flagLeaving != 0 }

// Serves says whether the engine can serve a request to its pool, with one of
// the pool's adapters or without.
func (e EngineLoad) Serves(adapter bool) bool {
	return e.Flags&flagModel != 0 && (!adapter || e.Flags&flagAdapters != 0)
}

const (
	// subscription is how long a router that asked for a permit is told of
	// load changes.
	subscription = 30 * time.Second
	// maxDigest bounds the engines in one digest.
	maxDigest = 32
	// directListeners is how many routers are told directly. In a larger group
	// each owner tells spreadTo routers a round, drawn at random, and passes on
	// what it heard of others, spreadLoads engines in all: the bytes of a router
	// then do not grow with the group.
	directListeners = 8
	spreadTo        = 2
	spreadLoads     = 8
)

// learn takes in what the owners of some engines said of them, directly or
// passed on. The word of a router that does not own an engine any more is not
// taken, nor one that is older than what is known. direct marks an owner's own
// answer, which within a round is newer than its digest.
func (l *lane) learn(now time.Time, loads []EngineLoad, direct bool) {
	snap := l.a.opts.Board.Snapshot()
	changed := false
	l.mu.Lock()
	for _, e := range loads {
		owner, ok := snap.EngineOwner(e.Engine)
		if !ok || owner.Name == snap.Self || uint32(owner.Instance) != e.Owner {
			continue
		}
		changed = l.hear(now, e, direct) || changed
	}
	l.mu.Unlock()
	if changed {
		l.wake()
	}
}

// hear takes in one engine's load and reports whether it is news; the caller
// holds l.mu.
//
// What is passed on a second time is not news: it must not look fresh, or the
// last words of an owner that is lost would go round for ever.
func (l *lane) hear(now time.Time, e EngineLoad, direct bool) bool {
	old, had := l.loads[e.Engine]
	if had && e.Incarnation < old.Incarnation {
		return false
	}
	if had && e.Owner == old.Owner && (e.Seq < old.Seq || e.Seq == old.Seq && !direct) {
		return false
	}
	k := known{EngineLoad: e, at: now}
	if e.Weight >= old.Weight {
		k.deniedUntil = old.deniedUntil
	}
	l.loads[e.Engine] = k
	return !had || e != old.EngineLoad
}

func (l *lane) subscribe(now time.Time, router string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subs[router] = now.Add(subscription)
}

// owned lists the loads of the engines in this lane that this router owns.
func (l *lane) owned(now time.Time) []EngineLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []EngineLoad
	for id, k := range l.loads {
		load, ok := l.a.keeper.load(now, id)
		if !ok {
			continue
		}
		e := k.EngineLoad
		e.Weight = load.Weight
		e.Count = int32(load.Count)
		e.Owner = uint32(l.a.opts.Instance)
		e.Seq = l.round
		out = append(out, e)
		if len(out) == maxDigest {
			break
		}
	}
	return out
}

// listeners are the routers to tell of load changes: those that own an engine
// of the group, and those that asked for a permit lately.
func (l *lane) listeners(now time.Time, snap *board.Snapshot) map[string]bool {
	out := make(map[string]bool)
	if g := snap.Group(l.key.pool, l.key.region); g != nil {
		for _, o := range g.Owners {
			if o >= 0 {
				out[snap.Routers[o].Name] = true
			}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, until := range l.subs {
		if now.After(until) {
			delete(l.subs, name)
			continue
		}
		out[name] = true
	}
	delete(out, snap.Self)
	return out
}

// Digest is a datagram that tells one router of load changes.
type Digest struct {
	To      board.Router
	Payload []byte
}

// Digests returns the datagrams to send now. Unless all is set, only engines
// whose load changed since the last call are told of directly.
func (a *Admission) Digests(now time.Time, all bool) []Digest {
	snap := a.opts.Board.Snapshot()
	perRouter := make(map[string][]EngineLoad)
	for _, l := range a.allLanes() {
		l.nextRound()
		listeners := slices.Collect(maps.Keys(l.listeners(now, snap)))
		loads := l.changed(now, all)
		if len(listeners) > directListeners {
			listeners = l.draw(listeners)
			loads = l.passOn(now)
		}
		if len(loads) == 0 {
			continue
		}
		for _, name := range listeners {
			perRouter[name] = append(perRouter[name], loads...)
		}
	}
	var out []Digest
	for name, loads := range perRouter {
		r, ok := snap.Router(name)
		if !ok {
			continue
		}
		for part := range slices.Chunk(loads, maxDigest) {
			out = append(out, Digest{To: r, Payload: appendDigest(nil, part)})
		}
	}
	return out
}

// nextRound begins a round of digests.
func (l *lane) nextRound() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.round++
}

// draw picks a few listeners at random. Every second round has none: news of a
// large group's total may be a little older, as it changes less.
func (l *lane) draw(listeners []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.round%2 == 1 {
		return nil
	}
	slices.Sort(listeners)
	l.rng.Shuffle(len(listeners), func(i, j int) { listeners[i], listeners[j] = listeners[j], listeners[i] })
	return listeners[:spreadTo]
}

// passOn is the loads of the engines owned here and, up to spreadLoads, some
// that were heard of lately, drawn at random.
func (l *lane) passOn(now time.Time) []EngineLoad {
	out := l.owned(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, k := range l.loads {
		if len(out) >= spreadLoads {
			break
		}
		if _, own := l.a.keeper.load(now, id); own || now.Sub(k.at) > passOnAge {
			continue
		}
		out = append(out, k.EngineLoad)
	}
	return out
}

// passOnAge is from when on a load is too old to be passed on.
const passOnAge = 10 * time.Second

// changed lists the owned engines whose load is worth telling.
func (l *lane) changed(now time.Time, all bool) []EngineLoad {
	loads := l.owned(now)
	out := loads[:0]
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range loads {
		told := e
		told.Seq = 0
		if all || l.told[e.Engine] != told {
			out = append(out, e)
		}
		l.told[e.Engine] = told
	}
	return out
}

// TakeDigest takes in a datagram from another router.
func (a *Admission) TakeDigest(payload []byte) error {
	loads, err := decodeDigest(payload)
	if err != nil {
		return err
	}
	now := time.Now()
	snap := a.opts.Board.Snapshot()
	byLane := make(map[laneKey][]EngineLoad)
	for _, e := range loads {
		if key, ok := laneKeyOf(snap, e.Engine); ok {
			byLane[key] = append(byLane[key], e)
		}
	}
	for key, list := range byLane {
		if l := a.lane(key); l != nil {
			l.learn(now, list, false)
		}
	}
	return nil
}

func laneKeyOf(snap *board.Snapshot, engine uint64) (laneKey, bool) {
	e, ok := snap.EngineByID(engine)
	if !ok {
		return laneKey{}, false
	}
	return laneKey{pool: e.Pool, region: e.Region}, true
}
