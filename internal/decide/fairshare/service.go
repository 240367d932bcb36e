package fairshare

import (
	"slices"
	"time"
)

const (
	// creditWindow is for how long an account may request its usual demand, or the mean one if that is
	// higher, beyond its share, after it has left as much unused. It covers bursts.
	creditWindow = 2 * time.Second
	// headroom is the share of the granted work that is divided. If all of it were, requests within the
	// shares would fill the engines by themselves, and wait as long as there is any wait at all.
	headroom = 0.9
	// usualSlack times its usual demand is always within an account's share: rates of a few tenths of a
	// second vary by as much. Without it requests that are refused for the marks lower the granted work,
	// so that more of them are marked, and engines stand idle.
	usualSlack = 1.25
	// shortRatio is the ratio of requested to granted work above which the usual demand is not measured.
	// It is above 1 because requests that wait are granted later than they were requested.
	shortRatio = 1.15
	// idleAfter is how long an account without requests is remembered. It keeps the usual demand of
	// an account that pauses.
	idleAfter = 5 * time.Minute
)

// Service holds the rates of the accounts of one service at one router, and the fair shares of all.
type Service struct {
	meters map[string]*accountMeter
	// roomy is the time for which the fleet was granted about what it requested, up to seenAt, and
	// short whether it is not at present.
	roomy, seenAt time.Duration
	short         bool

	grants    map[string]Grant
	credits   map[string]float64
	dividedAt time.Duration
}

type accountMeter struct {
	meter
	lastAsked time.Duration
}

// NewService returns a Service without requests.
func NewService() *Service {
	return &Service{meters: make(map[string]*accountMeter), credits: make(map[string]float64)}
}

// Ask counts a request of an account.
func (s *Service) Ask(now time.Duration, account string, rank int, work float64) {
	s.advance(now)
	m := s.meters[account]
	if m == nil {
		m = &accountMeter{}
		s.meters[account] = m
	}
	m.lastAsked = now
	m.ask(now, rank, work)
	if !s.short {
		m.countUsual(s.roomy, work)
	}
}

// Grant counts a request of an account that was sent to an engine.
func (s *Service) Grant(now time.Duration, account string, work float64) {
	if m := s.meters[account]; m != nil {
		m.grant(now, work)
	}
}

// advance moves the clock of roomy time.
func (s *Service) advance(now time.Duration) {
	if s.seenAt > 0 && now > s.seenAt && !s.short {
		s.roomy += now - s.seenAt
	}
	s.seenAt = now
}

// Ease records that the service is not congested, so that nothing is divided.
func (s *Service) Ease() {
	s.short, s.grants = false, nil
}

// Rates returns the rates of this router's requests, by account.
func (s *Service) Rates(now time.Duration) map[string]Rates {
	out := make(map[string]Rates, len(s.meters))
	for account, m := range s.meters {
		if now-m.lastAsked > idleAfter {
			delete(s.meters, account)
			continue
		}
		out[account] = m.rates(now, s.roomy)
	}
	return out
}

// Update divides the granted work of the fleet among the accounts, given the rates of the whole fleet
// and the priorities of the accounts.
func (s *Service) Update(now time.Duration, fleet map[string]Rates, priority func(account string) int) {
	accounts := make([]string, 0, len(fleet))
	for account := range fleet {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	s.advance(now)
	capacity, asked := 0.0, 0.0
	demands := make([]Demand, len(accounts))
	for i, account := range accounts {
		rates := fleet[account]
		capacity += rates.Granted
		asked += rates.TotalAsked()
		demands[i] = Demand{Account: account, Priority: priority(account), Weight: rates.Usual, Asked: rates.Asked}
	}
	s.short = asked > shortRatio*capacity
	elapsed := min(now-s.dividedAt, creditWindow)
	s.dividedAt = now
	weights := knownWeights(demands)
	grants := divide(headroom*capacity, demands, weights)
	mean := meanOf(weights)
	s.grants = make(map[string]Grant, len(accounts))
	credits := make(map[string]float64, len(accounts))
	for i, d := range demands {
		grant := d.withUsual(grants[i])
		credits[d.Account] = s.creditAfter(elapsed, d, grant, max(weights[i], mean))
		if credits[d.Account] > 0 {
			grant.Share = whole
		}
		s.grants[d.Account] = grant
	}
	s.credits = credits
}

func meanOf(values []float64) (mean float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	return mean
}

// withUsual returns the grant, raised to usualSlack times the usual demand.
func (d Demand) withUsual(grant Grant) Grant {
	usual := usualSlack * d.Weight
	if usual <= grant.Work {
		return grant
	}
	work := min(usual, d.total())
	return Grant{Work: work, Entitled: max(grant.Entitled, usual), Share: d.covered(work)}
}

// creditAfter returns the credit of an account after a time in which it had a grant: unused share adds
// to it, and demand beyond the share uses it up.
func (s *Service) creditAfter(elapsed time.Duration, d Demand, grant Grant, usual float64) float64 {
	most := creditWindow.Seconds() * usual
	credit, known := s.credits[d.Account]
	if !known {
		return most
	}
	credit += (max(grant.Entitled, grant.Work) - d.total()) * elapsed.Seconds()
	return min(max(credit, 0), most)
}

// ShareOf returns the part of an account's requests of a rank that is within its share. It is 1 for
// accounts that the last Update did not know.
func (s *Service) ShareOf(account string, rank int) float64 {
	if grant, ok := s.grants[account]; ok {
		return grant.Share[rank]
	}
	return 1
}

// Grants returns the fair shares as of the last Update, by account. The map must not be modified.
func (s *Service) Grants() map[string]Grant { return s.grants }

// UpdatedAt returns the time of the last Update.
func (s *Service) UpdatedAt() time.Duration { return s.dividedAt }
