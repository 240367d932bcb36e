package feed

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/fairshare"
	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func accountRates(asked float64) fairshare.Rates {
	return fairshare.Rates{Asked: [fairshare.Ranks]float64{asked}, Granted: asked, Usual: asked}
}

var llmAccount = AccountKey{Service: "llm", Account: "a"}

// Guards against rates that are lost, counted twice or stay for good on their way along a tree of
// routers.
func TestAccountRatesAddUpAlongTheTree(t *testing.T) {
	own := func(asked float64) func() AccountRates {
		return func() AccountRates { return AccountRates{llmAccount: accountRates(asked)} }
	}
	newLoads := func(asked float64) *Loads {
		l := NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{} })
		l.OwnAccounts = own(asked)
		return l
	}
	parent, child, grandchild := newLoads(64), newLoads(32), newLoads(16)
	now := time.Minute
	child.FromChild("grandchild", grandchild.Subtree(now), now)
	parent.FromChild("child", child.Subtree(now), now)
	require.Equal(t, accountRates(48), parent.OtherAccounts()[llmAccount])
	child.FromParent(parent.WithoutChild("child", now), now)
	require.Equal(t, accountRates(80), child.OtherAccounts()[llmAccount])
	grandchild.FromParent(child.WithoutChild("grandchild", now), now)
	require.Equal(t, accountRates(96), grandchild.OtherAccounts()[llmAccount])
	parent.RemoveChild("child", now)
	require.Empty(t, parent.OtherAccounts())
	child.Expire(now + 2*loadLifetime)
	require.Empty(t, child.OtherAccounts(), "rates of routers that are gone expire with their loads")
}

// Guards against rates at the receiver that differ from the sender's after lost reports and restarts.
func TestAccountRatesFollowChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender reportState
		var receiver receivedReport
		have := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			present := AccountRates{}
			for _, account := range []string{"a", "b", "c"} {
				if asked := rapid.IntRange(0, 5).Draw(t, "asked"); asked > 0 {
					present[AccountKey{Service: "llm", Account: account}] = accountRates(float64(asked * asked))
				}
			}
			report := sender.next(have, LoadReport{Engines: map[string]EngineLoad{}, Accounts: present}, 0)
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				continue // The report is lost.
			case 1:
				receiver, have = receivedReport{}, 0
			}
			if !receiver.apply(report, 0) {
				have = 0
				continue
			}
			have = report.Seq
			require.Len(t, receiver.report.Accounts, len(present))
			for key, rates := range present {
				require.False(t, rates.Differ(receiver.report.Accounts[key]), "%v", key)
			}
		}
	})
}

// Guards against reports that routers of an earlier release can't read, or that take bytes while no
// service is congested.
func TestAccountRatesBesideEarlierRelease(t *testing.T) {
	type earlierReport struct {
		Base, Seq uint64
		Engines   map[string]EngineLoad
	}
	encode := func(v any) []byte {
		var buf bytes.Buffer
		require.NoError(t, gob.NewEncoder(&buf).Encode(v))
		return buf.Bytes()
	}
	engines := map[string]EngineLoad{"e": {InFlight: 3}}
	full := LoadReport{Seq: 1, Engines: engines, Accounts: AccountRates{llmAccount: accountRates(64)}}
	var earlier earlierReport
	require.NoError(t, gob.NewDecoder(bytes.NewReader(encode(full))).Decode(&earlier))
	require.Equal(t, engines, earlier.Engines)
	var now LoadReport
	require.NoError(t, gob.NewDecoder(bytes.NewReader(encode(earlierReport{Seq: 1, Engines: engines}))).Decode(&now))
	require.Equal(t, LoadReport{Seq: 1, Engines: engines}, now)
	calm := NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{} })
	calm.OwnAccounts = func() AccountRates { return AccountRates{} }
	var state reportState
	first := state.next(0, calm.Subtree(0), 0)
	require.Empty(t, state.next(first.Seq, calm.Subtree(0), 0).Accounts)
}

// Guards against proofs of an engine's start that are lost as reports are added up, or reported again
// whenever one more router has one.
func TestProofsOfStartsAddUp(t *testing.T) {
	one := EngineLoad{Proven: 1}
	two := one.add(one)
	require.Equal(t, 2, two.Proven)
	require.False(t, two.add(one).needsReport(two))
	require.True(t, two.needsReport(one))
	require.Equal(t, int64(9), EngineLoad{LostBorn: 9}.add(EngineLoad{LostBorn: 4}).LostBorn)
	require.True(t, EngineLoad{LostBorn: 9}.needsReport(EngineLoad{}))
}

// BenchmarkAccountRates reports the bytes of the accounts' rates in a report: all of 24 accounts at two
// services, and those that have changed after their rates varied by a fifth.
func BenchmarkAccountRates(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	rates := func() AccountRates {
		out := make(AccountRates)
		for i := range 48 {
			r := fairshare.Rates{Granted: 900 * (1 + 0.2*rng.NormFloat64()), Usual: 1000}
			for rank := range r.Asked {
				r.Asked[rank] = 300 * (1 + 0.2*rng.NormFloat64())
			}
			out[AccountKey{Service: "assistant-llm", Account: fmt.Sprint("account-", i%24, i/24)}] = r
		}
		out.round()
		return out
	}
	var buf bytes.Buffer
	size := func(a AccountRates) float64 {
		// The first report also describes the types.
		encoder := gob.NewEncoder(&buf)
		require.NoError(b, encoder.Encode(LoadReport{}))
		buf.Reset()
		require.NoError(b, encoder.Encode(LoadReport{Accounts: a}))
		return float64(buf.Len())
	}
	for b.Loop() {
		full := rates()
		b.ReportMetric(size(full), "B/full")
		b.ReportMetric(size(rates().changesFrom(full)), "B/changes")
	}
}
