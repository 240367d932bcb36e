package model

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// hotAccount is the account that surges in the tests of shares.
const hotAccount = 1

// surgeOfOneAccount simulates an account that requests times its usual demand while all together usually
// request load of what the engines can give, and returns the counts of the surge, but for its first
// settleTime, of the other accounts and of this one.
func (s scenario) surgeOfOneAccount(seed uint64, load, times float64, mode ShareMode) (others, hot Counts, results *Results) {
	sim := NewSimulation(SimulationConfig{
		Seed: seed, Engines: s.engines, Routers: s.routers, ReportDelay: s.reportDelay, ReportInterval: 150 * time.Millisecond,
		Callers: CallerConfig{
			Classes: s.classes, Accounts: 10, Retries: 1, BurstSize: 3, TimeoutSpread: 0.15,
			LoadFactor: HotAccount(load*s.capacityFactor(), times, hotAccount, surgeFrom, surgeTo),
		},
	}, NewGated(mode))
	sim.Run(runTime)
	during := func(hot bool) Counts {
		return sim.Results.Sum(func(_ string, account int, at time.Duration) bool {
			return (account == hotAccount) == hot && at >= surgeFrom+settleTime && at < surgeTo
		})
	}
	return during(false), during(true), sim.Results
}

func (c Counts) servedShare() float64 { return float64(c.OnTime+c.Late) / float64(c.Requests) }

// Guards against an account that takes the places of the others with eight times its usual demand: its
// urgent requests went ahead of all less urgent ones.
func TestSurgeOfOneAccountDoesNotDisplaceOthers(t *testing.T) {
	for _, s := range []scenario{modelScenario(), largeModelScenario()} {
		const load = 0.8
		usual, _, _ := s.surgeOfOneAccount(1, load, 1, MarkBeyond)
		before, hotBefore, _ := s.surgeOfOneAccount(1, load, 8, NoShares)
		got, hot, results := s.surgeOfOneAccount(1, load, 8, MarkBeyond)
		require.Greater(t, got.servedShare(), usual.servedShare()-0.02, s.name)
		require.Less(t, before.servedShare(), 0.7, "without shares the others lose their places: %s", s.name)
		require.Greater(t, got.EarnedValue+hot.EarnedValue, 0.93*(before.EarnedValue+hotBefore.EarnedValue), "shares waste engines: %s", s.name)
		requireKindsInOrder(t, s, results)
	}
}

// Guards against shares that cost plain services what their gates' fair queues gave the accounts before.
func TestSurgeOfOneAccountAtPlainEngines(t *testing.T) {
	for _, s := range []scenario{plainScenario(), largePlainScenario()} {
		for _, load := range []float64{0.8, 1} {
			var before, hotBefore, got, hot Counts
			for seed := range uint64(4) {
				others, one, _ := s.surgeOfOneAccount(seed+1, load, 8, NoShares)
				before.add(others)
				hotBefore.add(one)
				others, one, _ = s.surgeOfOneAccount(seed+1, load, 8, MarkBeyond)
				got.add(others)
				hot.add(one)
			}
			require.Greater(t, got.EarnedShare(), before.EarnedShare()-0.01, "%s, load %.1f", s.name, load)
			require.Greater(t, got.EarnedValue+hot.EarnedValue, 0.95*(before.EarnedValue+hotBefore.EarnedValue), "%s, load %.1f", s.name, load)
		}
	}
}

// repeatingAccounts is how many of ten accounts have callers that repeat at once.
const repeatingAccounts = 4

