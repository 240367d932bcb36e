// Package gate implements admission control for one engine. The router that owns the engine holds
// its Gate.
//
// Routers that decide independently, each on reports of the load, all see the same free slot, all
// send a request for it to the engine, and learn only some tenths of a second later that the slot
// is occupied. The engine then queues requests, preempts running ones, and completes others late. A
// single router that counts every request at an engine has no such delay, at the cost of one call
// before each request. Ownership of the engines is spread over many routers, so that none of them
// has to handle the calls for all engines.
//
// A Gate grants a slot to a request, queues it, or refuses it at once if its predicted wait is too
// long. Order, fairness and the predicted wait come from package queue. A grant is a lease: it ends
// when it is released, when its holder leaves or dies, or when it expires.
//
// A Gate is not safe for concurrent use and reads no clock; the times passed to it must not run
// backwards.
package gate

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/decide/room"
)

const (
	// DefaultWindow is the time constant over which the drain rate is averaged. It is short, since
	// a surge lasts only seconds, and still covers enough completions, since an engine frees ten
	// slots within a few tenths of a second.
	DefaultWindow = time.Second
	// reservedShare is the share of the service reserved for the class below the most urgent
	// waiting one, so that this class is not starved while a surge lasts.
	reservedShare = 0.05
	// beyondReserve is the share of the slots that requests beyond their account's fair share don't
	// get. Without it they occupy every engine, and a request within its share that is sent elsewhere
	// because the engine that caches its prompt is full finds no slot.
	beyondReserve = 0.1
	// maxBeyondReserve bounds the share of the slots that are reserved after requests within their
	// account's share were refused, and reserveWindow is the time constant in which these slots return.
	maxBeyondReserve = 0.5
	reserveWindow    = 2 * time.Second
	// maxWaiting bounds the queue of one gate. Normally requests are refused for their predicted
	// wait long before the queue is that long; this bound limits the memory while no request
	// finishes.
	maxWaiting = 1000
	// holdSmoothing is the weight of the newest lease in the moving averages of lease duration and
	// weight.
	holdSmoothing = 1.0 / 16
)

// bands is the number of queue classes for each urgency class: requests within their account's share,
// those beyond it, and late ones.
const bands = 3

// Config configures a Gate.
type Config struct {
	// Classes is the number of urgency classes, the most urgent one first. The gate adds as many
	// again after them for requests beyond their account's share, and for late ones.
	Classes int
	// Window is the time constant of the drain rate; zero means DefaultWindow.
	Window time.Duration
	// Rand adds jitter to suggested waits; nil means no jitter.
	Rand *rand.Rand
}

// Request is a request for a slot.
type Request struct {
	// ID is unique among the requests of all routers.
	ID string
	// Holder is the router that requests the slot.
	Holder string
	// Account is the client account, and Class the urgency class.
	Account string
	Class   queue.Class
	// Late marks a request whose response can no longer be on time. Late requests are served after
	// all others, by class among themselves: the later start costs them nothing, while each one
	// served earlier would make another request late. In a surge of four times the engines'
	// capacity, the simulation in package lab/model yields 0.24 of the benefit with this rule and
	// 0.18 without it; at most 0.25 is possible.
	Late bool
	// Beyond marks a request beyond its account's fair share of the service. It is served after those
	// within the share, of all classes, and only while more slots are free than are reserved for these.
	Beyond bool
	// Weight is the work of the request, in a unit that all requests share.
	Weight int64
	// Latest is the last time at which it is useful to start the request.
	Latest time.Time
	// Until is when the lease expires unless it is released before.
	Until time.Time
	// Hold is the mean time for which such requests hold a slot, as far as the requester knows. The
	// gate uses it until it has measured a lease that was released.
	Hold time.Duration
	// Pace is the bound on the rate of requests to the engine that the requester knows of; the zero
	// value means none.
	Pace Pace
	// Need is the memory that the request needs at the engine, as far as it is known.
	Need room.Need
}

// Decision is the gate's decision on a request.
type Decision struct {
	ID      string
	Granted bool
	// Wait is how long a refused request would have had to wait. It is zero for a granted request
	// and for one refused by RefuseAll.
	Wait time.Duration
	// NoMemory means that a slot was free when the request was refused, but not enough memory.
	NoMemory bool
}

// lease is a granted slot.
type lease struct {
	holder  string
	weight  int64
	granted time.Time
	until   time.Time
}

// Gate is the admission control of one engine. Use New to create one.
type Gate struct {
	queue *queue.Queue
	// classes is the number of classes of each band.
	classes int
	waiting map[string]Request
	// beyondWaiting is how many of the waiting requests are beyond their account's share.
	beyondWaiting int
	// reserve is the number of slots that were reserved at reserveAt; see reserved.
	reserve   float64
	reserveAt time.Time
	leases    map[string]lease
	slots     int
	memory    room.Memory
	pacer     pacer
	// unleased is the number of requests at the engine without a lease of this gate.
	unleased int
	// meanHold and meanWeight are moving averages over the released leases, zero before the first.
	meanHold   time.Duration
	meanWeight float64
	// undelivered holds decisions on queued requests that Settle has not returned yet.
	undelivered []Decision
}

