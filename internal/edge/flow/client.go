package flow

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
)

// Errors of asking for a place.
var (
	// ErrRefused means that the request would have to wait for too long.
	ErrRefused = errs.Class("no place in time")
	// ErrNoOwner means that the owner of the engine's gate can't be asked.
	ErrNoOwner = errs.Class("owner of the gate not reached")
	// ErrLeft means that the caller has left meanwhile.
	ErrLeft = errs.Class("caller left")
)

const (
	// callMargin is how much longer than the wait itself an owner may take to answer. It
	// covers a packet that is sent again.
	callMargin = 250 * time.Millisecond
	// suspectFor is how long an owner that gave no answer is not asked.
	suspectFor = 2 * time.Second
	// releaseDelay is how long a release waits for others to the same owner. A place is
	// idle for so long, of the seconds that it was taken.
	releaseDelay = 3 * time.Millisecond
	// releaseTimeout bounds a call that releases.
	releaseTimeout = time.Second
)

// Options set up an Asker.
type Options struct {
	Self  string
	Owner *Owner
	Clock Clock
	Call  feed.Call
	// Live returns the routers that seem alive, Engines how many engines there are.
	Live    func() []feed.Peer
	Engines func() int
	Log     *log.Logger
}

// Asker asks the owners of gates for places. It is safe for concurrent use.
type Asker struct {
	Options
	owners ownerList
	seq    atomic.Uint64

	mu       sync.Mutex
	suspects map[string]time.Duration
	outbox   map[feed.Peer][]Released
}

// NewAsker returns an Asker.
func NewAsker(o Options) *Asker {
	return &Asker{
		Options: o, owners: ownerList{live: o.Live, engines: o.Engines},
		suspects: make(map[string]time.Duration), outbox: make(map[feed.Peer][]Released),
	}
}

// Permit is a place at an engine. It must be released once.
type Permit struct {
	owner  feed.Peer
	engine string
	id     string
}

// Ask asks for a place for a request and waits for the verdict. Errors: ErrRefused, ErrNoOwner,
// ErrLeft. The answer says more of a request that was refused.
func (k *Asker) Ask(ctx context.Context, a Ask) (*Permit, Answer, error) {
	now := k.Clock()
	owner, ok := k.owners.of(a.Engine, now)
	if !ok || k.suspected(owner.Name, now) {
		return nil, Answer{}, ErrNoOwner.New("%s", owner.Name)
	}
	a.From = k.Self
	a.ID = k.Self + "#" + strconv.FormatUint(k.seq.Add(1), 36)
	permit := &Permit{owner: owner, engine: a.Engine, id: a.ID}
	if owner.Name == k.Self {
		return k.verdict(ctx, permit, k.Owner.Ask(ctx, a))
	}
	return k.askOther(ctx, permit, a)
}

func (k *Asker) verdict(ctx context.Context, permit *Permit, answer Answer) (*Permit, Answer, error) {
	if answer.Granted {
		return permit, answer, nil
	}
	if ctx.Err() != nil {
		return nil, answer, ErrLeft.Wrap(ctx.Err())
	}
	return nil, answer, ErrRefused.New("%s after %s", permit.engine, answer.Wait)
}

// askOther asks another router. A call that is given up would cut the connection with the
// calls of other requests on it, so the answer to a caller who has left is waited for, and a
// place that comes of it given back.
func (k *Asker) askOther(ctx context.Context, permit *Permit, a Ask) (*Permit, Answer, error) {
	type outcome struct {
		answer Answer
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.Background(), a.MaxWait+callMargin)
		defer cancel()
		var out outcome
		out.err = k.Call(callCtx, permit.owner, AskMethod, a, &out.answer)
		done <- out
	}()
	select {
	case out := <-done:
		if out.err != nil {
			return nil, Answer{}, k.unanswered(permit, out.err)
		}
		return k.verdict(ctx, permit, out.answer)
	case <-ctx.Done():
		go func() {
			if out := <-done; out.err == nil && out.answer.Granted {
				k.Release(permit)
			}
		}()
		return nil, Answer{}, ErrLeft.Wrap(ctx.Err())
	}
}

// unanswered suspects an owner that gave no answer. Whether it granted a place is not known,
// so that is given back in case.
func (k *Asker) unanswered(permit *Permit, err error) error {
	now := k.Clock()
	k.mu.Lock()
	fresh := now >= k.suspects[permit.owner.Name]
	k.suspects[permit.owner.Name] = now + suspectFor
	k.mu.Unlock()
	if fresh {
		k.Log.Warn("owner of gates not asked for a while", "owner", permit.owner.Name, "for", suspectFor, "cause", err)
	}
	k.Release(permit)
	return ErrNoOwner.Wrap(err)
}

func (k *Asker) suspected(owner string, now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now < k.suspects[owner]
}

// Release gives a place back.
func (k *Asker) Release(p *Permit) {
	if p.owner.Name == k.Self {
		k.Owner.Release(p.engine, p.id)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	waiting := k.outbox[p.owner]
	k.outbox[p.owner] = append(waiting, Released{Engine: p.engine, ID: p.id})
	if len(waiting) == 0 {
		time.AfterFunc(releaseDelay, func() { k.flush(p.owner) })
	}
}

// flush sends the releases to an owner. Leases whose release is lost end by their time.
func (k *Asker) flush(owner feed.Peer) {
	k.mu.Lock()
	leases := k.outbox[owner]
	delete(k.outbox, owner)
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.Call(ctx, owner, ReleaseMethod, ReleaseArgs{Leases: leases}, &Nothing{}); err != nil {
		k.Log.Warn("places not given back", "owner", owner.Name, "places", len(leases), "cause", err)
	}
}
