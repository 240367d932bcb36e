package forward

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/fairshare"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
)

// divideInterval is how often the shares of a congested service are computed anew. The rates of other
// routers arrive less often.
const divideInterval = 50 * time.Millisecond

// AccountShares divides congested services among the client accounts. A configuration with fewer than
// two accounts has nothing to divide. It is safe for concurrent use.
type AccountShares struct {
	clock func() time.Duration
	// others returns the rates reported by the other routers.
	others func() feed.AccountRates

	mu       sync.Mutex
	services map[string]*sharedService
}

type sharedService struct {
	*fairshare.Service
	congestedUntil time.Duration
}

// NewAccountShares returns an AccountShares.
func NewAccountShares(clock func() time.Duration, others func() feed.AccountRates) *AccountShares {
	return &AccountShares{clock: clock, others: others, services: make(map[string]*sharedService)}
}

// dividesAmong reports whether the services of a configuration are divided among accounts.
func dividesAmong(c *catalog.Config) bool { return len(c.Accounts) > 1 }

// Ask counts a request of an account that arrived at a service, and returns the part of such requests
// that is within the share of the account.
func (a *AccountShares) Ask(c *catalog.Config, service, account string, rank int, work float64, congested bool) float64 {
	if !dividesAmong(c) {
		return 1
	}
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[service]
	if s == nil {
		s = &sharedService{Service: fairshare.NewService()}
		a.services[service] = s
	}
	s.Ask(now, account, rank, work)
	if congested {
		s.congestedUntil = now + congestedFor
	}
	if now >= s.congestedUntil {
		s.Ease()
		return 1
	}
	if now-s.UpdatedAt() >= divideInterval {
		s.Update(now, a.fleetRates(service, s, now), priorities(c))
	}
	return s.ShareOf(account, rank)
}

// Grant counts a request of an account that was sent to an engine of a service.
func (a *AccountShares) Grant(service, account string, work float64) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.services[service]; s != nil {
		s.Grant(now, account, work)
	}
}

// fleetRates returns the rates of the requests of all routers to a service. The caller holds the mutex.
func (a *AccountShares) fleetRates(service string, s *sharedService, now time.Duration) map[string]fairshare.Rates {
	out := s.Rates(now)
	for key, rates := range a.others() {
		if key.Service == service {
			out[key.Account] = out[key.Account].Add(rates)
		}
	}
	return out
}

// priorities returns the function that looks up the priority of an account. Requests of public routes
// have that of the least urgent account.
func priorities(c *catalog.Config) func(account string) int {
	byName := make(map[string]int, len(c.Accounts))
	lowest := 0
	for _, account := range c.Accounts {
		byName[account.Name] = account.Priority
		lowest = max(lowest, account.Priority)
	}
	return func(account string) int {
		if priority, known := byName[account]; known {
			return priority
		}
		return lowest
	}
}

// Report returns the rates of this router's requests to congested services.
func (a *AccountShares) Report() feed.AccountRates {
	now := a.clock()
	out := make(feed.AccountRates)
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range a.services {
		if now >= s.congestedUntil {
			continue
		}
		for account, rates := range s.Rates(now) {
			out[feed.AccountKey{Service: name, Account: account}] = rates
		}
	}
	return out
}

// AccountShare describes an account at a congested service for operators, in work per second of the
// whole fleet.
type AccountShare struct {
	Service string  `json:"service"`
	Account string  `json:"account"`
	Asked   float64 `json:"asked"`
	Granted float64 `json:"granted"`
	Usual   float64 `json:"usual"`
	// Share is what the account may have granted before others. Within is the part of its requests, by
	// rank of urgency, that is within the share.
	Share  float64         `json:"share"`
	Within fairshare.Share `json:"within"`
}

// List returns the accounts at the services that are congested, by service, those that request the most
// first.
func (a *AccountShares) List() []AccountShare {
	now := a.clock()
	out := []AccountShare{}
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range a.services {
		if now >= s.congestedUntil {
			continue
		}
		fleet, grants := a.fleetRates(name, s, now), s.Grants()
		for account, rates := range fleet {
			grant := grants[account]
			out = append(out, AccountShare{
				Service: name, Account: account, Asked: rates.TotalAsked(), Granted: rates.Granted, Usual: rates.Usual,
				Share: grant.Entitled, Within: grant.Share,
			})
		}
	}
	slices.SortFunc(out, func(a, b AccountShare) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Account, b.Account))
	})
	return out
}

// recordAsk counts the request at a service, once, and determines whether it is beyond the share of its
// account there. A request that resumes a stream never is: it is part of one that has begun.
func (x *exchange) recordAsk(service string, congested bool) {
	if x.askedOf == service {
		return
	}
	x.askedOf = service
	x.share = x.f.Shares.Ask(x.snapshot.Config, service, x.accountName(), fairshare.Rank(x.route.Priority), x.work(), congested)
	x.beyond = x.share < 1 && !x.stream.resumes && x.shareDraw(service) >= x.share
}

// shareDraw returns the number from 0 to 1 by which it is drawn whether the request is within the share of its
// account. It is the same for all attempts at a request, at all routers: if each was drawn anew, callers that repeat
// at once would get more than those that wait. Requests without a retry key are drawn at random: identical ones
// would all be within the share, or none.
func (x *exchange) shareDraw(service string) float64 {
	key := x.req.RetryKey()
	if key == 0 {
		return x.f.random()
	}
	return rendezvous.Fraction(rendezvous.Score(key, rendezvous.ID(service)))
}

// recordShareGrant counts the request at the service that it is sent to.
func (x *exchange) recordShareGrant(service string) {
	x.f.Shares.Grant(service, x.accountName(), x.work())
}

// work returns the work of the request in the unit of fair shares.
func (x *exchange) work() float64 { return float64(max(x.req.Cost(), 1)) }
