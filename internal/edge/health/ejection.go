package health

import "time"

// maxEjection is the longest time for which an engine is ejected without a trial. Evidence of a hundred
// failures would keep it out for eight seconds, longer than most outages last.
const maxEjection = 3 * time.Second

// Ejection follows the ejections of one engine, and ends those that last too long by a trial: the
// evidence from before it counts as little more than what lets the engine return, so that its next
// requests decide. The zero value is an engine that is not ejected. It is not safe for concurrent use.
type Ejection struct {
	ejected bool
	// since is when the engine was ejected, or last tried.
	since time.Duration
	// onTrial is set from the trial until a request has succeeded, and the evidence from before has
	// decayed. succeeded is set once a request of this router has succeeded.
	onTrial, succeeded bool
	// forgotten is the evidence as of triedAt, the time of the last trial, that no longer counts.
	triedAt   time.Duration
	forgotten Evidence
}

// Ejected reports whether the engine was ejected as of the last review.
func (x *Ejection) Ejected() bool { return x.ejected }

// Judged returns the part of the evidence as of now that counts.
func (x *Ejection) Judged(e Evidence, now time.Duration) Evidence {
	if !x.onTrial {
		return e
	}
	return e.Sub(x.forgotten.After(now - x.triedAt))
}

// Unproven reports whether the engine is on trial and no request of this router has succeeded since the
// trial began. It then gets single requests.
func (x *Ejection) Unproven() bool { return x.onTrial && !x.succeeded }

// Succeed records that a request of this router has succeeded.
func (x *Ejection) Succeed() { x.succeeded = true }

// Restart records that the engine has restarted: what is known of it is discarded. Whether it is ejected
// follows from the next review.
func (x *Ejection) Restart() { *x = Ejection{ejected: x.ejected, since: x.since} }

// Review updates the state at now from the engine's load share and its whole evidence. It returns false
// once nothing is left to follow.
func (x *Ejection) Review(share float64, e Evidence, now time.Duration) bool {
	ejected := share == 0
	if ejected && !x.ejected {
		x.since = now
	}
	x.ejected = ejected
	if ejected && now-x.since >= maxEjection {
		x.onTrial, x.succeeded = true, false
		x.since, x.triedAt = now, now
		x.forgotten = e.Sub(Evidence{Bad: priorSuccesses})
	}
	if x.succeeded && x.forgotten.After(now-x.triedAt).Rounded() == (Evidence{}) {
		x.onTrial = false
	}
	return x.ejected || x.onTrial
}
