// Package quota holds client accounts to their limits across the fleet. It
// drives package limit: the accounts that this router owns have their ledgers
// here, and for all others it asks their owners for batches in advance.
package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/limit"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

const (
	// DefaultCallTimeout bounds one ask of an account's owner.
	DefaultCallTimeout = 300 * time.Millisecond
	// renewPeriod is how often leases are looked at.
	renewPeriod = 500 * time.Millisecond
	// maxUndecided bounds how long one request waits for the owner's answers.
	// One answer may not be enough for all that wait; each ends in a few
	// milliseconds, or in a failure that leaves the static share to decide.
	maxUndecided = time.Second
)

// ServiceName is the RPC name under which Accounts is registered.
const ServiceName = "Accounts"

// Options configures a Quota.
type Options struct {
	Board  *board.Board
	Caller *peer.Caller
	// Self is this router's name; Instance tells its restarts apart.
	Self     string
	Instance uint64
	Rand     *rand.Rand
}

// Quota decides whether a request is within its account's limits. It is safe
// for concurrent use.
type Quota struct {
	opts   Options
	holder string

	mu      sync.Mutex
	cache   *limit.Cache
	ledgers map[string]*limit.Ledger
	// owners are the owners of the accounts in use, as of the last sync.
	owners map[string]string
	// live and version are those of the last sync, seen all its routers.
	live    []string
	version uint64
	seen    map[string]bool
	// asking is closed when the ask under way for an account has ended.
	asking map[string]chan struct{}

	// Refused counts requests beyond a limit, Asks the questions to other
	// routers, AsksFailed those without an answer.
	Refused, Asks, AsksFailed atomic.Int64
}

// New returns a Quota.
func New(o Options) *Quota {
	q := &Quota{
		opts:    o,
		holder:  board.HolderName(o.Self, o.Instance),
		ledgers: make(map[string]*limit.Ledger),
		owners:  make(map[string]string),
		asking:  make(map[string]chan struct{}),
	}
	q.cache = limit.NewCache(limit.CacheConfig{Self: q.holder, Limits: q.limits, Rand: o.Rand}, []string{q.holder})
	return q
}

func (q *Quota) limits(account string) limit.Limits {
	cfg := q.opts.Board.Snapshot().Config
	if cfg == nil {
		return limit.Limits{}
	}
	a, ok := cfg.Account(account)
	if !ok {
		return limit.Limits{}
	}
	return limitsOf(a)
}

func limitsOf(a *config.Account) limit.Limits {
	return limit.Limits{Rate: a.RequestsPerSecond, Burst: a.Burst, Concurrency: a.Concurrency}
}

// Take admits one request of the account; done must be called when it ends.
// Its errors are *apierr.Error and mean that nothing was sent.
func (q *Quota) Take(ctx context.Context, a *config.Account) (done func(), err error) {
	if a.RequestsPerSecond <= 0 && a.Concurrency <= 0 {
		return func() {}, nil
	}
	for started := time.Now(); time.Since(started) < maxUndecided && ctx.Err() == nil; {
		v := q.take(a.Name)
		if v.Err != nil {
			q.Refused.Add(1)
			return nil, refusal(v.Err)
		}
		if v.OK {
			if v.NeedRefill {
				go q.ask(context.WithoutCancel(ctx), a.Name)
			}
			return q.doneOnce(a.Name), nil
		}
		q.ask(ctx, a.Name)
	}
	q.Refused.Add(1)
	return nil, refusal(&limit.RateError{Account: a.Name, RetryAfter: time.Second})
}

func (q *Quota) take(account string) limit.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.cache.Take(time.Now(), account)
}

func (q *Quota) doneOnce(account string) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.cache.Done(account)
		})
	}
}

func refusal(err error) *apierr.Error {
	var rate *limit.RateError
	if errors.As(err, &rate) {
		return apierr.New(apierr.CodeRateLimited, http.StatusTooManyRequests, "the account's request rate is used up").
			WithRetryAfter(rate.RetryAfter).WithCause(err)
	}
	e := apierr.New(apierr.CodeConcurrency, http.StatusTooManyRequests, "the account has too many unfinished requests")
	var conc *limit.ConcurrencyError
	if errors.As(err, &conc) {
		e = e.WithRetryAfter(conc.RetryAfter)
	}
	return e.WithCause(err)
}

// ask asks the account's owner for more, or waits for the ask under way.
func (q *Quota) ask(ctx context.Context, account string) {
	q.mu.Lock()
	args, ok := q.cache.NewRequest(time.Now(), account)
	if !ok {
		under := q.asking[account]
		q.mu.Unlock()
		wait(ctx, under)
		return
	}
	ended := make(chan struct{})
	q.asking[account] = ended
	q.mu.Unlock()

	batch, err := q.grantOf(ctx, account, args)

	q.mu.Lock()
	if err != nil {
		q.AsksFailed.Add(1)
		q.cache.Failed(time.Now(), account, args.Seq)
	} else {
		q.cache.Fill(time.Now(), account, batch)
	}
	delete(q.asking, account)
	q.mu.Unlock()
	close(ended)
}

func wait(ctx context.Context, under <-chan struct{}) {
	if under == nil {
		return
	}
	select {
	case <-under:
	case <-ctx.Done():
	}
}

// grantOf gets a batch from the account's owner, which may be this router.
func (q *Quota) grantOf(ctx context.Context, account string, args limit.GrantRequest) (limit.Batch, error) {
	owner, ok := q.opts.Board.Snapshot().Owner(accountID(account))
	if !ok {
		return limit.Batch{}, peer.ErrNotSent.New("no router owns the account")
	}
	if owner.Name == q.opts.Self {
		return q.grant(account, args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	q.Asks.Add(1)
	var reply GrantReply
	t := peer.Target{Name: owner.Name, Address: owner.Control}
	err := q.opts.Caller.Call(ctx, t, ServiceName+".Grant", GrantArgs{Account: account, Ask: args}, &reply)
	if err == nil && !reply.Owner {
		err = peer.ErrRemote.New("not the owner")
	}
	return reply.Batch, err
}

// accountID is the rendezvous key of an account.
func accountID(account string) uint64 { return rendezvous.ID("account/" + account) }

// Run renews leases until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	t := time.NewTicker(renewPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			q.renew(ctx)
		}
	}
}

func (q *Quota) renew(ctx context.Context) {
	q.mu.Lock()
	due := q.cache.Due(time.Now())
	q.mu.Unlock()
	for _, account := range due {
		q.ask(ctx, account)
	}
}
