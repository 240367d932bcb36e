// Package quota enforces the limits of client accounts across the fleet, using
// package limit. It keeps the ledgers of the accounts that this router owns,
// and requests batches in advance from the owners of all other accounts.
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
	// DefaultCallTimeout limits one call to an account's owner.
	DefaultCallTimeout = 300 * time.Millisecond
	// renewInterval is how often leases are checked for renewal.
	renewInterval = 500 * time.Millisecond
	// maxOwnerWait limits how long one request waits for replies of the owner.
	// One reply may not contain enough tokens for all requests that wait, so a
	// request may wait for several. Each call ends within a few milliseconds,
	// or fails; after a failure the router's static share of the limit decides.
	maxOwnerWait = time.Second
)

// ServiceName is the RPC name under which Accounts is registered.
const ServiceName = "Accounts"

// Options configures a Quota.
type Options struct {
	Board  *board.Board
	Caller *peer.Caller
	// Self is this router's name; Instance distinguishes its restarts.
	Self     string
	Instance uint64
	Rand     *rand.Rand
}

// Quota decides whether requests are within their account's limits. It is safe
// for concurrent use.
type Quota struct {
	opts   Options
	holder string

	mu      sync.Mutex
	cache   *limit.Cache
	ledgers map[string]*limit.Ledger
	// owners maps the accounts of the configuration to their owners in the last
	// snapshot.
	owners map[string]string
	// liveHolders and configVersion are those of the last snapshot in which
	// either of them changed. knownHolders are all routers of that snapshot.
	liveHolders   []string
	configVersion uint64
	knownHolders  map[string]bool
	// pending holds, per account, a channel that is closed when the pending
	// request to the owner ends.
	pending map[string]chan struct{}

	// Refused counts requests refused by a limit, OwnerCalls the calls to other
	// routers, and OwnerCallsFailed the requests for a batch that failed.
	Refused, OwnerCalls, OwnerCallsFailed atomic.Int64
}

// New returns a Quota.
func New(o Options) *Quota {
	q := &Quota{
		opts:    o,
		holder:  board.HolderName(o.Self, o.Instance),
		ledgers: make(map[string]*limit.Ledger),
		owners:  make(map[string]string),
		pending: make(map[string]chan struct{}),
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

// Take admits one request of the account. The caller must call done when the
// request ends. Errors are *apierr.Error and mean that nothing was sent to an
// engine.
func (q *Quota) Take(ctx context.Context, a *config.Account) (done func(), err error) {
	if a.RequestsPerSecond <= 0 && a.Concurrency <= 0 {
		return func() {}, nil
	}
	for started := time.Now(); time.Since(started) < maxOwnerWait && ctx.Err() == nil; {
		v := q.takeCached(a.Name)
		if v.Err != nil {
			q.Refused.Add(1)
			return nil, refusalError(v.Err)
		}
		if v.OK {
			if v.NeedRefill {
				go q.requestBatch(context.WithoutCancel(ctx), a.Name)
			}
			return q.doneOnce(a.Name), nil
		}
		q.requestBatch(ctx, a.Name)
	}
	q.Refused.Add(1)
	return nil, refusalError(&limit.RateError{Account: a.Name, RetryAfter: time.Second})
}

func (q *Quota) takeCached(account string) limit.Decision {
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

func refusalError(err error) *apierr.Error {
	var rate *limit.RateError
	if errors.As(err, &rate) {
		return apierr.New(apierr.CodeRateLimited, http.StatusTooManyRequests, "the account's request rate is used up").
			WithRetryAfter(rate.RetryAfter).WithCause(err)
	}
	e := apierr.New(apierr.CodeConcurrencyLimited, http.StatusTooManyRequests, "the account has too many unfinished requests")
	var conc *limit.ConcurrencyError
	if errors.As(err, &conc) {
		e = e.WithRetryAfter(conc.RetryAfter)
	}
	return e.WithCause(err)
}

// requestBatch requests a batch from the account's owner, or waits for the
// pending request.
func (q *Quota) requestBatch(ctx context.Context, account string) {
	q.mu.Lock()
	args, ok := q.cache.NewRequest(time.Now(), account)
	if !ok {
		pending := q.pending[account]
		q.mu.Unlock()
		waitPending(ctx, pending)
		return
	}
	done := make(chan struct{})
	q.pending[account] = done
	q.mu.Unlock()

	batch, err := q.requestGrant(ctx, account, args)

	q.mu.Lock()
	if err != nil {
		q.OwnerCallsFailed.Add(1)
		q.cache.Failed(time.Now(), account, args.Seq)
	} else {
		q.cache.Fill(time.Now(), account, batch)
	}
	delete(q.pending, account)
	q.mu.Unlock()
	close(done)
}

func waitPending(ctx context.Context, pending <-chan struct{}) {
	if pending == nil {
		return
	}
	select {
	case <-pending:
	case <-ctx.Done():
	}
}

// requestGrant returns a batch from the account's owner, which may be this
// router. It fails with peer.ErrNotSent if the account has no owner, with
// peer.ErrRemote if the called router isn't the owner, and with the error of
// the call otherwise.
func (q *Quota) requestGrant(ctx context.Context, account string, args limit.GrantRequest) (limit.Batch, error) {
	owner, ok := q.opts.Board.Snapshot().Owner(accountID(account))
	if !ok {
		return limit.Batch{}, peer.ErrNotSent.New("no router owns the account")
	}
	if owner.Name == q.opts.Self {
		return q.grantOwned(account, args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	q.OwnerCalls.Add(1)
	var reply GrantReply
	t := peer.Target{Name: owner.Name, Address: owner.Control}
	err := q.opts.Caller.Call(ctx, t, ServiceName+".Grant", GrantArgs{Account: account, Ask: args}, &reply)
	if err == nil && !reply.Owner {
		err = peer.ErrRemote.New("not the owner")
	}
	return reply.Batch, err
}

// accountID returns the rendezvous key of an account.
func accountID(account string) uint64 { return rendezvous.ID("account/" + account) }

// Run renews leases until ctx ends.
func (q *Quota) Run(ctx context.Context) {
	t := time.NewTicker(renewInterval)
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
		q.requestBatch(ctx, account)
	}
}
