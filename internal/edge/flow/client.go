package flow

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
)

// Errors of Client.Acquire.
var (
	// ErrRefused means that the owner refused the request: it would have to wait too long for a
	// slot, or the engine accepts no more requests.
	ErrRefused = errs.Class("slot refused")
	// ErrOwnerUnreachable means that the owner of the engine's gate can't be called, or does not reply
	// in time.
	ErrOwnerUnreachable = errs.Class("gate owner unreachable")
	// ErrCanceled means that the request's context ended before the decision: the caller left, or
	// its deadline passed.
	ErrCanceled = errs.Class("request canceled")
)

const (
	// callMargin is how much longer than the request's wait an owner may take to reply. It covers
	// the retransmission of a packet.
	callMargin = 250 * time.Millisecond
	// ownerCooldown is how long an owner that did not reply is not called again, and slowCooldown an
	// owner whose reply took longer than the request could spare.
	ownerCooldown = 2 * time.Second
	slowCooldown  = 500 * time.Millisecond
	// releaseDelay is how long a release is delayed to be sent together with others to the same
	// owner. The slot is idle meanwhile, which is little compared with the seconds it was in use.
	releaseDelay = 3 * time.Millisecond
	// releaseTimeout bounds a release call.
	releaseTimeout = time.Second
)

// Options configures a Client.
type Options struct {
	Self  string
	Owner *Owner
	Clock Clock
	Call  feed.Call
	// Live returns the routers that are believed alive, and Engines the number of engines.
	Live    func() []feed.Peer
	Engines func() int
	Log     *log.Logger
}

// Client requests slots from the owners of gates. It is safe for concurrent use.
type Client struct {
	Options
	owners ownerCache
	seq    atomic.Uint64

	mu              sync.Mutex
	cooldownUntil   map[string]time.Duration
	pendingReleases map[feed.Peer][]LeaseRef
}

// NewClient returns a Client.
func NewClient(o Options) *Client {
	return &Client{
		Options: o, owners: ownerCache{live: o.Live, engines: o.Engines},
		cooldownUntil: make(map[string]time.Duration), pendingReleases: make(map[feed.Peer][]LeaseRef),
	}
}

// Permit is the granted right to a slot at an engine. It must be released exactly once.
type Permit struct {
	owner  feed.Peer
	engine string
	id     string
	// Rejected is set before the release if the engine has rejected the request.
	Rejected bool
	// Load is set before the release to what the engine has stated about its load; zero for nothing.
	Load gate.EngineLoad
}

// lease returns the reference by which the permit is released.
func (p *Permit) lease() LeaseRef {
	return LeaseRef{Engine: p.engine, ID: p.id, Rejected: p.Rejected, Running: p.Load.Running, Waiting: p.Load.Waiting, EngineSlots: p.Load.Slots}
}

// Acquire requests a slot and waits for the decision. spare is how much longer than the request's wait
// the reply may take. Errors: ErrRefused, ErrOwnerUnreachable, ErrCanceled. If the owner refused the
// request, the reply has the details.
func (c *Client) Acquire(ctx context.Context, req SlotRequest, spare time.Duration) (*Permit, Answer, error) {
	now := c.Clock()
	owner, ok := c.owners.ownerOf(req.Engine, now)
	if !ok || c.coolingDown(owner.Name, now) {
		return nil, Answer{}, ErrOwnerUnreachable.New("%s", owner.Name)
	}
	req.From = c.Self
	req.ID = c.Self + "#" + strconv.FormatUint(c.seq.Add(1), 36)
	permit := &Permit{owner: owner, engine: req.Engine, id: req.ID}
	if owner.Name == c.Self {
		return c.result(ctx, permit, c.Owner.Acquire(ctx, req))
	}
	return c.acquireRemote(ctx, permit, req, spare)
}

func (c *Client) result(ctx context.Context, permit *Permit, reply Answer) (*Permit, Answer, error) {
	if reply.Granted {
		return permit, reply, nil
	}
	if ctx.Err() != nil {
		return nil, reply, ErrCanceled.Wrap(ctx.Err())
	}
	return nil, reply, ErrRefused.New("engine %s, predicted wait %s", permit.engine, reply.Wait)
}

