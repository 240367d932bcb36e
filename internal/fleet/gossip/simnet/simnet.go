// Package simnet runs gossip endpoints under virtual time on a simulated network that can lose,
// delay, duplicate and block packets. It starts no goroutines and opens no sockets, and the same
// seed produces the same run. It is meant for tests and benchmarks.
package simnet

import (
	"container/heap"
	"math/rand"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
)

// tickInterval is the virtual time between two ticks of a node.
const tickInterval = 50 * time.Millisecond

// socketBuffer is the number of packets that are buffered for a frozen node.
const socketBuffer = 64

// Conditions describes the network between any two nodes.
type Conditions struct {
	// Loss and Duplicate are probabilities per packet.
	Loss      float64
	Duplicate float64
	// MinDelay and MaxDelay bound the one-way delay, which is uniformly distributed.
	MinDelay time.Duration
	MaxDelay time.Duration
}

// Node is an endpoint at a network address.
type Node struct {
	Address  string
	Endpoint *gossip.Endpoint
	frozen   bool
	removed  bool
	buffered []delivery
}

type delivery struct {
	from string
	data []byte
}

// event is something that happens at a given time: a packet arrives or a node ticks.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].order < q[j].order
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// Network is a set of nodes and the packets in flight between them.
type Network struct {
	Conditions Conditions
	// Tap, if set, is called with each packet when it is sent.
	Tap func(from, to string, data []byte)

	rng   *rand.Rand
	now   time.Duration
	order uint64
	queue eventQueue
	nodes map[string]*Node
	cuts  map[[2]string]bool
}

// New returns an empty network.
func New(seed int64, c Conditions) *Network {
	return &Network{
		Conditions: c,
		rng:        rand.New(rand.NewSource(seed)),
		nodes:      make(map[string]*Node),
		cuts:       make(map[[2]string]bool),
	}
}

// Now returns the virtual time.
func (n *Network) Now() time.Duration { return n.now }

// Rand returns the network's source of randomness.
func (n *Network) Rand() *rand.Rand { return n.rng }

// Add places an endpoint at an address and removes a node that is already there.
func (n *Network) Add(address string, e *gossip.Endpoint) *Node {
	n.Remove(address)
	node := &Node{Address: address, Endpoint: e}
	n.nodes[address] = node
	n.schedule(time.Duration(n.rng.Int63n(int64(tickInterval))), func() { n.tick(node) })
	return node
}

// Remove removes a node immediately, like a VM that disappears.
func (n *Network) Remove(address string) {
	if node, ok := n.nodes[address]; ok {
		node.removed = true
		delete(n.nodes, address)
	}
}

// Freeze suspends a node: it neither ticks nor receives, and its packets are buffered.
func (n *Network) Freeze(address string) { n.nodes[address].frozen = true }

// Thaw resumes a frozen node, which first receives the buffered packets.
func (n *Network) Thaw(address string) {
	node := n.nodes[address]
	node.frozen = false
	buffered := node.buffered
	node.buffered = nil
	for _, d := range buffered {
		n.receive(node, d)
	}
}

// Cut blocks packets from one address to another, in this direction only.
func (n *Network) Cut(from, to string) { n.cuts[[2]string{from, to}] = true }

// Heal reverts Cut.
func (n *Network) Heal(from, to string) { delete(n.cuts, [2]string{from, to}) }

// Inject delivers a packet as if from had sent it, regardless of loss and cuts.
func (n *Network) Inject(from, to string, data []byte) {
	if node, ok := n.nodes[to]; ok {
		n.receive(node, delivery{from, data})
	}
}

// RunFor advances virtual time by d.
func (n *Network) RunFor(d time.Duration) {
	end := n.now + d
	n.RunUntil(end, func() bool { return false })
}

// RunUntil advances virtual time until the condition holds or end is reached, and reports
// whether the condition holds. The condition is checked after every event.
func (n *Network) RunUntil(end time.Duration, done func() bool) bool {
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.now = e.at
		e.run()
		if done() {
			return true
		}
	}
	n.now = end
	return done()
}

func (n *Network) schedule(d time.Duration, run func()) {
	n.order++
	heap.Push(&n.queue, event{at: n.now + d, order: n.order, run: run})
}

func (n *Network) tick(node *Node) {
	if node.removed {
		return
	}
	n.schedule(tickInterval, func() { n.tick(node) })
	if !node.frozen {
		n.Send(node.Address, node.Endpoint.Tick(n.now))
	}
}

// Send sends the packets of a node over the network.
func (n *Network) Send(from string, packets []gossip.Packet) {
	for _, p := range packets {
		if n.Tap != nil {
			n.Tap(from, p.To, p.Data)
		}
		n.transmit(from, p)
		if n.rng.Float64() < n.Conditions.Duplicate {
			n.transmit(from, p)
		}
	}
}

func (n *Network) transmit(from string, p gossip.Packet) {
	if n.cuts[[2]string{from, p.To}] || n.rng.Float64() < n.Conditions.Loss {
		return
	}
	span := n.Conditions.MaxDelay - n.Conditions.MinDelay
	delay := n.Conditions.MinDelay + time.Duration(n.rng.Int63n(int64(span)+1))
	n.schedule(delay, func() {
		if node, ok := n.nodes[p.To]; ok {
			n.receive(node, delivery{from, p.Data})
		}
	})
}

func (n *Network) receive(node *Node, d delivery) {
	if node.frozen {
		if len(node.buffered) < socketBuffer {
			node.buffered = append(node.buffered, d)
		}
		return
	}
	n.Send(node.Address, node.Endpoint.Receive(n.now, d.from, d.data))
}
