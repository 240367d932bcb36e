package gate

import "time"

const (
	// refusalTTL is the minimum time for which a refusal is remembered while maxRefusals is not
	// reached. Callers retry after at most a third of their remaining time, see maxRetryShare,
	// which is rarely longer than refusalTTL.
	refusalTTL = 5 * time.Second
	// maxRefusals bounds the remembered refusals, at about 50 bytes each. Half of this number
	// suffices for an owner of gates that refuses 3,000 requests per second for refusalTTL.
	maxRefusals = 1 << 15
)

// RefusalHistory records for a while which requests were refused a slot, so that their retries are
// recognized: an attempt itself does not refer to the previous one. The zero value is empty. A
// RefusalHistory is not safe for concurrent use.
//
// In a surge half of the requests for a slot are retries, whose responses are late in any case. If
// retries were served in turn with first attempts, these would become late too, until every request
// is refused once and then served late. See Request.Late.
type RefusalHistory struct {
	// recent holds the refusals since recentSince, and older those of the interval before.
	recent, older map[uint64]refusal
	recentSince   time.Duration
}

// refusal is the first refusal of a request.
type refusal struct {
	attempt uint64
	at      time.Duration
}

// Note records that an attempt at a request was refused at now. The subject is the same for all
// attempts at a request, and zero if the request can't be distinguished from others.
func (r *RefusalHistory) Note(subject uint64, attempt uint64, now time.Duration) {
	if subject == 0 {
		return
	}
	if _, known := r.find(subject); known {
		return
	}
	if r.recent == nil || now-r.recentSince > refusalTTL || len(r.recent) >= maxRefusals/2 {
		r.older, r.recent, r.recentSince = r.recent, make(map[uint64]refusal), now
	}
	r.recent[subject] = refusal{attempt: attempt, at: now}
}

// Forget removes a request that was granted a slot: the next request with the same subject is a new
// one.
func (r *RefusalHistory) Forget(subject uint64) {
	delete(r.recent, subject)
	delete(r.older, subject)
}

// Late reports whether attempt is a retry that comes too late: the request was first refused on
// another attempt, more than slack ago.
func (r *RefusalHistory) Late(subject uint64, attempt uint64, slack, now time.Duration) bool {
	first, known := r.find(subject)
	return known && first.attempt != attempt && now-first.at > slack
}

func (r *RefusalHistory) find(subject uint64) (refusal, bool) {
	if first, ok := r.recent[subject]; ok {
		return first, true
	}
	first, ok := r.older[subject]
	return first, ok
}
