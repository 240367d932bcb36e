package forward

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a stream that is truncated when a draining router stops, because it was accepted
// seconds after draining began and lasts longer than the time left. Once acceptAllShare of the
// drain timeout has passed, a request is accepted only if its timeout ends before the drain does.
func TestDrainingRouterAcceptsOnlyRequestsThatCanFinish(t *testing.T) {
	drain := &drainState{startedAt: 100 * time.Second, timeout: 7 * time.Second}
	for _, tc := range []struct {
		after, limit time.Duration
		want         bool
	}{
		{0, 15 * time.Second, true},
		{2 * time.Second, 15 * time.Second, true},
		{3 * time.Second, 15 * time.Second, false},
		{3 * time.Second, time.Second, true},
		{6500 * time.Millisecond, time.Second, false},
	} {
		require.Equal(t, tc.want, drain.accepts(drain.startedAt+tc.after, tc.limit), "%v %v", tc.after, tc.limit)
	}
}

// For any split of a stream into reads, only complete events are returned, in order, and the ID of
// the last one is recorded.
func TestEventSplitterEmitsOnlyCompleteEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "events")
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i+1, i+1)
		}
		complete := text.String()
		rest := rapid.SampledFrom([]string{"", "id: 9\nda", "data: x\n"}).Draw(t, "rest")
		input := complete + rest
		splitter := &eventSplitter{}
		var out strings.Builder
		for input != "" {
			k := rapid.IntRange(1, len(input)).Draw(t, "cut")
			out.Write(splitter.add([]byte(input[:k])))
			input = input[k:]
		}
		require.Equal(t, complete, out.String())
		require.Equal(t, rest, string(splitter.pending))
		if n > 0 {
			require.Equal(t, fmt.Sprint(n), splitter.lastID)
		}
	})
}

// Guards against more retries to a service than the fleet's limit, for any split of the traffic
// over the routers, when all of them retry whenever they may. The limit must also hold after a
// simultaneous start, when no router knows any other at first: the shares follow the number of
// known routers.
func TestFleetRetryBudgetHoldsForAnyTrafficSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 90).Draw(t, "routers")
		limits := RetryBudgetLimits{Ratio: 0.2, Slack: rapid.Float64Range(58, 216).Draw(t, "slack"), Window: 10 * time.Second}
		known := 1
		budgets := make([]*RetryBudgets, n)
		for i := range budgets {
			budgets[i] = NewRetryBudgets(func() RetryBudgetLimits { return limits }, func() int { return known })
			budgets[i].RecordRequest("s", 0)
		}
		known = n
		requests, repeats := n, 0
		for ms := time.Duration(0); ms < 10000; ms += 50 {
			for _, b := range budgets {
				for range rapid.IntRange(0, 1).Draw(t, "fresh") {
					b.RecordRequest("s", ms*time.Millisecond)
					requests++
				}
				for b.Spend("s", ms*time.Millisecond) {
					repeats++
				}
			}
		}
		require.LessOrEqual(t, float64(repeats), limits.Ratio*float64(requests)+limits.Slack)
	})
}

func TestSharedPartsExcludeLastPart(t *testing.T) {
	require.Equal(t, []string{"a", "b"}, (&Request{Prompt: []Part{{"a", 1}, {"b", 2}, {"own", 3}}}).SharedParts())
	require.Equal(t, []string{"a"}, (&Request{Prompt: []Part{{"a", 1}}}).SharedParts())
	require.Empty(t, (&Request{}).SharedParts())
}

// Traffic is split by weight, prompts that share a part stay together, and a service with weight
// zero gets nothing.
func TestTrafficSplitFollowsServiceWeights(t *testing.T) {
	x := &exchange{route: &catalog.Route{Backends: []catalog.Backend{
		{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0},
	}}}
	counts := map[string]int{}
	for i := range 10000 {
		shared := []string{fmt.Sprint(i)}
		services := x.serviceOrder(shared)
		require.Equal(t, services, x.serviceOrder(shared))
		require.NotContains(t, services, "c")
		require.Len(t, services, 2)
		counts[services[0]]++
	}
	require.InDelta(t, 9000, counts["a"], 300)
}
