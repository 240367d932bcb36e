package engine

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// eventPage is the maximum number of cache events in a response.
const eventPage = 512

type loggedEvent struct {
	wire.CacheEvent
	at time.Time
}

// eventLog is a bounded log of cache events, with configurable delay and loss.
type eventLog struct {
	delay    time.Duration
	size     int
	lossRate float64
	rng      *rand.Rand
	seq      uint64
	dropNext int
	events   []loggedEvent
}

func newEventLog(o Options) *eventLog {
	return &eventLog{
		delay:    o.EventDelay,
		size:     o.EventLog,
		lossRate: o.EventLoss,
		rng:      rand.New(rand.NewPCG(o.Seed, o.Seed)),
	}
}

// add logs an event, unless it is lost. A lost event still uses a sequence number.
func (l *eventLog) add(kind wire.CacheEventKind, b block) {
	l.seq++
	if l.isLost() {
		return
	}
	e := wire.CacheEvent{Seq: l.seq, Kind: kind, Prefix: b.Hash, Tokens: b.Tokens}
	l.events = append(l.events, loggedEvent{CacheEvent: e, at: time.Now()})
	// Trimming half of the log at a time keeps the cost per event low.
	if len(l.events) >= 2*l.size {
		l.events = append(l.events[:0:0], l.events[len(l.events)-l.size:]...)
	}
}

func (l *eventLog) isLost() bool {
	if l.dropNext > 0 {
		l.dropNext--
		return true
	}
	return l.lossRate > 0 && l.rng.Float64() < l.lossRate
}

// after returns the visible events after seq, and the sequence number to pass
// to the next call.
func (l *eventLog) after(seq uint64) ([]wire.CacheEvent, uint64) {
	visible := time.Now().Add(-l.delay)
	page := []wire.CacheEvent{}
	for _, e := range l.retained() {
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

func (l *eventLog) retained() []loggedEvent {
	return l.events[max(0, len(l.events)-l.size):]
}