// servedWithRepeats simulates ten equal accounts at three times what the engines can give, while the callers of
// some repeat refused requests at once and three callers in ten leave, and returns the counts of those that repeat,
// of the others, and of all in the same load when nobody repeats or leaves.
func (s scenario) servedWithRepeats(mode ShareMode) (repeating, patient, calm Counts) {
	run := func(repeats func(int) bool, leaveShare float64) func(pick func(account int) bool) Counts {
		sim := NewSimulation(SimulationConfig{
			Seed: 1, Engines: s.engines, Routers: s.routers, ReportDelay: s.reportDelay, ReportInterval: 150 * time.Millisecond,
			Callers: CallerConfig{
				Classes: s.classes, Accounts: 10, EqualAccounts: true, Retries: 1, BurstSize: 3, TimeoutSpread: 0.15,
				Repeats: repeats, LeaveShare: leaveShare,
				LoadFactor: func(now time.Duration, _, _ int) float64 {
					if now < surgeFrom || now >= surgeTo {
						return 0.6 * s.capacityFactor()
					}
					return 3 * s.capacityFactor()
				},
			},
		}, NewGated(mode))
		sim.Run(runTime)
		return func(pick func(account int) bool) Counts {
			return sim.Results.Sum(func(_ string, account int, at time.Duration) bool {
				return pick(account) && at >= surgeFrom+settleTime && at < surgeTo
			})
		}
	}
	isRepeating := func(account int) bool { return account < repeatingAccounts }
	hard := run(isRepeating, 0.3)
	calm = run(nil, 0)(func(int) bool { return true })
	return hard(isRepeating), hard(func(account int) bool { return !isRepeating(account) }), calm
}

// Guards against callers that get more by repeating at once than those that retry when they are told to, and against
// engines that do less for all then.
func TestRepeatingAtOnceGainsNothing(t *testing.T) {
	t.Parallel()
	for _, s := range []scenario{modelScenario(), plainScenario()} {
		repeating, patient, calm := s.servedWithRepeats(MarkBeyond)
		assert.GreaterOrEqual(t, patient.EarnedShare(), repeating.EarnedShare()-0.02, s.name)
		assert.Greater(t, repeating.EarnedValue+patient.EarnedValue, 0.9*calm.EarnedValue, s.name)
	}
}

// requireKindsInOrder requires that no kind of request is served more often than a more urgent one by
// over 5 in 100.
func requireKindsInOrder(t *testing.T, s scenario, results *Results) {
	least := 1.0
	for _, class := range s.classes {
		counts := results.Between(class.Name, surgeFrom+settleTime, surgeTo)
		require.Less(t, counts.servedShare(), least+0.05, "%s, %s", s.name, class.Name)
		least = min(least, counts.servedShare())
	}
}

// earnedByUnequalAccounts simulates four accounts that usually request the same, and then 1:2:4:8 of three
// times what the engines can give, and returns the value that each earned.
func (s scenario) earnedByUnequalAccounts(mode ShareMode) (earned []float64) {
	const accounts, times = 4, 3
	sim := NewSimulation(SimulationConfig{
		Seed: 1, Engines: s.engines, Routers: s.routers, ReportDelay: s.reportDelay, ReportInterval: 150 * time.Millisecond,
		Callers: CallerConfig{
			Classes: s.classes, Accounts: accounts, EqualAccounts: true, Retries: 1, BurstSize: 3, TimeoutSpread: 0.15,
			LoadFactor: func(now time.Duration, _, account int) float64 {
				if now < surgeFrom || now >= surgeTo {
					return 0.6 * s.capacityFactor()
				}
				return times * s.capacityFactor() * accounts * float64(int(1)<<account) / 15
			},
		},
	}, NewGated(mode))
	sim.Run(runTime)
	for account := range accounts {
		counts := sim.Results.Sum(func(_ string, of int, at time.Duration) bool {
			return of == account && at >= surgeFrom+settleTime && at < surgeTo
		})
		earned = append(earned, counts.EarnedValue)
	}
	return earned
}

// Guards against accounts that get more the more they request. What their shares are worth differs with
// the kinds that fit into them.
func TestUnequalAccountsEarnAlike(t *testing.T) {
	s := modelScenario()
	before := s.earnedByUnequalAccounts(NoShares)
	require.Greater(t, before[3], 2.5*before[1], "without shares")
	got := s.earnedByUnequalAccounts(MarkBeyond)
	require.Less(t, got[3], 1.5*got[1])
	require.Greater(t, got[0], 0.95*before[0])
}
