package engine

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// eventPage bounds one answer to a request for cache events.
const eventPage = 512

type loggedEvent struct {
	wire.CacheEvent
	at time.Time
}

// eventLog is a bounded log of cache events, shown late and with gaps.
type eventLog struct {
	delay  time.Duration
	size   int
	loss   float64
	rng    *rand.Rand
	seq    uint64
	drop   int
	events []loggedEvent
}

func newEventLog(o Options) *eventLog {
	return &eventLog{
		delay: o.EventDelay,
		size:  o.EventLog,
		loss:  o.EventLoss,
		rng:   rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// add logs an event, unless it is one of those to be lost. A lost event still
// takes a sequence number.
func (l *eventLog) add(kind wire.CacheEventKind, b block) {
	l.seq++
	if l.lost() {
		return
	}
	e := wire.CacheEvent{Seq: l.seq, Kind: kind, Prefix: b.Hash, Tokens: b.Tokens}
	l.events = append(l.events, loggedEvent{CacheEvent: e, at: time.Now()})
	// The log is trimmed in strides, so that trimming costs little per event.
	if len(l.events) >= 2*l.size {
		l.events = append(l.events[:0:0], l.events[len(l.events)-l.size:]...)
	}
}

func (l *eventLog) lost() bool {
	if l.drop > 0 {
		l.drop--
		return true
	}
	return l.loss > 0 && l.rng.Float64() < l.loss
}

// after returns the visible events beyond seq, and the sequence number to ask
// with next.
func (l *eventLog) after(seq uint64) ([]wire.CacheEvent, uint64) {
	visible := time.Now().Add(-l.delay)
	page := []wire.CacheEvent{}
	for _, e := range l.kept() {
		if e.at.After(visible) || len(page) == eventPage {
			break
		}
		if e.Seq > seq {
			page = append(page, e.CacheEvent)
		}
	}
	if len(page) > 0 {
		seq = page[len(page)-1].Seq
	}
	return page, seq
}

func (l *eventLog) kept() []loggedEvent {
	return l.events[max(0, len(l.events)-l.size):]
}
