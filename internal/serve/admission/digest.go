package admission

import (
	"maps"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// EngineLoad is the load of an engine as its owner reports it to other routers.
type EngineLoad struct {
	// Engine is the engine's ID.
	Engine      uint64
	Incarnation uint64
	// Weight and Count sum up the admitted, unfinished requests.
	Weight   int64
	Count    int32
	MaxBatch int32
	Flags    uint8
	// Owner is the lower 32 bits of the owner's instance. Seq counts the
	// owner's digest rounds, so that a router can recognize outdated loads:
	// those forwarded by other routers may arrive late and out of order.
	Owner uint32
	Seq   uint32
}

// Flags of an EngineLoad.
const (
	flagDraining = 1 << iota
	flagModel
	flagAdapters
)

// Draining reports whether the engine is about to stop.
func (e EngineLoad) Draining() bool { return e.Flags&flagDraining != 0 }

// Serves reports whether the engine can serve a request to its pool. With
// adapter set, the engine must have all adapters of the pool.
func (e EngineLoad) Serves(adapter bool) bool {
	return e.Flags&flagModel != 0 && (!adapter || e.Flags&flagAdapters != 0)
}

const (
	// subscriptionTTL is how long a router that requested a permit receives
	// load changes.
	subscriptionTTL = 30 * time.Second
	// maxDigestEngines limits the engines in one digest.
	maxDigestEngines = 32
	// maxDirectRecipients is the largest number of routers to which an owner
	// sends its loads directly. In a larger group an owner picks
	// forwardRecipients routers at random per round and sends them up to
	// maxForwardLoads loads, those received from other owners included, so that
	// a router's traffic does not grow with the group.
	maxDirectRecipients = 8
	forwardRecipients   = 2
	maxForwardLoads     = 8
)

// receiveLoads applies loads reported by engines' owners, directly or
// forwarded. It ignores loads from a router that no longer owns the engine and
// loads older than the known one. direct is set for the loads in an owner's
// reply to a call, which are newer than those of the digest with the same round
// number.
func (s *scheduler) receiveLoads(now time.Time, loads []EngineLoad, direct bool) {
	snap := s.a.opts.Board.Snapshot()
	changed := false
	s.mu.Lock()
	for _, e := range loads {
		owner, ok := snap.EngineOwner(e.Engine)
		if !ok || owner.Name == snap.Self || uint32(owner.Instance) != e.Owner {
			continue
		}
		changed = s.receiveLoad(now, e, direct) || changed
	}
	s.mu.Unlock()
	if changed {
		s.wake()
	}
}

// receiveLoad applies the load of one engine and reports whether it differs
// from the known one; the caller holds s.mu.
//
// A load that arrives again does not update the time of the record. Otherwise
// routers would keep forwarding the last load of a dead owner to each other
// forever.
func (s *scheduler) receiveLoad(now time.Time, e EngineLoad, direct bool) bool {
	old, had := s.loads[e.Engine]
	if had && e.Incarnation < old.Incarnation {
		return false
	}
	if had && e.Owner == old.Owner && (e.Seq < old.Seq || e.Seq == old.Seq && !direct) {
		return false
	}
	k := loadRecord{EngineLoad: e, updatedAt: now}
	if e.Weight >= old.Weight {
		k.deniedUntil = old.deniedUntil
	}
	s.loads[e.Engine] = k
	return !had || e != old.EngineLoad
}

func (s *scheduler) subscribe(now time.Time, router string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[router] = now.Add(subscriptionTTL)
}

// ownedLoads returns the loads of the engines of this group that this router
// owns, at most maxDigestEngines of them.
func (s *scheduler) ownedLoads(now time.Time) []EngineLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []EngineLoad
	for id, k := range s.loads {
		load, ok := s.a.ledgers.load(now, id)
		if !ok {
			continue
		}
		e := k.EngineLoad
		e.Weight = load.Weight
		e.Count = int32(load.Count)
		e.Owner = uint32(s.a.opts.Instance)
		e.Seq = s.digestRound
		out = append(out, e)
		if len(out) == maxDigestEngines {
			break
		}
	}
	return out
}

