// Package limit bounds each client account's request rate and concurrency across the fleet.
//
// One router owns an account and holds its Ledger. Every router has a Cache that spends what the
// owners have granted in advance, so that most requests need no message. Tokens for the rate are
// spent once; slots for the concurrency are leased and renewed. When an owner is lost, each router
// falls back to a small static share until the new owner replies.
//
// Types in this package are not safe for concurrent use and read no clock; the caller passes the
// time, which must not run backwards.
package limit

import (
	"fmt"
	"time"
)

const (
	// DefaultTTL is how long a router may use leased slots without renewing the lease.
	DefaultTTL = 5 * time.Second
	// TokenTTL is how long granted tokens may be spent. It bounds what routers can accumulate
	// beyond the account's burst.
	TokenTTL = 2 * time.Second
)

// Limits are an account's limits across the fleet.
type Limits struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is how many requests may arrive at once; 0 means one second's worth.
	Burst int
	// Concurrency limits unfinished requests; 0 means no limit.
	Concurrency int
}

// burst returns the effective burst, which is at least one request.
func (l Limits) burst() float64 {
	if l.Burst > 0 {
		return float64(l.Burst)
	}
	return max(l.Rate, 1)
}

// Report informs an owner of what a router holds of an account. It renews the router's lease. After
// a change of owner the new owner rebuilds its ledger from the reports.
type Report struct {
	// Router is the name of the holder, which changes when the router restarts.
	Router string
	// Seq increases with each report or request of the router.
	Seq uint64
	// Held is the number of slots the router retains. It must have stopped using the others before
	// it sends the report.
	Held int
}

// GrantRequest is a router's request for tokens and slots, together with its report.
type GrantRequest struct {
	Report
	WantTokens int
	WantSlots  int
}

// Batch is an owner's reply to a GrantRequest.
type Batch struct {
	// Seq repeats the sequence number of the request.
	Seq uint64
	// Stale means that a later report of the router arrived first; the batch grants nothing and
	// renews nothing.
	Stale bool
	// Tokens and Slots are granted on top of what the router holds.
	Tokens int
	Slots  int
	// Target is the router's fair share of the slots. Tight means that a router recently got fewer
	// slots than it wanted, so that idle slots beyond Target must be released.
	Target int
	Tight  bool
	// Over means that more slots are leased than the limit allows, which can happen after a change
	// of owner. The router must not start requests beyond Target.
	Over bool
	// TTL is the length of the lease, which the router counts from when it sent the request.
	TTL time.Duration
	// RetryAfter is how long to wait before the next request if fewer tokens were granted than
	// wanted.
	RetryAfter time.Duration
}

// RateError reports that the account has exceeded its request rate.
type RateError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *RateError) Error() string {
	return fmt.Sprintf("limit: account %q exceeded its request rate; retry after %v", e.Account, e.RetryAfter)
}

// ConcurrencyError reports that the account has too many unfinished requests.
type ConcurrencyError struct {
	Account    string
	RetryAfter time.Duration
}

// Error implements error.
func (e *ConcurrencyError) Error() string {
	return fmt.Sprintf("limit: account %q exceeded its limit of unfinished requests; retry after %v", e.Account, e.RetryAfter)
}
