package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"github.com/charmbracelet/log"
)

const (
	// SuspectsService is the name under which SuspectsRPC is registered with net/rpc.
	SuspectsService = "Suspects"
	exchangeMethod  = SuspectsService + ".Exchange"
	addMethod       = SuspectsService + ".Add"

	// suspectsGatherTime is how long a router waits after a change for further ones before it sends
	// them, and suspectsInterval the time between two such series of calls.
	suspectsGatherTime = 10 * time.Millisecond
	suspectsInterval   = 50 * time.Millisecond
	// suspectsCallTimeout bounds one call.
	suspectsCallTimeout = time.Second
	// suspectsPeriod is how often a router exchanges all suspects with another one selected at
	// random. It brings a router up to date that has just started or missed a change.
	suspectsPeriod = 2 * time.Second
)

// Suspects shares with all routers which requests engines were executing when they ended. A router
// sends what it learned itself to all others directly: engines end rarely.
type Suspects struct {
	Board  *board.Board
	Set    *suspects.Set
	Caller *peer.Caller
	Self   string
	Log    *log.Logger

	exchange suspects.Exchange
}

// Run shares suspects and takes the decisions on them that are due, until the context is canceled.
func (c *Suspects) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { c.Set.Run(ctx) })
	wg.Go(func() { c.runExchanges(ctx) })
	revision := uint64(0)
	for ctx.Err() == nil {
		changed := c.Set.Changed()
		var records suspects.Records
		if records, revision = c.Set.OwnChanges(revision, c.Set.Now()); records.Len() > 0 {
			c.sendToAll(ctx, &wg, records)
		}
		select {
		case <-ctx.Done():
		case <-changed:
			pause.For(ctx, suspectsGatherTime)
		}
	}
}

// sendToAll sends records to all other routers, and returns after suspectsInterval.
func (c *Suspects) sendToAll(ctx context.Context, wg *sync.WaitGroup, records suspects.Records) {
	args := suspects.Args{From: c.Self, Records: records.Requests, Parts: records.Parts}
	for _, r := range c.others() {
		wg.Go(func() { c.call(ctx, r, addMethod, args, &suspects.Reply{}) })
	}
	pause.For(ctx, suspectsInterval)
}

func (c *Suspects) runExchanges(ctx context.Context) {
	for pause.For(ctx, suspectsPeriod) {
		others := c.others()
		if len(others) == 0 {
			continue
		}
		r := others[rand.IntN(len(others))]
		args := c.exchange.Request(r.Name, c.Set, c.Set.Now())
		args.From = c.Self
		var reply suspects.Reply
		if c.call(ctx, r, exchangeMethod, *args, &reply) {
			c.exchange.HandleReply(r.Name, &reply, c.Set, c.Set.Now())
		}
	}
}

// call calls a router, and reports whether it replied. A failure needs no retry: later exchanges make
// up for it.
func (c *Suspects) call(ctx context.Context, r board.Router, method string, args suspects.Args, reply *suspects.Reply) bool {
	ctx, cancel := context.WithTimeout(ctx, suspectsCallTimeout)
	defer cancel()
	if err := c.Caller.Call(ctx, peer.Target{Name: r.Name, Address: r.Control}, method, args, reply); err != nil {
		c.Log.Debug("suspects not sent", "router", r.Name, "cause", err)
		return false
	}
	return true
}

// others returns the live routers except this one.
func (c *Suspects) others() []board.Router {
	var out []board.Router
	for _, r := range c.Board.Snapshot().Live {
		if r.Name != c.Self {
			out = append(out, r)
		}
	}
	return out
}

// RPC returns the service for other routers.
func (c *Suspects) RPC() *SuspectsRPC { return &SuspectsRPC{c.Set} }

// SuspectsRPC handles the calls of other routers. Its methods are called by net/rpc; their errors are
// always nil.
type SuspectsRPC struct{ set *suspects.Set }

// Exchange handles one exchange.
func (s *SuspectsRPC) Exchange(args suspects.Args, reply *suspects.Reply) error {
	now := s.set.Now()
	s.set.Receive(args.From, &args, now)
	if out := s.set.Reply(args.From, &args, now); out != nil {
		*reply = *out
	}
	return nil
}

// Add merges the records of another router.
func (s *SuspectsRPC) Add(args suspects.Args, _ *suspects.Reply) error {
	s.set.Receive(args.From, &args, s.set.Now())
	return nil
}
