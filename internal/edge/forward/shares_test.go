package forward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/fairshare"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/stretchr/testify/require"
)

func configOf(accounts ...string) *catalog.Config {
	var c catalog.Config
	for _, name := range accounts {
		c.Accounts = append(c.Accounts, catalog.Account{Name: name, Keys: []string{name}})
	}
	return catalog.NewConfig(c)
}

func fleetRates(asked, granted, usual float64) fairshare.Rates {
	return fairshare.Rates{Asked: [fairshare.Ranks]float64{asked}, Granted: granted, Usual: usual}
}

// Guards against shares where the configuration asks for none, and while a service has room.
func TestSharesNeedAccountsAndCongestion(t *testing.T) {
	now := time.Minute
	others := feed.AccountRates{{Service: "llm", Account: "a"}: fleetRates(9000, 100, 100), {Service: "llm", Account: "b"}: fleetRates(100, 100, 100)}
	shares := NewAccountShares(func() time.Duration { return now }, func() feed.AccountRates { return others })
	ask := func(c *catalog.Config, congested bool) float64 {
		now += 100 * time.Millisecond
		return shares.Ask(c, "llm", "a", 0, 1, congested)
	}
	require.Equal(t, 1.0, ask(configOf("a"), true), "one account")
	require.Empty(t, shares.Report())
	require.Equal(t, 1.0, ask(configOf("a", "b"), false), "not congested")
	require.Empty(t, shares.Report())
	ask(configOf("a", "b"), true)
	now += 3 * congestedFor / 4
	require.Less(t, ask(configOf("a", "b"), true), 0.5)
	require.NotEmpty(t, shares.Report())
	now += 2 * congestedFor
	require.Equal(t, 1.0, ask(configOf("a", "b"), false), "congested no longer")
	require.Empty(t, shares.Report())
	ask(configOf("a", "b"), true)
	require.Equal(t, 1.0, ask(configOf("a"), true), "the configuration has lost an account")
}

// Guards against requests of public routes that go before those of accounts.
func TestPublicRequestsHaveTheLowestPriority(t *testing.T) {
	c := catalog.NewConfig(catalog.Config{Accounts: []catalog.Account{{Name: "a", Priority: 0}, {Name: "b", Priority: 2}}})
	priority := priorities(c)
	require.Equal(t, []int{0, 2, 2}, []int{priority("a"), priority("b"), priority("")})
}

// Guards against refusals of one account's requests beyond its share by which others are refused without
// asking for a slot, or told to wait longer.
func TestRefusalsBeyondShareConcernTheirAccountOnly(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		hot := tr.newExchange(context.Background())
		hot.account, hot.beyond = &catalog.Account{Name: "hot"}, true
		calm := tr.newExchange(context.Background())
		calm.account = &catalog.Account{Name: "calm"}
		for range 100 {
			hot.recordGrant(hot.throttleKey("llm"), false)
		}
		now := tr.f.Clock()
		// Nine of ten draws refuse the one, and none the other.
		tr.f.throttles.random = func() float64 { return 0.9 }
		require.True(t, tr.f.throttles.shouldRefuse(hot.throttleKey("llm"), now))
		tr.f.throttles.random = func() float64 { return 0 }
		require.False(t, tr.f.throttles.shouldRefuse(calm.throttleKey("llm"), now))

		hot.overloadRefusal("llm")
		time.Sleep(1500 * time.Millisecond)
		refusal := hot.overloadRefusal("llm")
		require.Equal(t, ReasonBeyondShare, refusal.Reason)
		require.Greater(t, refusal.RetryAfter, time.Second, "the account has been refused for long")
		refusal = calm.overloadRefusal("llm")
		require.Equal(t, ReasonOverload, refusal.Reason)
		require.Less(t, refusal.RetryAfter, time.Second, "the other one only now")
		require.False(t, tr.f.overloads.ended("llm", tr.f.Clock()))
	})
}

// Guards against a marked request that takes the last slot that another router's gate could give, and
// against one that loses its mark on the way to the owner.
func TestMarkReachesTheGate(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		tr.setOtherLoads(62)
		x := tr.newExchange(context.Background())
		x.account, x.beyond, x.askedOf = &catalog.Account{Name: "hot"}, true, "llm"
		x.deadline = x.started + 50*time.Millisecond
		_, refusal := x.chooseFirst(nil)
		require.NotNil(t, refusal)
		y := tr.newExchange(context.Background())
		y.account, y.askedOf = &catalog.Account{Name: "calm"}, "llm"
		choice, refusal := y.chooseFirst(nil)
		require.Nil(t, refusal)
		tr.f.Engines.Done(choice)
	})
}

// Guards against streams that are resumed and count as beyond the share that they began within.
func TestResumedStreamIsNeverBeyondShare(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		x := tr.newExchange(context.Background())
		x.snapshot = &catalog.Snapshot{Config: configOf("a", "b"), Engines: tr.snapshot.Engines}
		x.account = &catalog.Account{Name: "a"}
		x.stream.resumes = true
		tr.f.random = func() float64 { return 1 }
		tr.f.Shares = NewAccountShares(tr.f.Clock, func() feed.AccountRates {
			return feed.AccountRates{{Service: "llm", Account: "a"}: fleetRates(9000, 10, 0), {Service: "llm", Account: "b"}: fleetRates(100, 100, 0)}
		})
		x.recordAsk("llm", true)
		time.Sleep(2 * divideInterval)
		x.askedOf = ""
		x.recordAsk("llm", true)
		require.Less(t, x.share, 1.0)
		require.False(t, x.beyond)
		x.stream.resumes, x.askedOf = false, ""
		x.recordAsk("llm", true)
		require.True(t, x.beyond)
	})
}

// Guards against callers that get more than their account's share by repeating at once: each attempt was drawn anew.
func TestAttemptsAtARequestShareOneDraw(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		draws, within := make(map[float64]bool), 0
		const requests = 1000
		for i := range requests {
			x := tr.newExchange(context.Background())
			x.req.Prompt = []Part{{ID: "system"}, {ID: fmt.Sprint("chat ", i)}}
			draw := x.shareDraw("llm")
			draws[draw] = true
			if draw < 0.3 {
				within++
			}
			again := tr.newExchange(context.Background())
			again.req.Prompt = x.req.Prompt
			require.Equal(t, draw, again.shareDraw("llm"))
		}
		require.Len(t, draws, requests)
		require.InDelta(t, 0.3*requests, within, 60, "four standard deviations")
		x := tr.newExchange(context.Background())
		x.req.Prompt = nil
		require.NotEqual(t, x.shareDraw("llm"), x.shareDraw("llm"), "nothing connects the attempts")
	})
}
