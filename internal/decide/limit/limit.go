// Package limit bounds each client account's request rate and concurrency
// across the fleet.
//
// One router owns an account and keeps its Ledger; every router has a Cache
// that spends what the owners have granted, so that most requests need no
// message. Tokens of the rate are spent once; slots of the concurrency are
// leased and renewed. When an owner is lost, each router falls back to a small
// static share until the new owner answers.
//
// Nothing here is safe for concurrent use or reads a clock; the caller passes
// the time, which must not run backwards.
package limit

import (
	"fmt"
	"time"
)

const (
	// DefaultTTL is how long a router may use leased slots without renewal.
	DefaultTTL = 5 * time.Second
	// TokenTTL is how long granted tokens may be spent. It bounds what routers
	// can save up beyond the account's burst.
	TokenTTL = 2 * time.Second
)

// Limits are an account's bounds across the fleet.
type Limits struct {
	// Rate is in requests per second; 0 means no bound.
	Rate float64
	// Burst is how many requests may come at once; 0 means a second's worth.
	Burst int
	// Concurrency bounds unfinished requests; 0 means no bound.
	Concurrency int
}

// burst returns the effective burst, at least one request.
func (l Limits) burst() float64 {
	if l.Burst > 0 {
		return float64(l.Burst)
	}
	return max(l.Rate, 1)
}

// Report tells an owner what a router holds of an account. It renews the
// router's lease, and after a change of owner it rebuilds the ledger.
type Report struct {
	// Router is the holder, named so that a restarted one differs.
	Router string
	// Seq grows with each report or ask of the router.
	Seq uint64
	// Held is the number of slots the router keeps. It has ceased to use the
	// others before it sends this.
	Held int
}

// Ask is a report together with what the router wants in addition.
type Ask struct {
	Report
	WantTokens int
	WantSlots  int
}

// Batch is an owner's answer.
type Batch struct {
	// Seq repeats that of the ask.
	Seq uint64
	// Stale means that a later report of the router came first; the batch
	// grants nothing and renews nothing.
	Stale bool
	// Tokens and Slots are what the router gets on top of what it has.
	Tokens int
	Slots  int
	// Target is the router's fair share of the slots. If Tight is set, others
	// wait for slots, and idle ones beyond Target are to be given back.
	Target int
	Tight  bool
	// Over means that more slots are out than the limit allows, as can happen
	// after a change of owner. No request is to begin beyond Target.
	Over bool
	// TTL is the length of the lease, counted by the router from the moment
	// it sent the ask.
	TTL time.Duration
	// RetryAfter is when to ask again if fewer tokens came than were wanted.
	RetryAfter time.Duration
}

// RateError reports that the account has used up its request rate.
type RateError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateError) Error() string {
	return fmt.Sprintf("limit: account %q is over its rate, retry after %v", e.Account, e.RetryAfter)
}

// ConcurrencyError reports that the account has too many unfinished requests.
type ConcurrencyError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *ConcurrencyError) Error() string {
	return fmt.Sprintf("limit: account %q is over its concurrency, retry after %v", e.Account, e.RetryAfter)
}
