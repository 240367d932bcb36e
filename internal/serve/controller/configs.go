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
	// headPeriod is how often a router whose duty it is reads the head.
	headPeriod = time.Second
	// headReaders is how many routers read the head; the others hear of it.
	headReaders = 2
	// coldPeriod is how often a router without any configuration tries.
	coldPeriod     = 500 * time.Millisecond
	configTimeout  = 2 * time.Second
	peersPerFetch  = 2
	fetchJitterMax = 200 * time.Millisecond
)

// ItemConfigHead is the kind of the broadcast that tells of a new head.
const ItemConfigHead uint8 = 1

// headKey is the one key of that kind.
const headKey = "head"

// Configs follows the configuration chain. Two routers read its head from the
// table service, the others hear of a new one by gossip and fetch it from a
// router that has it. A version that is in force is never taken back.
type Configs struct {
	Board  *board.Board
	Chain  *config.Chain
	Caller *peer.Caller
	// Self is this router's name, Site its data centre.
	Self string
	Site string
	Log  *log.Logger
	// Announce spreads the head to the other routers.
	Announce func(membership.Item)
	// InForce is told of each version put in force here.
	InForce func(version uint64)

	mu       sync.Mutex
	follower *config.Follower
	// newest is the highest head heard of, in force here or not.
	newest config.Head
	wake   chan struct{}
}

// Provision makes the controller ready to run.
func (c *Configs) Provision() {
	c.follower = config.NewFollower(c.Site)
	c.wake = make(chan struct{}, 1)
}

// Run follows the chain until ctx ends.
func (c *Configs) Run(ctx context.Context) {
	for {
		c.step(ctx)
		period := headPeriod
		if c.InForceNow() == nil {
			period = coldPeriod
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

// Heard takes in a broadcast head.
func (c *Configs) Heard(item membership.Item) {
	var hash config.Hash
	if item.Kind != ItemConfigHead || len(item.Value) != len(hash) {
		return
	}
	copy(hash[:], item.Value)
	c.notice(config.Head{Version: item.Version, Hash: hash})
}

// notice remembers the newest head heard of and wakes the controller.
func (c *Configs) notice(h config.Head) {
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

// Accepted is called by the administration API after it accepted a version
// here, so that the fleet hears of it before the next reading of the head.
func (c *Configs) Accepted(h config.Head) {
	c.notice(h)
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
		c.learnFromPeers(ctx)
		return
	}
	if !c.fromPeers(ctx, want) {
		c.fromStore(ctx, want)
	}
}

// readsHead says whether reading the head is this router's duty. A router
// without any configuration reads it too: it may be alone.
func (c *Configs) readsHead() bool {
	rank := c.Board.Snapshot().Rank(dutyConfig)
	return rank < headReaders || c.InForceNow() == nil
}

func (c *Configs) readHead(ctx context.Context) {
	h, err := c.Chain.Head(ctx)
	if err != nil {
		c.Log.Debug("configuration head not read", "cause", err)
		return
	}
	c.notice(h)
	c.announce(h)
}

// wanted is the newest head heard of, if it is newer than what is in force.
func (c *Configs) wanted() config.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.follower.Wants(c.newest.Version, c.newest.Hash) {
		return config.Head{}
	}
	return c.newest
}

// learnFromPeers takes a version of which this router has not heard from a peer
// that says it has it in force. A fresh router in a store outage gets its first
// one so; it serves nothing until then. Any other router may have been missed by
// the broadcast of a head, and would wait for a digest for ten seconds or more.
func (c *Configs) learnFromPeers(ctx context.Context) {
	c.fromPeers(ctx, config.Head{Version: c.unheard()})
}

// unheard is the least version that this router can't know of.
func (c *Configs) unheard() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.follower.InForce()
	if now == nil {
		return 1
	}
	return max(now.Version, c.newest.Version) + 1
}

// fromPeers asks routers that say they have the version.
func (c *Configs) fromPeers(ctx context.Context, want config.Head) bool {
	snap := c.Board.Snapshot()
	var having []board.Router
	for _, r := range snap.Routers {
		if r.Name != c.Self && r.ConfigVersion >= want.Version {
			having = append(having, r)
		}
	}
	rand.Shuffle(len(having), func(i, j int) { having[i], having[j] = having[j], having[i] })
	for _, r := range having[:min(len(having), peersPerFetch)] {
		var reply ConfigReply
		t := peer.Target{Name: r.Name, Address: r.Control}
		err := c.Caller.Call(ctx, t, FleetService+".Config", ConfigArgs{AtLeast: want.Version}, &reply)
		if err != nil || reply.Version < want.Version {
			continue
		}
		// Noted, so that a version that is refused here is not fetched again.
		c.notice(config.Head{Version: reply.Version, Hash: reply.Hash})
		b, err := config.DecodeBundle(reply.Bundle)
		if err != nil {
			c.Log.Warn("configuration from peer can't be decoded", "peer", r.Name, "cause", err)
			continue
		}
		if c.offer(reply.Version, reply.Hash, b) {
			return true
		}
	}
	return false
}

// fromStore reads the version from the table service. Routers that hear of a
// head at the same moment come a little apart, and most find a peer first.
func (c *Configs) fromStore(ctx context.Context, want config.Head) {
	if !c.readsHead() && !pause.For(ctx, rand.N(fetchJitterMax)) {
		return
	}
	v, err := c.Chain.Load(ctx, want.Version)
	if err != nil {
		c.Log.Debug("configuration not read", "version", want.Version, "cause", err)
		return
	}
	c.offer(v.Number, v.Hash, v.Bundle)
}

// offer puts a version in force if it is newer than the present one.
func (c *Configs) offer(version uint64, hash config.Hash, b config.Bundle) bool {
	c.mu.Lock()
	applied, err := c.follower.Offer(version, hash, b)
	now := c.follower.InForce()
	c.mu.Unlock()
	if err != nil {
		c.Log.Error("configuration refused", "version", version, "cause", err)
		return false
	}
	if !applied {
		return true
	}
	c.Board.UpdateWait(func(s *board.State) {
		if now.Version <= s.ConfigVersion {
			return
		}
		s.Config = now.Effective
		s.ConfigVersion = now.Version
		SetRegions(s)
	})
	c.Log.Info("configuration in force", "version", now.Version, "hash", now.Hash.String())
	if c.InForce != nil {
		c.InForce(now.Version)
	}
	return true
}

// InForceNow is the configuration in force here, or nil.
func (c *Configs) InForceNow() *config.InForce {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.InForce()
}

// Current answers a router that asks for the configuration in force here.
func (c *Configs) Current(atLeast uint64) ConfigReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.follower.InForce()
	if f == nil || f.Version < atLeast {
		return ConfigReply{}
	}
	return ConfigReply{Version: f.Version, Hash: f.Hash, Bundle: f.Bundle.Encode()}
}
