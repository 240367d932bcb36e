package gate

import (
	"math"
	"time"
)

const (
	// throttleWindow is the time constant in which a Throttle forgets.
	throttleWindow = 500 * time.Millisecond
	// throttleFactor is how many times the places that were granted are asked for. More
	// than one leaves owners with somebody to grant the next free place to.
	throttleFactor = 2
	// throttleSlack is how many asks are always made, so that a router which was refused
	// everything finds out that places are free again.
	throttleSlack = 3
)

// Throttle decides whether a request asks for a place at all, by how those before it have ended.
// The zero value lets all ask. It is not safe for concurrent use.
//
// The load that it answers: several times what engines give. Each request asks up to three owners
// of gates, and is refused; the questions fill the owners' links, so that grants reach the askers
// late, and places stand granted and unused. What is refused here costs nobody anything.
type Throttle struct {
	asked, granted float64
	at             time.Duration
}

// Refuses says whether a request is to be refused without asking; random is a number from 0 to 1.
// The part that is refused is what was asked beyond throttleFactor times what was granted.
func (t *Throttle) Refuses(now time.Duration, random float64) bool {
	t.decay(now)
	excess := t.asked - throttleFactor*t.granted - throttleSlack
	return random < excess/(t.asked+1)
}

// Note adds a request that came, and whether it was granted a place; one that was refused without
// asking counts as refused.
func (t *Throttle) Note(now time.Duration, granted bool) {
	t.decay(now)
	t.asked++
	if granted {
		t.granted++
	}
}

func (t *Throttle) decay(now time.Duration) {
	if now <= t.at {
		return
	}
	keep := math.Exp(-(now - t.at).Seconds() / throttleWindow.Seconds())
	t.asked *= keep
	t.granted *= keep
	t.at = now
}