// New returns a gate without slots; see SetSlots.
func New(cfg Config) *Gate {
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &Gate{
		queue: queue.New(queue.Config{
			Limit: maxWaiting, AgeAfter: time.Hour, Classes: bands * cfg.Classes, Window: cfg.Window, Reserve: reservedShare, Rand: cfg.Rand,
		}),
		classes: cfg.Classes,
		waiting: make(map[string]Request),
		leases:  make(map[string]lease),
	}
}

// SetSlots sets how many requests may be at the engine at once.
func (g *Gate) SetSlots(n int) { g.slots = max(n, 0) }

// SetMemory sets the memory of the engine, in tokens; zero for no bound.
func (g *Gate) SetMemory(tokens int) { g.memory.SetTokens(tokens) }

// ObserveLoad records what the engine has stated about its load.
func (g *Gate) ObserveLoad(now time.Time, load EngineLoad) {
	g.memory.Observe(now, load.Running, load.Waiting, load.Slots)
}

// SetUnleased sets how many requests are at the engine without a lease of this gate: those sent
// while no lease was needed, or with a lease of another owner.
func (g *Gate) SetUnleased(n int) { g.unleased = max(n, 0) }

// Held returns the number of leases.
func (g *Gate) Held() int { return len(g.leases) }

// Waiting returns the number of queued requests.
func (g *Gate) Waiting() int { return g.queue.Len() }

// Idle reports whether the gate has neither leases nor queued requests.
func (g *Gate) Idle() bool { return g.Held() == 0 && g.Waiting() == 0 }

func (g *Gate) hasFreeSlot(now time.Time) bool {
	return len(g.leases)+g.unleased < g.slots && g.pacer.allows(now)
}

// Acquire grants a slot, queues the request, or refuses it. The decision on a queued request is
// returned by a later call of Settle.
func (g *Gate) Acquire(now time.Time, req Request) (decision Decision, queued bool) {
	if _, leased := g.leases[req.ID]; leased {
		return Decision{ID: req.ID, Granted: true}, false
	}
	g.pacer.set(now, req.Pace)
	if !g.mustQueue(now, req) && g.hasFreeSlot(now) && g.fits(now, req) {
		g.grant(now, req)
		return Decision{ID: req.ID, Granted: true}, false
	}
	g.queue.SetRate(g.drainRate(now, req))
	item := queue.Item{ID: req.ID, Account: req.Account, Class: g.queueClass(req), Weight: req.Weight, Deadline: req.Latest}
	if err := g.queue.Push(now, item); err != nil {
		g.raiseReserve(now, req)
		return g.refusal(now, req, item), false
	}
	g.waiting[req.ID] = req
	if req.Beyond {
		g.beyondWaiting++
	}
	return Decision{}, true
}

// refusal returns the decision that refuses a request.
func (g *Gate) refusal(now time.Time, req Request, item queue.Item) Decision {
	return Decision{ID: req.ID, Wait: g.queue.PredictWait(now, item), NoMemory: g.hasFreeSlot(now) && !g.fits(now, req)}
}

// mustQueue reports whether the request gets no slot before others, even if one is free.
func (g *Gate) mustQueue(now time.Time, req Request) bool {
	if req.Beyond {
		return g.queue.Len() > 0 || !g.hasSlotBeyondShares(now)
	}
	return g.queue.Len() > g.beyondWaiting
}

// hasSlotBeyondShares reports whether more slots are free than are reserved for requests within their
// account's share. An engine with few slots has none to reserve.
func (g *Gate) hasSlotBeyondShares(now time.Time) bool {
	return float64(len(g.leases)+g.unleased) < float64(g.slots)-math.Round(g.reserved(now))
}

// fits reports whether the engine has memory for the request. Requests beyond their account's share leave
// as large a share of the memory as of the slots.
func (g *Gate) fits(now time.Time, req Request) bool {
	share := 1.0
	if req.Beyond && g.slots > 0 {
		share -= math.Round(g.reserved(now)) / float64(g.slots)
	}
	g.memory.SetOthers(g.unleased + len(g.leases) - g.memory.Holders())
	return g.memory.Fits(now, req.Need, share)
}

// reserved returns the number of slots reserved for requests within their account's share.
func (g *Gate) reserved(now time.Time) float64 {
	least, most := beyondReserve*float64(g.slots), maxBeyondReserve*float64(g.slots)
	if least < 1 {
		return 0
	}
	decayed := (g.reserve - least) * math.Exp(-now.Sub(g.reserveAt).Seconds()/reserveWindow.Seconds())
	return min(least+max(decayed, 0), most)
}

// raiseReserve reserves one more slot after a request within its account's share was refused.
func (g *Gate) raiseReserve(now time.Time, req Request) {
	if req.Beyond || req.Late {
		return
	}
	g.reserve, g.reserveAt = g.reserved(now)+1, now
}

// dequeued forgets a request that is no longer queued.
func (g *Gate) dequeued(id string) {
	if g.waiting[id].Beyond {
		g.beyondWaiting--
	}
	delete(g.waiting, id)
}

