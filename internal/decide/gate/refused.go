package gate

import "time"

const (
	// refusedFor is how long a refusal is remembered, at least. Callers stay away for a
	// third of the time that they have left at most, which is rarely more.
	refusedFor = 5 * time.Second
	// maxRefused bounds the refusals that are remembered, at some 50 bytes each: half of
	// it is what one owner of gates refuses in refusedFor at 3,000 a second.
	maxRefused = 1 << 15
)

// Refused remembers for a while which requests were refused a place, so that they are known
// when their callers come back: no attempt names the one before it. The zero value remembers
// nothing. It is not safe for concurrent use.
//
// The load that it answers: in a surge half of those who ask for a place have asked before.
// Their answers are late whenever they come; served in turn with the others they make these
// late too, until all are refused once and then served late. See Ask.Late.
type Refused struct {
	// recent and older are the refusals since began, and those of the span before.
	recent, older map[uint64]refusal
	began         time.Duration
}

// refusal is the first refusal of a request.
type refusal struct {
	attempt uint64
	at      time.Duration
}

// Note remembers that an attempt at a request was refused at now. Subject is the same for
// all attempts at a request, and zero for one that can't be told from others.
func (r *Refused) Note(subject uint64, attempt uint64, now time.Duration) {
	if subject == 0 {
		return
	}
	if _, known := r.find(subject); known {
		return
	}
	if r.recent == nil || now-r.began > refusedFor || len(r.recent) >= maxRefused/2 {
		r.older, r.recent, r.began = r.recent, make(map[uint64]refusal), now
	}
	r.recent[subject] = refusal{attempt: attempt, at: now}
}

// Forget ends the memory of a request that has a place now: the next one about the same
// subject is another.
func (r *Refused) Forget(subject uint64) {
	delete(r.recent, subject)
	delete(r.older, subject)
}

// Late says whether an attempt is for a request that was refused before, in another attempt,
// and for so long that it can't start within slack of its first one any more.
func (r *Refused) Late(subject uint64, attempt uint64, slack, now time.Duration) bool {
	first, known := r.find(subject)
	return known && first.attempt != attempt && now-first.at > slack
}

func (r *Refused) find(subject uint64) (refusal, bool) {
	if first, ok := r.recent[subject]; ok {
		return first, true
	}
	first, ok := r.older[subject]
	return first, ok
}
