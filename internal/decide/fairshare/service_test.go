package fairshare

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// fleet is a number of routers that divide one service, each with the rates that the others had a
// while ago, before engines that grant a fixed amount of work per second.
type fleet struct {
	rng     *rand.Rand
	routers []*Service
	// reportDelay is the age of the rates of other routers.
	reportDelay time.Duration
	history     []map[string]Rates
	capacity    float64
	now         time.Duration

	// tokens is the work that engines can take at once, and waiting holds the requests that wait for
	// it, unmarked ones first. unmarked and granted count work by account since the last reset.
	tokens                   float64
	waiting                  [2][]request
	asked, unmarked, granted map[string]float64
}

const (
	fleetStep = 5 * time.Millisecond
	// maxWait is how long a request waits for an engine.
	maxWait = 150 * time.Millisecond
)

func newFleet(routers int, capacity float64, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), capacity: capacity, reportDelay: 150 * time.Millisecond}
	for range routers {
		f.routers = append(f.routers, NewService())
	}
	f.reset()
	return f
}

func (f *fleet) reset() {
	f.asked, f.unmarked, f.granted = map[string]float64{}, map[string]float64{}, map[string]float64{}
}

// request is one request of an account for a unit of work.
type request struct {
	router  *Service
	account string
	rank    int
	at      time.Duration
	id      int
}

// run lets accounts request work at rates per second, for a time. The requests of each account are
// spread over the routers by a random split of its own.
func (f *fleet) run(duration time.Duration, rates map[string]float64) {
	accounts := make([]string, 0, len(rates))
	for account := range rates {
		accounts = append(accounts, account)
	}
	slices.Sort(accounts)
	for until := f.now + duration; f.now < until; f.now += fleetStep {
		f.exchange()
		for i, account := range accounts {
			for range f.arrivals(rates[account]) {
				// Each account prefers some of the routers.
				at := int(f.rng.ExpFloat64()*float64(len(f.routers))/4) + i
				f.arrive(request{router: f.routers[at%len(f.routers)], account: account, rank: f.rng.IntN(Ranks), at: f.now, id: f.rng.Int()})
			}
		}
		f.serve()
	}
}

func (f *fleet) arrive(r request) {
	r.router.Ask(f.now, r.account, r.rank, 1)
	f.asked[r.account]++
	if f.rng.Float64() >= r.router.ShareOf(r.account, r.rank) {
		f.waiting[1] = append(f.waiting[1], r)
		return
	}
	f.unmarked[r.account]++
	f.waiting[0] = append(f.waiting[0], r)
}

func (f *fleet) serve() {
	f.tokens = min(f.tokens+f.capacity*fleetStep.Seconds(), f.capacity*0.1)
	for i, queue := range f.waiting {
		queue = slices.DeleteFunc(queue, func(r request) bool { return f.now-r.at > maxWait })
		takeTurns(queue)
		n := min(int(f.tokens), len(queue))
		for _, r := range queue[:n] {
			f.granted[r.account]++
			r.router.Grant(f.now, r.account, 1)
		}
		f.tokens -= float64(n)
		f.waiting[i] = queue[n:]
	}
}

// takeTurns orders requests as a gate does: one of each account after the other.
func takeTurns(queue []request) {
	seen := map[string]int{}
	turns := make(map[request]int, len(queue))
	for _, r := range queue {
		seen[r.account]++
		turns[r] = seen[r.account]
	}
	slices.SortStableFunc(queue, func(a, b request) int { return cmp.Compare(turns[a], turns[b]) })
}

func (f *fleet) arrivals(perSecond float64) int {
	n := 0
	for t := f.rng.ExpFloat64(); t < perSecond*fleetStep.Seconds(); t += f.rng.ExpFloat64() {
		n++
	}
	return n
}