// recipients returns the names of the routers that receive load changes: the
// owners of engines of the group and the routers that requested a permit within
// subscriptionTTL.
func (s *scheduler) recipients(now time.Time, snap *board.Snapshot) map[string]bool {
	out := make(map[string]bool)
	if g := snap.Group(s.key.pool, s.key.region); g != nil {
		for _, o := range g.Owners {
			if o >= 0 {
				out[snap.Routers[o].Name] = true
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, until := range s.subscribers {
		if now.After(until) {
			delete(s.subscribers, name)
			continue
		}
		out[name] = true
	}
	delete(out, snap.Self)
	return out
}

// Digest is a datagram that reports engine loads to one router.
type Digest struct {
	To      board.Router
	Payload []byte
}

// Digests returns the datagrams to send now. Direct recipients get only the
// loads that changed since the last call, unless full is set.
func (a *Admission) Digests(now time.Time, full bool) []Digest {
	snap := a.opts.Board.Snapshot()
	perRouter := make(map[string][]EngineLoad)
	for _, s := range a.allSchedulers() {
		s.nextRound()
		recipients := slices.Collect(maps.Keys(s.recipients(now, snap)))
		loads := s.changedLoads(now, full)
		if len(recipients) > maxDirectRecipients {
			recipients = s.sampleRecipients(recipients)
			loads = s.forwardedLoads(now)
		}
		if len(loads) == 0 {
			continue
		}
		for _, name := range recipients {
			perRouter[name] = append(perRouter[name], loads...)
		}
	}
	var out []Digest
	for name, loads := range perRouter {
		r, ok := snap.Router(name)
		if !ok {
			continue
		}
		for chunk := range slices.Chunk(loads, maxDigestEngines) {
			out = append(out, Digest{To: r, Payload: appendDigest(nil, chunk)})
		}
	}
	return out
}

// nextRound starts a digest round.
func (s *scheduler) nextRound() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.digestRound++
}

// sampleRecipients returns forwardRecipients random recipients in every second
// round and none in the others. The total load of a large group changes
// relatively less than that of a small one, so it may be reported less often.
func (s *scheduler) sampleRecipients(recipients []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.digestRound%2 == 1 {
		return nil
	}
	slices.Sort(recipients)
	s.rng.Shuffle(len(recipients), func(i, j int) { recipients[i], recipients[j] = recipients[j], recipients[i] })
	return recipients[:forwardRecipients]
}

// forwardedLoads returns the loads of the engines owned here and adds loads
// received from other owners within maxForwardAge, in random order, up to
// maxForwardLoads in all.
func (s *scheduler) forwardedLoads(now time.Time) []EngineLoad {
	out := s.ownedLoads(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, k := range s.loads {
		if len(out) >= maxForwardLoads {
			break
		}
		if _, own := s.a.ledgers.load(now, id); own || now.Sub(k.updatedAt) > maxForwardAge {
			continue
		}
		out = append(out, k.EngineLoad)
	}
	return out
}

// maxForwardAge is the age above which a received load is no longer forwarded.
const maxForwardAge = 10 * time.Second

// changedLoads returns the loads of the owned engines that differ from the last
// ones reported, or all of them if full is set.
func (s *scheduler) changedLoads(now time.Time, full bool) []EngineLoad {
	loads := s.ownedLoads(now)
	out := loads[:0]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range loads {
		withoutSeq := e
		withoutSeq.Seq = 0
		if full || s.reported[e.Engine] != withoutSeq {
			out = append(out, e)
		}
		s.reported[e.Engine] = withoutSeq
	}
	return out
}

// ApplyDigest applies a digest from another router. It fails with ErrDigest if
// the digest is malformed.
func (a *Admission) ApplyDigest(payload []byte) error {
	loads, err := decodeDigest(payload)
	if err != nil {
		return err
	}
	now := time.Now()
	snap := a.opts.Board.Snapshot()
	byGroup := make(map[groupKey][]EngineLoad)
	for _, e := range loads {
		if key, ok := groupKeyOf(snap, e.Engine); ok {
			byGroup[key] = append(byGroup[key], e)
		}
	}
	for key, list := range byGroup {
		if s := a.scheduler(key); s != nil {
			s.receiveLoads(now, list, false)
		}
	}
	return nil
}

func groupKeyOf(snap *board.Snapshot, engine uint64) (groupKey, bool) {
	e, ok := snap.EngineByID(engine)
	if !ok {
		return groupKey{}, false
	}
	return groupKey{pool: e.Pool, region: e.Region}, true
}