// queueClass returns the class in which a request is queued.
func (g *Gate) queueClass(req Request) queue.Class {
	class := min(req.Class, queue.Class(g.classes-1))
	switch {
	case req.Late:
		class += queue.Class(2 * g.classes)
	case req.Beyond:
		class += queue.Class(g.classes)
	}
	return class
}

// drainRate returns how much work would finish per second if leases lasted as long as they have so
// far, or less if an active pace allows less. A new backlog is assumed to drain at this rate.
func (g *Gate) drainRate(now time.Time, req Request) float64 {
	if perSecond, paced := g.pacer.perSecond(now); paced {
		return min(g.unpacedDrainRate(req), perSecond*float64(max(req.Weight, 1)))
	}
	return g.unpacedDrainRate(req)
}

func (g *Gate) unpacedDrainRate(req Request) float64 {
	hold, weight := g.meanHold, g.meanWeight
	if hold == 0 {
		hold, weight = req.Hold, float64(max(req.Weight, 1))
	}
	if hold <= 0 {
		return 0
	}
	parallel := float64(g.slots)
	if n, bounded := g.memory.Requests(); bounded {
		parallel = min(parallel, n)
	}
	return parallel * weight / hold.Seconds()
}

func (g *Gate) grant(now time.Time, req Request) {
	g.pacer.recordGrant(now)
	g.leases[req.ID] = lease{holder: req.Holder, weight: max(req.Weight, 1), granted: now, until: req.Until}
	g.memory.Start(now, req.ID, req.Need)
}

// end ends a lease. completed means that its request is known to have left the engine.
func (g *Gate) end(now time.Time, id string, completed bool) {
	delete(g.leases, id)
	g.memory.End(now, id, completed)
}

// Release ends a lease and reports whether there was one.
func (g *Gate) Release(now time.Time, id string) bool {
	l, ok := g.leases[id]
	if !ok {
		return false
	}
	g.end(now, id, true)
	g.queue.Observe(now, l.weight)
	g.recordHold(now.Sub(l.granted), float64(l.weight))
	return true
}

func (g *Gate) recordHold(held time.Duration, weight float64) {
	if g.meanHold == 0 {
		g.meanHold, g.meanWeight = held, weight
		return
	}
	g.meanHold += time.Duration(holdSmoothing * float64(held-g.meanHold))
	g.meanWeight += holdSmoothing * (weight - g.meanWeight)
}

// Withdraw removes a queued or granted request whose caller has left.
func (g *Gate) Withdraw(now time.Time, id string) {
	if _, ok := g.queue.Remove(id); ok {
		g.dequeued(id)
		return
	}
	g.undelivered = slices.DeleteFunc(g.undelivered, func(d Decision) bool { return d.ID == id })
	g.end(now, id, false)
}

// DropHolder removes all leases and queued requests of a router that is dead or has joined anew. A
// dead process neither releases nor withdraws them, and one that has just joined holds none.
func (g *Gate) DropHolder(now time.Time, holder string) {
	for id, l := range g.leases {
		if l.holder == holder {
			g.end(now, id, false)
		}
	}
	for id, req := range g.waiting {
		if req.Holder == holder {
			g.Withdraw(now, id)
		}
	}
}

// Settle returns the decisions on queued requests: those granted because slots are free, and those
// refused because their turn would be too late. It must be called after every other call that may
// free a slot, and every few milliseconds while requests are queued.
func (g *Gate) Settle(now time.Time) []Decision {
	g.expireLeases(now)
	for _, item := range g.queue.Expire(now) {
		req := g.waiting[item.ID]
		g.undelivered = append(g.undelivered, g.refusal(now, req, item))
		g.raiseReserve(now, req)
		g.dequeued(item.ID)
	}
	for g.hasFreeSlot(now) {
		if g.queue.Len() == g.beyondWaiting && !g.hasSlotBeyondShares(now) {
			break
		}
		// A request that needs more memory than is free is not passed by smaller ones: under a lasting load,
		// it would never find enough.
		item, ok := g.queue.PopIf(now, func(item *queue.Item) bool { return g.fits(now, g.waiting[item.ID]) })
		if !ok {
			break
		}
		g.grant(now, g.waiting[item.ID])
		g.undelivered = append(g.undelivered, Decision{ID: item.ID, Granted: true})
		g.dequeued(item.ID)
	}
	decisions := g.undelivered
	g.undelivered = nil
	return decisions
}

// RefuseAll refuses all queued requests and returns the decisions. It is used when the engine
// accepts no more requests.
func (g *Gate) RefuseAll(now time.Time) []Decision {
	for id := range g.waiting {
		g.queue.Remove(id)
		g.undelivered = append(g.undelivered, Decision{ID: id})
	}
	clear(g.waiting)
	g.beyondWaiting = 0
	return g.Settle(now)
}

// expireLeases ends the leases that have expired because their release was lost.
func (g *Gate) expireLeases(now time.Time) {
	for id, l := range g.leases {
		if !l.until.IsZero() && now.After(l.until) {
			g.end(now, id, false)
		}
	}
}
