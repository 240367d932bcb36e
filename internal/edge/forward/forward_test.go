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

// Symptom: a stream is cut at the end of a planned stop. Sequence: it was taken
// seconds after the router was told to stop, and lasts longer than is left. Cause
// handled: late requests are taken only if their time limit fits.
func TestDrainingRouterAcceptsOnlyRequestsThatCanFinish(t *testing.T) {
	l := &drainState{startedAt: 100 * time.Second, timeout: 7 * time.Second}
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
		require.Equal(t, tc.want, l.accepts(l.startedAt+tc.after, tc.limit), "%v %v", tc.after, tc.limit)
	}
}

// However a stream is cut into reads, only whole events come out, in order, and
// the id of the last one is known.
func TestEventSplitterEmitsOnlyCompleteEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(t, "events")
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "id: %d\ndata: piece %d\n\n", i+1, i+1)
		}
		whole := text.String()
		rest := rapid.SampledFrom([]string{"", "id: 9\nda", "data: x\n"}).Draw(t, "rest")
		input := whole + rest
		v := &eventSplitter{}
		var out strings.Builder
		for input != "" {
			k := rapid.IntRange(1, len(input)).Draw(t, "cut")
			out.Write(v.add([]byte(input[:k])))
			input = input[k:]
		}
		require.Equal(t, whole, out.String())
		require.Equal(t, rest, string(v.pending))
		if n > 0 {
			require.Equal(t, fmt.Sprint(n), v.lastID)
		}
	})
}

// Symptom: a service gets more repeated requests than the operators allow.
// Sequence: traffic is split over the routers in any way, and all repeat whenever
// they may, also right after a start at which they know no other router. Cause
// handled: each router's part is sized for all of them.
func TestFleetRetryBudgetHoldsForAnyTrafficSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(6, 90).Draw(t, "routers")
		limits := BudgetLimits{Ratio: 0.2, Slack: rapid.Float64Range(58, 216).Draw(t, "slack"), Window: 10 * time.Second}
		known := 1
		budgets := make([]*Budgets, n)
		for i := range budgets {
			budgets[i] = NewBudgets(func() BudgetLimits { return limits }, func() int { return known })
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

// A route's traffic is split by weight, prompts that share a part stay together,
// and a service with weight zero gets nothing.
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