// slotReply is the outcome of a call to the owner of a gate.
type slotReply struct {
	answer Answer
	err    error
}

// acquireRemote requests a slot from another router. Canceling the call would close the connection
// and thereby end the calls of other requests on it. When ctx ends, or the reply takes too long,
// acquireRemote therefore returns and leaves the reply to abandonCall.
func (c *Client) acquireRemote(ctx context.Context, permit *Permit, req SlotRequest, spare time.Duration) (*Permit, Answer, error) {
	done := make(chan slotReply, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.Background(), req.MaxWait+callMargin)
		defer cancel()
		var out slotReply
		out.err = c.Call(callCtx, permit.owner, AskMethod, req, &out.answer)
		done <- out
	}()
	slow := time.NewTimer(req.MaxWait + min(spare, callMargin))
	defer slow.Stop()
	select {
	case out := <-done:
		if out.err != nil {
			return nil, Answer{}, c.handleNoReply(permit, out.err)
		}
		return c.result(ctx, permit, out.answer)
	case <-slow.C:
		c.recordSlow(permit.owner.Name)
		go c.abandonCall(permit, done)
		return nil, Answer{}, ErrOwnerUnreachable.New("%s: no reply in time", permit.owner.Name)
	case <-ctx.Done():
		go c.abandonCall(permit, done)
		return nil, Answer{}, ErrCanceled.Wrap(ctx.Err())
	}
}

// abandonCall withdraws a request for a slot, waits for the reply, and releases the slot if it was granted
// all the same.
func (c *Client) abandonCall(permit *Permit, done <-chan slotReply) {
	c.Release(permit)
	switch out := <-done; {
	case out.err != nil:
		// The error concerns requests to come; this one has ended or goes on without a permit.
		_ = c.handleNoReply(permit, out.err)
	case out.answer.Granted:
		c.Release(permit)
	}
}

// recordSlow starts the cooldown of an owner whose reply took too long.
func (c *Client) recordSlow(owner string) {
	now := c.Clock()
	c.mu.Lock()
	first := now >= c.cooldownUntil[owner]
	c.cooldownUntil[owner] = max(c.cooldownUntil[owner], now+slowCooldown)
	c.mu.Unlock()
	if first {
		c.Log.Info("owner of gates slow; its engines are used without permits", "owner", owner, "for", slowCooldown)
	}
}

// handleNoReply starts the cooldown of an owner that did not reply. It also releases the slot,
// which the owner may have granted.
func (c *Client) handleNoReply(permit *Permit, err error) error {
	now := c.Clock()
	c.mu.Lock()
	firstFailure := now >= c.cooldownUntil[permit.owner.Name]
	c.cooldownUntil[permit.owner.Name] = now + ownerCooldown
	c.mu.Unlock()
	if firstFailure {
		c.Log.Warn("owner of gates not asked for a while", "owner", permit.owner.Name, "for", ownerCooldown, "cause", err)
	}
	c.Release(permit)
	return ErrOwnerUnreachable.Wrap(err)
}

func (c *Client) coolingDown(owner string, now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.cooldownUntil[owner]
}

// Release releases a slot.
func (c *Client) Release(p *Permit) {
	if p.owner.Name == c.Self {
		c.Owner.Release(p.lease())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.pendingReleases[p.owner]
	c.pendingReleases[p.owner] = append(pending, p.lease())
	if len(pending) == 0 {
		time.AfterFunc(releaseDelay, func() { c.flush(p.owner) })
	}
}

// flush sends the pending releases to an owner. If they are lost, the leases expire.
func (c *Client) flush(owner feed.Peer) {
	c.mu.Lock()
	leases := c.pendingReleases[owner]
	delete(c.pendingReleases, owner)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := c.Call(ctx, owner, ReleaseMethod, ReleaseArgs{Leases: leases}, &Empty{}); err != nil {
		c.Log.Warn("slots not released", "owner", owner.Name, "places", len(leases), "cause", err)
	}
}
