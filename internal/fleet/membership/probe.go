package membership

import (
	"math"
	"slices"
	"time"
)

// maxRelays bounds the probes run for others at the same time.
const maxRelays = 256

// expectedVerifiers is the average number of routers that probe a suspect themselves. In a
// larger fleet the others wait for the result: if all of them probed, a false suspicion would
// cost the suspect O(n) packets.
const expectedVerifiers = 8

// verifyInterval is the time between two probes of a suspect by a verifier. Several of them fit
// into the suspicion timeout, so that only repeated packet loss makes a live router appear
// dead.
const verifyInterval = 200 * time.Millisecond

// nonVerifierFactor multiplies the suspicion timeout at routers that do not verify. They
// declare the suspect dead only if no result of the verifiers arrives.
const nonVerifierFactor = 3

// probe is the running probe of this router.
type probe struct {
	seq      uint32
	target   uint64
	started  time.Duration
	indirect bool
}

// relay is a probe run for another router.
type relay struct {
	requester uint64
	address   string
	seq       uint32
	target    uint64
	expires   time.Duration
}

// suspicion is the deadline of a suspect and whether this router verifies it.
type suspicion struct {
	deadline time.Duration
	verifier bool
	nextPing time.Duration
}

// runProbe checks the running probe and starts the next one when it is due.
func (d *Detector) runProbe() {
	if p := d.probe; p != nil {
		d.checkProbe(p)
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

func (d *Detector) checkProbe(p *probe) {
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
		d.probeFailed(r)
	}
}

// probeFailed suspects a member that replied neither directly nor through others, and makes this
// router a verifier of the suspicion.
func (d *Detector) probeFailed(r *row) {
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

// probeIndirectly asks k other members to ping the target. This covers a network path that is
// broken, in one or both directions, only between this router and the target.
func (d *Detector) probeIndirectly(target *row, seq uint32, k int) {
	usable := func(r *row) bool { return r != target && !r.State.suspected() }
	for _, helper := range d.randomMembers(k, usable) {
		req := PingRequest{Seq: seq, Target: target.ID, Address: target.Address}
		var first []uint64
		if target.State.suspected() {
			first = append(first, target.ID)
		}
		d.send(helper.Address, helper.ID, req, first...)
	}
}

// nextTarget returns the next member to probe, nil if there is none. Successive calls return the
// live members in shuffled order, each once per pass.
func (d *Detector) nextTarget() *row {
	for range 2 {
		for len(d.probeOrder) > 0 {
			id := d.probeOrder[0]
			d.probeOrder = d.probeOrder[1:]
			if r, ok := d.rows[id]; ok && r.State != StateDead {
				return r
			}
		}
		for _, r := range d.randomMembers(len(d.ids), nil) {
			d.probeOrder = append(d.probeOrder, r.ID)
		}
	}
	return nil
}

// addToProbeOrder inserts a member at a random position of the current pass.
func (d *Detector) addToProbeOrder(id uint64) {
	n := d.rng.Intn(len(d.probeOrder) + 1)
	d.probeOrder = slices.Insert(d.probeOrder, n, id)
}

// handleAck processes an ack to a probe of this router or to one run for another router.
func (d *Detector) handleAck(from uint64, b Ack) {
	d.completeProbe(b.Seq, from)
	rl, ok := d.relays[b.Seq]
	if !ok || rl.target != from {
		return
	}
	delete(d.relays, b.Seq)
	d.send(rl.address, rl.requester, RelayAck{Seq: rl.seq, Target: rl.target}, rl.target)
}

// completeProbe ends the running probe if it matches. The target is compared by instance rather
// than by address, because a reply of another instance at the same address says nothing about the
// target.
func (d *Detector) completeProbe(seq uint32, target uint64) {
	if p := d.probe; p != nil && p.seq == seq && p.target == target {
		d.probe = nil
	}
}

func (d *Detector) handlePingRequest(from string, requester uint64, b PingRequest) {
	if b.Target == d.self.ID || len(d.relays) >= maxRelays {
		return
	}
	target, ok := d.rows[b.Target]
	if !ok {
		target = &row{Member: Member{ID: b.Target, Address: b.Address}}
	}
	d.relays[d.ping(target)] = relay{
		requester: requester,
		address:   from,
		seq:       b.Seq,
		target:    b.Target,
		expires:   d.now + d.opts.Period,
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
	probability := float64(expectedVerifiers) / float64(max(d.live-2, 1))
	r.suspicion = d.newSuspicion(verifier || d.rng.Float64() < probability)
	d.emit(EventSuspected, r.Member)
}

func (d *Detector) newSuspicion(verifier bool) *suspicion {
	timeout := d.suspicionTimeout()
	if !verifier {
		timeout *= nonVerifierFactor
	}
	return &suspicion{deadline: d.now + timeout, verifier: verifier, nextPing: d.now}
}

// suspicionTimeout returns how long a suspect has to refute. It grows with the logarithm of the
// fleet size, like the time that a suspicion and its refutation take to spread.
func (d *Detector) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(d.live)))
	return time.Duration(float64(d.opts.SuspicionTimeout) * scale)
}

// runSuspicions probes suspects and declares those dead that did not refute in time.
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