// exchange lets each router learn the others' rates of reportDelay ago, and divide.
func (f *fleet) exchange() {
	if f.now%(50*time.Millisecond) != 0 {
		return
	}
	total := map[string]Rates{}
	own := make([]map[string]Rates, len(f.routers))
	for i, r := range f.routers {
		own[i] = r.Rates(f.now)
		for account, rates := range own[i] {
			total[account] = total[account].Add(rates.Rounded())
		}
	}
	f.history = append(f.history, total)
	age := min(int(f.reportDelay/(50*time.Millisecond)), len(f.history)-1)
	known := f.history[len(f.history)-1-age]
	for _, r := range f.routers {
		r.Update(f.now, known, func(string) int { return 0 })
	}
}

func usualRates(accounts int, total float64) map[string]float64 {
	out := map[string]float64{}
	for i := range accounts {
		out[fmt.Sprint("account-", i)] = total / float64(accounts)
	}
	return out
}

// Guards against one account with eight times its usual demand that takes the others' places, at any
// number of routers. The rates that show the surge are a few tenths of a second old.
func TestSurgeOfOneAccountLeavesTheOthersTheirShare(t *testing.T) {
	for _, routers := range []int{8, 60, 295} {
		f := newFleet(routers, 2000, 1)
		rates := usualRates(10, 1800)
		f.run(4*time.Second, rates)
		rates["account-3"] *= 8
		f.run(300*time.Millisecond, rates)
		f.reset()
		f.run(700*time.Millisecond, rates)
		require.Greater(t, f.grantedToOthers("account-3"), 0.93, "%d routers, first second", routers)
		f.reset()
		f.run(4*time.Second, rates)
		require.Greater(t, f.grantedToOthers("account-3"), 0.98, "%d routers", routers)
		others := 9 * 4 * rates["account-0"]
		require.Greater(t, f.granted["account-3"], 0.85*(4*2000-others), "the account gets what is left")
	}
}

// grantedToOthers returns the granted part of the requested work of all accounts but one.
func (f *fleet) grantedToOthers(but string) float64 {
	asked, granted := 0.0, 0.0
	for account := range f.asked {
		if account != but {
			asked += f.asked[account]
			granted += f.granted[account]
		}
	}
	return granted / asked
}

// Guards against accounts that get more the more they request: four of equal usual demand request 1:2:4:8
// of three times what there is.
func TestUnequalDemandsGetEqualWork(t *testing.T) {
	for _, routers := range []int{8, 60, 295} {
		f := newFleet(routers, 2000, 2)
		f.run(4*time.Second, usualRates(4, 1600))
		f.run(3*time.Second, map[string]float64{"account-0": 400, "account-1": 800, "account-2": 1600, "account-3": 3200})
		f.reset()
		f.run(4*time.Second, map[string]float64{"account-0": 400, "account-1": 800, "account-2": 1600, "account-3": 3200})
		require.Greater(t, f.granted["account-0"], 0.95*4*400, "an account that requests less than its share gets all")
		mean := (f.granted["account-1"] + f.granted["account-2"] + f.granted["account-3"]) / 3
		for _, account := range []string{"account-1", "account-2", "account-3"} {
			require.InDelta(t, mean, f.granted[account], 0.1*mean, "%d routers, %s", routers, account)
		}
	}
}

// Guards against a share that stands idle because its account is away: an account that is alone gets
// everything.
func TestAccountAloneGetsEverything(t *testing.T) {
	f := newFleet(60, 2000, 3)
	f.run(4*time.Second, usualRates(10, 1800))
	f.run(2*time.Second, map[string]float64{"account-0": 8000})
	f.reset()
	f.run(2*time.Second, map[string]float64{"account-0": 8000})
	require.Greater(t, f.granted["account-0"], 0.97*2*2000)
}

