package membership

import (
	"math"
	"slices"
	"time"
)

// maxRelays bounds the probes run on behalf of others at one time.
const maxRelays = 256

// expectedVerifiers is how many routers, on average, probe a suspect
// themselves. In a larger fleet the rest wait for their verdict: if all of
// them probed, a false suspicion would bring the suspect O(n) packets.
const expectedVerifiers = 8

// verifyInterval is the time between two probes of a suspect by a verifier.
// Several of them fit into the suspicion, so that it takes a run of losses to
// bury a live router.
const verifyInterval = 200 * time.Millisecond

// bystanderFactor lengthens the suspicion at routers that do not verify, so
// that they decide only if the verdict of the verifiers never arrives.
const bystanderFactor = 3

// probe is the one under way.
type probe struct {
	seq      uint32
	target   uint64
	started  time.Duration
	indirect bool
}

// relay is a probe run for another router.
type relay struct {
	origin  uint64
	address string
	seq     uint32
	target  uint64
	expires time.Duration
}

// suspicion is the time left to a suspect, and this router's part in it.
type suspicion struct {
	deadline time.Duration
	verifier bool
	nextPing time.Duration
}

// runProbe watches the probe under way and starts the next one.
func (d *Detector) runProbe() {
	if p := d.probe; p != nil {
		d.watchProbe(p)
	}
	if d.now < d.nextProbe || d.probe != nil {
		return
	}
	d.nextProbe = max(d.nextProbe+d.opts.Period, d.now)
	d.expireRelays()
	if r := d.nextTarget(); r != nil {
		d.probe = &probe{seq: d.ping(r), target: r.ID, started: d.now}
	}
}

func (d *Detector) watchProbe(p *probe) {
	r, ok := d.rows[p.target]
	if !ok || r.State == StateDead {
		d.probe = nil
		return
	}
	elapsed := d.now - p.started
	if elapsed >= d.opts.ProbeTimeout && !p.indirect {
		p.indirect = true
		d.probeIndirectly(r, p.seq, d.opts.IndirectProbes)
	}
	if elapsed >= d.opts.ProbeDeadline {
		d.probe = nil
		d.fail(r)
	}
}

// fail starts the suspicion of a member that answered neither directly nor
// through others.
func (d *Detector) fail(r *row) {
	switch r.State {
	case StateAlive:
		d.transition(r, r.Incarnation, StateSuspect)
	case StateLeaving:
		d.transition(r, r.Incarnation, StateLeavingSuspect)
	}
	if r.suspicion != nil && !r.suspicion.verifier {
		r.suspicion = d.newSuspicion(true)
	}
}

// ping sends a ping to a member and returns its sequence number.
func (d *Detector) ping(r *row) uint32 {
	d.nextSeq++
	d.send(r.Address, r.ID, Ping{Seq: d.nextSeq})
	return d.nextSeq
}

// probeIndirectly asks k other members to ping on our behalf. It gets past a
// path that is cut, in one direction or both, only between us and the target.
func (d *Detector) probeIndirectly(target *row, seq uint32, k int) {
	usable := func(r *row) bool { return r != target && !r.State.suspected() }
	for _, helper := range d.pick(k, usable) {
		req := PingRequest{Seq: seq, Target: target.ID, Address: target.Address}
		var first []uint64
		if target.State.suspected() {
			first = append(first, target.ID)
		}
		d.send(helper.Address, helper.ID, req, first...)
	}
}

// nextTarget goes through the live members in a shuffled order, so that each
// is probed once a round.
func (d *Detector) nextTarget() *row {
	for range 2 {
		for len(d.round) > 0 {
			id := d.round[0]
			d.round = d.round[1:]
			if r, ok := d.rows[id]; ok && r.State != StateDead {
				return r
			}
		}
		for _, r := range d.pick(len(d.ids), nil) {
			d.round = append(d.round, r.ID)
		}
	}
	return nil
}

// joinRound puts a new member at a random place in the current round.
func (d *Detector) joinRound(id uint64) {
	n := d.rng.Intn(len(d.round) + 1)
	d.round = slices.Insert(d.round, n, id)
}

// handleAck takes an ack to our own probe or to one that we run for another.
func (d *Detector) handleAck(from uint64, b Ack) {
	d.acked(b.Seq, from)
	rl, ok := d.relays[b.Seq]
	if !ok || rl.target != from {
		return
	}
	delete(d.relays, b.Seq)
	d.send(rl.address, rl.origin, RelayAck{Seq: rl.seq, Target: rl.target}, rl.target)
}

// acked ends the probe under way. The target is matched by instance, not by
// address: another instance at the same address proves nothing.
func (d *Detector) acked(seq uint32, target uint64) {
	if p := d.probe; p != nil && p.seq == seq && p.target == target {
		d.probe = nil
	}
}

func (d *Detector) handlePingRequest(from string, origin uint64, b PingRequest) {
	if b.Target == d.self.ID || len(d.relays) >= maxRelays {
		return
	}
	target, ok := d.rows[b.Target]
	if !ok {
		target = &row{Member: Member{ID: b.Target, Address: b.Address}}
	}
	d.relays[d.ping(target)] = relay{
		origin:  origin,
		address: from,
		seq:     b.Seq,
		target:  b.Target,
		expires: d.now + d.opts.Period,
	}
}

func (d *Detector) expireRelays() {
	for seq, rl := range d.relays {
		if rl.expires <= d.now {
			delete(d.relays, seq)
		}
	}
}

// suspect starts the suspicion of a row that is in a suspected state.
func (d *Detector) suspect(r *row, verifier bool) {
	share := float64(expectedVerifiers) / float64(max(d.live-2, 1))
	r.suspicion = d.newSuspicion(verifier || d.rng.Float64() < share)
	d.emit(EventSuspected, r.Member)
}

func (d *Detector) newSuspicion(verifier bool) *suspicion {
	timeout := d.suspicionTimeout()
	if !verifier {
		timeout *= bystanderFactor
	}
	return &suspicion{deadline: d.now + timeout, verifier: verifier, nextPing: d.now}
}

// suspicionTimeout grows with the logarithm of the fleet, as the time does
// that a suspicion and its refutation take to spread.
func (d *Detector) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(d.live)))
	return time.Duration(float64(d.opts.SuspicionTimeout) * scale)
}

// runSuspicions probes suspects and buries those that did not refute in time.
func (d *Detector) runSuspicions() {
	for _, id := range d.ids {
		r := d.rows[id]
		s := r.suspicion
		if s == nil {
			continue
		}
		if d.now >= s.deadline {
			d.transition(r, r.Incarnation, StateDead)
			continue
		}
		if s.verifier && d.now >= s.nextPing {
			s.nextPing = d.now + verifyInterval
			d.probeIndirectly(r, d.ping(r), 1)
		}
	}
}
