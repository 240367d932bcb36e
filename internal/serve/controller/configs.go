package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/charmbracelet/log"
)

const (
	// headPollPeriod is the time between two reads of the head by a router that has this duty.
	headPollPeriod = time.Second
	// headReaders is the number of routers that read the head. The others receive it by gossip.
	headReaders = 2
	// initialPollPeriod replaces headPollPeriod at a router without any configuration.
	initialPollPeriod = 500 * time.Millisecond
	configTimeout     = 2 * time.Second
	peersPerFetch     = 2
	maxFetchDelay     = 200 * time.Millisecond
)

// ItemConfigHead is the kind of the broadcast that announces a head.
const ItemConfigHead uint8 = 1

// headKey is the only key of items of the kind ItemConfigHead.
const headKey = "head"

// Configs follows the configuration chain. Two routers read its head, which is the number and hash
// of the newest version, from the table service. The others receive a new head by gossip and fetch
// its version from a router where it is active. The active version is only ever replaced by a newer
// one.
type Configs struct {
	Board  *board.Board
	Chain  *config.Chain
	Caller *peer.Caller
	// Self is this router's name, Site its data centre.
	Self string
	Site string
	Log  *log.Logger
	// Announce broadcasts the head to the other routers.
	Announce func(membership.Item)
	// InForce is called with each version that becomes active at this router. It may be nil.
	InForce func(version uint64)

	mu       sync.Mutex
	follower *config.Follower
	// newest is the head with the highest version that this router knows of, active here or not.
	newest config.Head
	wake   chan struct{}
}

// Provision prepares the controller. It must be called once, before all other methods.
func (c *Configs) Provision() {
	c.follower = config.NewFollower(c.Site)
	c.wake = make(chan struct{}, 1)
}

// Run follows the chain until ctx ends.
func (c *Configs) Run(ctx context.Context) {
	for {
		c.step(ctx)
		period := headPollPeriod
		if c.Active() == nil {
			period = initialPollPeriod
		}
		t := time.NewTimer(jitter(period))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-c.wake:
			t.Stop()
		}
	}
}

// ReceiveHead handles a broadcast head. Items of other kinds are ignored.
func (c *Configs) ReceiveHead(item membership.Item) {
	var hash config.Hash
	if item.Kind != ItemConfigHead || len(item.Value) != len(hash) {
		return
	}
	copy(hash[:], item.Value)
	c.recordHead(config.Head{Version: item.Version, Hash: hash})
}

// recordHead stores the head if it is the newest known one, and wakes Run.
func (c *Configs) recordHead(h config.Head) {
	c.mu.Lock()
	newer := h.Version > c.newest.Version
	if newer {
		c.newest = h
	}
	c.mu.Unlock()
	if !newer {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// AnnounceAccepted announces a version that the administration API has accepted at this router, so
// that the fleet receives it before the next read of the head.
func (c *Configs) AnnounceAccepted(h config.Head) {
	c.recordHead(h)
	c.announce(h)
}

func (c *Configs) announce(h config.Head) {
	if h.Version > 0 {
		c.Announce(membership.Item{Kind: ItemConfigHead, Key: headKey, Version: h.Version, Value: h.Hash[:]})
	}
}

func (c *Configs) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	if c.readsHead() {
		c.readHead(ctx)
	}
	want := c.wanted()
	if want.Version == 0 {
		c.fetchUnannounced(ctx)
		return
	}
	if !c.fetchFromPeers(ctx, want) {
		c.fetchFromStore(ctx, want)
	}
}

// readsHead reports whether this router reads the head. A router without any configuration reads it
// too, because it may be the only one.
func (c *Configs) readsHead() bool {
	rank := c.Board.Snapshot().Rank(dutyConfig)
	return rank < headReaders || c.Active() == nil
}

func (c *Configs) readHead(ctx context.Context) {
	h, err := c.Chain.Head(ctx)
	if err != nil {
		c.Log.Debug("configuration head not read", "cause", err)
		return
	}
	c.recordHead(h)
	c.announce(h)
}

// wanted returns the newest known head, or a zero head if its version is not newer than the active
// one or was rejected before.
func (c *Configs) wanted() config.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.follower.ShouldFetch(c.newest.Version, c.newest.Hash) {
		return config.Head{}
	}
	return c.newest
}

