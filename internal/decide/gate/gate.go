// Package gate is the flow control of one engine, kept by the router that owns it.
//
// Routers that each look at reports of the others' loads are wrong together: all see the
// same free place, send to it, and see it taken some tenths of a second later. Engines then
// queue, preempt what runs, and finish late what they finish. One router that counts all
// requests at an engine is right at every moment, at the price of a question before each
// request; many engines have many owners, so that no router answers for all.
//
// A Gate is asked for a place and grants it, lets the request wait, or refuses it at once if
// its turn would come too late. Order, fairness and prediction are those of package queue.
// A grant is a lease: it ends when it is released, when its holder is gone, or by its time.
//
// A Gate is not safe for concurrent use and reads no clock; times must not run backwards.
package gate

import (
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/queue"
)

const (
	// DefaultWindow is the time constant of the drain rate. A surge lasts seconds; ten
	// places of an engine are freed in a few tenths of one.
	DefaultWindow = time.Second
	// reserve is the part of the service that goes to the class below the most pressing
	// one that waits, so that no kind of request ends altogether while a surge lasts.
	reserve = 0.05
	// maxWaiting bounds the requests that wait at one gate. They are refused by their
	// predicted wait long before; this bounds memory while nothing finishes.
	maxWaiting = 1000
	// holdWeight is the weight of the newest lease in the mean of how long they last.
	holdWeight = 1.0 / 16
)

// Config sets up a Gate.
type Config struct {
	// Classes is how many classes of urgency there are, the most urgent one first. There
	// are as many again behind them, for what is late.
	Classes int
	// Window is the time constant of the drain rate; zero means DefaultWindow.
	Window time.Duration
	// Rand jitters suggested waits; nil means no jitter.
	Rand *rand.Rand
}

// Ask asks for a place.
type Ask struct {
	// ID is unique for each ask, also of other routers.
	ID string
	// Holder is the router that asks.
	Holder string
	// Account is the client account, Class the urgency.
	Account string
	Class   queue.Class
	// Late requests can't be answered on time any more. They go behind all others, within
	// these by their class: nothing is lost by it, and each that went first would make
	// another one late. In a surge of four times what engines give, the model of package
	// lab/model earns 0.24 of the benefit with it and 0.18 without, of 0.25 possible.
	Late bool
	// Weight is the work of the request, in a unit that all asks share.
	Weight int64
	// Latest is the last useful moment for the request to start.
	Latest time.Time
	// Until is when the lease ends if nobody releases it.
	Until time.Time
	// Hold is how long such a request holds a place in the mean, as far as the asker
	// knows; it counts until the gate has seen some end.
	Hold time.Duration
	// Pace bounds how often the engine may be sent requests, as far as the asker knows.
	Pace Pace
}

// Verdict is what a gate says of an ask.
type Verdict struct {
	ID      string
	Granted bool
	// Wait is how long the request would have had to wait, where it was refused.
	Wait time.Duration
}

// lease is a granted place.
type lease struct {
	holder  string
	weight  int64
	granted time.Time
	until   time.Time
}

// Gate is the flow control of one engine. Use New.
type Gate struct {
	queue *queue.Queue
	// classes is how many classes there are on time, and as many late.
	classes int
	asks    map[string]Ask
	leases  map[string]lease
	places  int
	pacer   pacer
	// others is how many requests are at the engine without a lease of this gate.
	others int
	// hold is the mean time and weight of leases that have ended.
	hold   time.Duration
	weight float64
	// settled are verdicts on waiting asks that the caller has not been given yet.
	settled []Verdict
}

// New returns a gate without places; see SetPlaces.
func New(cfg Config) *Gate {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &Gate{
		queue: queue.New(queue.Config{
			Limit: maxWaiting, AgeAfter: time.Hour, Classes: 2 * cfg.Classes, Window: cfg.Window, Reserve: reserve, Rand: cfg.Rand,
		}),
		classes: cfg.Classes,
		asks:    make(map[string]Ask),
		leases:  make(map[string]lease),
	}
}

// SetPlaces says how many requests may be at the engine at once.
func (g *Gate) SetPlaces(n int) { g.places = max(n, 0) }

// SetOthers says how many requests are at the engine without a lease of this gate: those
// that were sent while there was no need to ask, or with the lease of another owner.
func (g *Gate) SetOthers(n int) { g.others = max(n, 0) }

// Held is how many leases there are, Waiting how many asks wait.
func (g *Gate) Held() int { return len(g.leases) }

// Waiting is how many asks wait.
func (g *Gate) Waiting() int { return g.queue.Len() }

// Idle says whether the gate has nothing to remember.
func (g *Gate) Idle() bool { return g.Held() == 0 && g.Waiting() == 0 }

func (g *Gate) room(now time.Time) bool {
	return len(g.leases)+g.others < g.places && g.pacer.allows(now)
}

