package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// withMemory sets the memory of the engines of the test's service.
func (tr *testRouter) withMemory(tokens int) {
	tr.snapshot.Config = catalog.NewConfig(catalog.Config{Version: 1, Services: []catalog.Service{{Name: "llm", Slots: 64, CacheTokens: tokens}}})
}

// Guards against engines that are sent long prompts until their slots are full: while their memory is half
// full, requests ask gates, and gates grant what fits.
func TestLongPromptsAskGatesAndGetWhatFits(t *testing.T) {
	const engines, prompt = 2, 8500
	sent := func(memory int) (n int, withPermits int) {
		withTestRouter(t, engines, func(tr *testRouter) {
			tr.withMemory(memory)
			for i := range 40 {
				x := tr.newExchange(context.Background())
				// No two requests share a part.
				x.req.Prompt[0].ID = fmt.Sprint("dossier-", i)
				x.req.ID = fmt.Sprint("request-", i)
				x.deadline = x.started + time.Hour
				choice, refusal := x.chooseFirst(nil)
				if refusal != nil {
					require.Equal(t, ReasonOverload, refusal.Reason)
					continue
				}
				n++
				if choice.permit != nil {
					withPermits++
				}
			}
		})
		return n, withPermits
	}
	n, withPermits := sent(10 * prompt)
	require.LessOrEqual(t, n, engines*10)
	require.GreaterOrEqual(t, n, engines*9)
	require.Positive(t, withPermits)
	n, withPermits = sent(1000 * prompt)
	require.Equal(t, 40, n)
	require.Zero(t, withPermits, "memory is sufficient")
	n, withPermits = sent(0)
	require.Equal(t, 40, n)
	require.Zero(t, withPermits, "the memory is not known")
}

// Guards against a prompt that no engine has memory for and that engine after engine refuses until the caller's
// deadline.
func TestPromptLargerThanAnyMemoryIsRefusedAtOnce(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		x := tr.newExchange(context.Background())
		tr.withMemory(x.req.PromptTokens - 1)
		refusal := x.checkSize()
		require.NotNil(t, refusal)
		require.Equal(t, http.StatusRequestEntityTooLarge, refusal.Status)
		require.Equal(t, ReasonPromptTooLarge, refusal.Reason)
		tr.withMemory(x.req.PromptTokens)
		require.Nil(t, x.checkSize())
		tr.withMemory(0)
		require.Nil(t, x.checkSize(), "the memory is not known")
	})
}

// Guards against lengths that are learned from a part of a stream.
func TestOutputsOfResumedStreamsAreNotLearned(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		x := tr.newExchange(context.Background())
		x.req.LengthHint = 70
		require.Equal(t, 50, x.need().Output, "the most that the caller allows")
		x.req.OutputTokens = 10_000
		for range 50 {
			x.recordOutput(10)
		}
		learned := x.need().Output
		require.InDelta(t, 70, learned, 7, "hints are right at the median")
		x.stream.resumes = true
		for range 500 {
			x.recordOutput(1)
		}
		x.stream.resumes, x.resumed = false, true
		x.recordOutput(1)
		require.Equal(t, learned, x.need().Output)
	})
}

// Guards against events that are counted twice, or not, when reads split them.
func TestEventsAreCounted(t *testing.T) {
	var s eventSplitter
	for _, part := range []string{"id: 1\ndata: a\n", "\nid: 2\n\nid", ": 3\n\n", "id: 4\n"} {
		s.add([]byte(part))
	}
	require.Equal(t, 3, s.events)
}