// fetchUnannounced fetches a version whose head was not announced to this router from a peer that
// reports it as active. A new router gets its first version this way during an outage of the store;
// it serves no requests until then. Any other router may have missed the broadcast of a head and
// would otherwise wait ten seconds or more until a membership digest shows that it lacks the head.
func (c *Configs) fetchUnannounced(ctx context.Context) {
	c.fetchFromPeers(ctx, config.Head{Version: c.firstUnknownVersion()})
}

// firstUnknownVersion returns the lowest version that this router doesn't know of.
func (c *Configs) firstUnknownVersion() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.follower.Active()
	if active == nil {
		return 1
	}
	return max(active.Version, c.newest.Version) + 1
}

// fetchFromPeers fetches the version or a newer one from routers that report it as active, and
// reports whether one was offered without an error.
func (c *Configs) fetchFromPeers(ctx context.Context, want config.Head) bool {
	snap := c.Board.Snapshot()
	var peers []board.Router
	for _, r := range snap.Routers {
		if r.Name != c.Self && r.ConfigVersion >= want.Version {
			peers = append(peers, r)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, r := range peers[:min(len(peers), peersPerFetch)] {
		var reply ConfigReply
		t := peer.Target{Name: r.Name, Address: r.Control}
		err := c.Caller.Call(ctx, t, FleetService+".Config", ConfigArgs{AtLeast: want.Version}, &reply)
		if err != nil || reply.Version < want.Version {
			continue
		}
		// The head is recorded so that a version that is rejected here is not fetched again.
		c.recordHead(config.Head{Version: reply.Version, Hash: reply.Hash})
		b, err := config.DecodeBundle(reply.Bundle)
		if err != nil {
			c.Log.Warn("configuration from peer not decoded", "peer", r.Name, "cause", err)
			continue
		}
		if c.offer(reply.Version, reply.Hash, b) {
			return true
		}
	}
	return false
}

// fetchFromStore reads the version from the table service. A random delay separates routers that
// receive a head at the same time, so that most of them find a peer first.
func (c *Configs) fetchFromStore(ctx context.Context, want config.Head) {
	if !c.readsHead() && !pause.For(ctx, rand.N(maxFetchDelay)) {
		return
	}
	v, err := c.Chain.Load(ctx, want.Version)
	if err != nil {
		c.Log.Debug("configuration not read", "version", want.Version, "cause", err)
		return
	}
	c.offer(v.Number, v.Hash, v.Bundle)
}

// offer activates a version if it is newer than the active one. It returns false only if the
// version was rejected.
func (c *Configs) offer(version uint64, hash config.Hash, b config.Bundle) bool {
	c.mu.Lock()
	applied, err := c.follower.Offer(version, hash, b)
	active := c.follower.Active()
	c.mu.Unlock()
	if err != nil {
		c.Log.Error("configuration rejected", "version", version, "cause", err)
		return false
	}
	if !applied {
		return true
	}
	c.Board.UpdateWait(func(s *board.State) {
		if active.Version <= s.ConfigVersion {
			return
		}
		s.Config = active.Effective
		s.ConfigVersion = active.Version
		setRegions(s)
	})
	c.Log.Info("configuration activated", "version", active.Version, "hash", active.Hash.String())
	if c.InForce != nil {
		c.InForce(active.Version)
	}
	return true
}

// Active returns the configuration that is active at this router, or nil.
func (c *Configs) Active() *config.Active {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Active()
}

// Current returns the reply to a router that requests the active configuration of this one. It is
// empty if none is active whose version is at least atLeast.
func (c *Configs) Current(atLeast uint64) ConfigReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	active := c.follower.Active()
	if active == nil || active.Version < atLeast {
		return ConfigReply{}
	}
	return ConfigReply{Version: active.Version, Hash: active.Hash, Bundle: active.Bundle.Encode()}
}