// Ask grants a place, lets the ask wait, or refuses it. A verdict on a waiting ask comes out
// of a later Settle.
func (g *Gate) Ask(now time.Time, a Ask) (v Verdict, waits bool) {
	if _, known := g.leases[a.ID]; known {
		return Verdict{ID: a.ID, Granted: true}, false
	}
	g.pacer.set(now, a.Pace)
	if g.queue.Len() == 0 && g.room(now) {
		g.grant(now, a)
		return Verdict{ID: a.ID, Granted: true}, false
	}
	g.queue.SetRate(g.rate(now, a))
	item := queue.Item{ID: a.ID, Account: a.Account, Class: g.class(a), Weight: a.Weight, Deadline: a.Latest}
	if err := g.queue.Push(now, item); err != nil {
		return Verdict{ID: a.ID, Wait: g.queue.PredictWait(now, item)}, false
	}
	g.asks[a.ID] = a
	return Verdict{}, true
}

// class is the class in which an ask waits.
func (g *Gate) class(a Ask) queue.Class {
	class := min(a.Class, queue.Class(g.classes-1))
	if a.Late {
		class += queue.Class(g.classes)
	}
	return class
}

// rate is how much work ends in a second if leases last as they did: the drain that a new
// backlog is taken to have.
func (g *Gate) rate(now time.Time, a Ask) float64 {
	if perSecond, paced := g.pacer.perSecond(now); paced {
		return min(g.unpacedRate(a), perSecond*float64(max(a.Weight, 1)))
	}
	return g.unpacedRate(a)
}

func (g *Gate) unpacedRate(a Ask) float64 {
	hold, weight := g.hold, g.weight
	if hold == 0 {
		hold, weight = a.Hold, float64(max(a.Weight, 1))
	}
	if hold <= 0 {
		return 0
	}
	return float64(g.places) * weight / hold.Seconds()
}

func (g *Gate) grant(now time.Time, a Ask) {
	g.pacer.granted(now)
	g.leases[a.ID] = lease{holder: a.Holder, weight: max(a.Weight, 1), granted: now, until: a.Until}
}

// Release ends a lease, and says whether there was one.
func (g *Gate) Release(now time.Time, id string) bool {
	l, ok := g.leases[id]
	if !ok {
		return false
	}
	delete(g.leases, id)
	g.queue.Observe(now, l.weight)
	g.noteHold(now.Sub(l.granted), float64(l.weight))
	return true
}

func (g *Gate) noteHold(took time.Duration, weight float64) {
	if g.hold == 0 {
		g.hold, g.weight = took, weight
		return
	}
	g.hold += time.Duration(holdWeight * float64(took-g.hold))
	g.weight += holdWeight * (weight - g.weight)
}

// Withdraw ends an ask whose caller has left, whether it waits or was granted.
func (g *Gate) Withdraw(now time.Time, id string) {
	if _, ok := g.queue.Remove(id); ok {
		delete(g.asks, id)
		return
	}
	g.settled = slices.DeleteFunc(g.settled, func(v Verdict) bool { return v.ID == id })
	delete(g.leases, id)
}

// DropHolder ends all leases and asks of a router that is gone: nobody will release them.
func (g *Gate) DropHolder(now time.Time, holder string) {
	for id, l := range g.leases {
		if l.holder == holder {
			delete(g.leases, id)
		}
	}
	for id, a := range g.asks {
		if a.Holder == holder {
			g.Withdraw(now, id)
		}
	}
}

// Settle returns the verdicts on asks that have waited: granted as there is room, refused as
// it is clear that their turn would come too late. It is to be called after each other call
// that may make room, and every few milliseconds while asks wait.
func (g *Gate) Settle(now time.Time) []Verdict {
	g.expire(now)
	for _, it := range g.queue.Expire(now) {
		g.settled = append(g.settled, Verdict{ID: it.ID, Wait: g.queue.PredictWait(now, it)})
		delete(g.asks, it.ID)
	}
	for g.room(now) {
		it, ok := g.queue.Pop(now)
		if !ok {
			break
		}
		g.grant(now, g.asks[it.ID])
		g.settled = append(g.settled, Verdict{ID: it.ID, Granted: true})
		delete(g.asks, it.ID)
	}
	out := g.settled
	g.settled = nil
	return out
}

// RefuseAll returns the refusals of all asks that wait: the engine takes no requests any more.
func (g *Gate) RefuseAll(now time.Time) []Verdict {
	for id := range g.asks {
		g.queue.Remove(id)
		g.settled = append(g.settled, Verdict{ID: id})
	}
	clear(g.asks)
	return g.Settle(now)
}

// expire ends the leases whose time is over: their release was lost.
func (g *Gate) expire(now time.Time) {
	for id, l := range g.leases {
		if !l.until.IsZero() && now.After(l.until) {
			delete(g.leases, id)
		}
	}
}
