package origins

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/origin"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
)

const (
	// sendTimeout bounds a call that sends records.
	sendTimeout = 500 * time.Millisecond
	// maxSends is how often a record is sent to a replica that does not reply.
	maxSends = 3
	// maxBatch is the number of records in a call.
	maxBatch = 512
)

// replicator sends records to their replicas. While a call to a replica is in progress, further records for
// it are gathered for the next one. It is safe for concurrent use.
type replicator struct {
	registry *Registry

	mu sync.Mutex
	// queues holds the records to be sent by the name of their replica. A replica with a queue has a
	// goroutine that sends.
	queues map[string][]delivery
}

// delivery is a record on its way to one replica.
type delivery struct {
	record origin.Record
	// until is the reading of the boot clock at which the record is no longer kept.
	until time.Duration
	sends int
	// pending counts the replicas that have not replied, and missed is set if one may keep an earlier record.
	// Once none is pending, done gets whether all have this one.
	pending *atomic.Int32
	missed  *atomic.Bool
	done    chan bool
}

// end ends the delivery to one replica.
func (d *delivery) end(missed bool) {
	if missed {
		d.missed.Store(true)
	}
	if d.pending.Add(-1) == 0 {
		d.done <- !d.missed.Load()
		close(d.done)
	}
}

func newReplicator(r *Registry) *replicator {
	return &replicator{registry: r, queues: make(map[string][]delivery)}
}

// add queues a record for the peers; see Registry.send.
func (o *replicator) add(record origin.Record, peers []feed.Peer) <-chan bool {
	if len(peers) == 0 {
		return nil
	}
	d := delivery{record: record, until: o.registry.Clock() + record.Left, pending: new(atomic.Int32), missed: new(atomic.Bool), done: make(chan bool, 1)}
	d.pending.Store(int32(len(peers)))
	for _, p := range peers {
		o.queue(p, d)
	}
	return d.done
}

func (o *replicator) queue(p feed.Peer, deliveries ...delivery) {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue, sending := o.queues[p.Name]
	o.queues[p.Name] = append(queue, deliveries...)
	if !sending {
		go o.run(p)
	}
}

// run sends the queue of a replica until it is empty.
func (o *replicator) run(p feed.Peer) {
	for {
		batch := o.take(p.Name)
		if len(batch) == 0 {
			return
		}
		o.deliver(p, batch)
	}
}

// take returns the next records for a replica. If there are none, the caller must end.
func (o *replicator) take(name string) []delivery {
	o.mu.Lock()
	defer o.mu.Unlock()
	queue := o.queues[name]
	if len(queue) == 0 {
		delete(o.queues, name)
		return nil
	}
	n := min(len(queue), maxBatch)
	o.queues[name] = queue[n:]
	return queue[:n]
}

// deliver sends records to a replica. Those that it may not have are sent again, to another one if it
// keeps none.
func (o *replicator) deliver(p feed.Peer, batch []delivery) {
	now := o.registry.Clock()
	args := ReplicateArgs{From: o.registry.Self}
	for _, d := range batch {
		left := d.until - now
		d.record.Age += d.record.Left - left
		d.record.Left = left
		args.Records = append(args.Records, d.record)
	}
	o.registry.counters.sent.Add(int64(len(batch)))
	o.registry.counters.replicateCalls.Add(1)
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	err := o.registry.Call(ctx, p, ReplicateMethod, args, &Empty{})
	if peer.ErrRemote.Has(err) {
		o.registry.setUnsupported(p.Name)
		o.registry.Log.Info("router keeps no records of streams", "router", p.Name, "cause", err)
	}
	for _, d := range batch {
		d.sends++
		// A router that refuses the call keeps no records.
		missed := err != nil && !peer.ErrRemote.Has(err)
		if missed && d.sends < maxSends && now < d.until && o.registry.isLive(p.Name) {
			o.queue(p, d)
			continue
		}
		d.end(missed)
	}
}

// isLive reports whether a router is believed alive.
func (r *Registry) isLive(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.peers[name]
	return ok
}