// Guards against unmarked work that exceeds what there is for longer than the credits last, for any split
// of the demand over the routers.
func TestUnmarkedWorkIsBounded(t *testing.T) {
	for seed := range uint64(12) {
		routers := []int{8, 60, 295}[seed%3]
		f := newFleet(routers, 2000, seed+10)
		f.run(6*time.Second, usualRates(8, 1600))
		surge := map[string]float64{}
		for i := range 8 {
			surge[fmt.Sprint("account-", i)] = 200 * (1 + 9*f.rng.Float64())
		}
		f.run(3*time.Second, surge)
		f.reset()
		f.run(3*time.Second, surge)
		unmarked, granted := 0.0, 0.0
		for account := range surge {
			unmarked += f.unmarked[account]
			granted += f.granted[account]
		}
		require.Less(t, unmarked, 1.25*3*2000, "seed %d", seed)
		require.Greater(t, granted, 0.97*3*2000, "engines stand idle, seed %d", seed)
	}
}

// Guards against routers that restart during an overload and take it for the usual demand: without a
// usual demand the accounts have equal weights.
func TestSharesAreEqualWhileNoUsualDemandIsKnown(t *testing.T) {
	f := newFleet(8, 1000, 4)
	rates := map[string]float64{"a": 4000, "b": 800, "c": 800}
	f.run(2*time.Second, rates)
	f.reset()
	f.run(3*time.Second, rates)
	mean := (f.granted["a"] + f.granted["b"] + f.granted["c"]) / 3
	for account := range rates {
		require.InDelta(t, mean, f.granted[account], 0.15*mean, account)
	}
}

// Guards against the loss of a third of the routers' rates that changes the accounts' shares: only the
// ratios of the usual demands matter.
func TestLostReportsDoNotChangeShares(t *testing.T) {
	f := newFleet(60, 2000, 5)
	f.run(4*time.Second, usualRates(4, 1600))
	for i := range 20 {
		f.routers[i] = NewService()
	}
	rates := usualRates(4, 1600)
	rates["account-0"] *= 8
	f.run(time.Second, rates)
	f.reset()
	f.run(4*time.Second, rates)
	for _, account := range []string{"account-1", "account-2", "account-3"} {
		require.Greater(t, f.granted[account], 0.93*4*rates[account], account)
	}
}

// Guards against an account that pauses and returns: its first burst is within the share that it left
// unused.
func TestUnusedShareIsKeptAsCredit(t *testing.T) {
	s := NewService()
	fleet := map[string]Rates{"a": {Asked: [Ranks]float64{10}, Granted: 10, Usual: 100}, "b": {Asked: [Ranks]float64{400}, Granted: 190, Usual: 100}}
	for now := time.Duration(0); now <= 3*time.Second; now += 50 * time.Millisecond {
		s.Update(now, fleet, func(string) int { return 0 })
	}
	fleet["a"] = Rates{Asked: [Ranks]float64{300}, Granted: 100, Usual: 100}
	fleet["b"] = Rates{Asked: [Ranks]float64{400}, Granted: 100, Usual: 100}
	s.Update(3050*time.Millisecond, fleet, func(string) int { return 0 })
	require.Equal(t, 1.0, s.ShareOf("a", 0), "credit of two seconds")
	require.Less(t, s.ShareOf("b", 0), 0.5, "no credit")
	for now := 3100 * time.Millisecond; now <= 5*time.Second; now += 50 * time.Millisecond {
		s.Update(now, fleet, func(string) int { return 0 })
	}
	require.Less(t, s.ShareOf("a", 0), 0.5, "the credit is used up")
}

// Guards against accounts that stay in memory for good.
func TestIdleAccountsAreForgotten(t *testing.T) {
	s := NewService()
	s.Ask(time.Second, "a", 0, 1)
	require.Len(t, s.Rates(2*time.Second), 1)
	require.Empty(t, s.Rates(2*time.Second+idleAfter))
}

// Guards against reports of rates that barely change.
func TestRatesAreReportedWhenTheyChange(t *testing.T) {
	r := Rates{Asked: [Ranks]float64{100, 50, 0}, Granted: 120, Usual: 100}
	similar := r
	similar.Asked[0] = 110
	require.False(t, similar.Differ(r))
	other := r
	other.Asked[0] = 200
	require.True(t, other.Differ(r))
	require.True(t, r.Differ(Rates{}))
	require.Equal(t, Rates{}, Rates{Granted: minRate / 2}.Rounded())
}
