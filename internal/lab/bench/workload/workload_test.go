package workload_test

import (
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/serve/chat"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/workloads"
	"github.com/stretchr/testify/require"
)

func load(t *testing.T, file string) *workload.Workload {
	data, err := workloads.Files.ReadFile(file)
	require.NoError(t, err)
	w, err := workload.Parse(file, data)
	require.NoError(t, err)
	return w
}

func TestWorkloadFilesYieldValidConfiguration(t *testing.T) {
	entries, err := workloads.Files.ReadDir(".")
	require.NoError(t, err)
	require.NotEmpty(t, entries)
	for _, e := range entries {
		w := load(t, e.Name())
		b, err := w.Bundle(w.LoadBound)
		require.NoError(t, err)
		require.Empty(t, config.Validate(b), e.Name())
	}
}

func TestSameSeedYieldsSameChatsAndChurn(t *testing.T) {
	a, b := load(t, workloads.Demo), load(t, workloads.Demo)
	for n := range 50 {
		require.Equal(t, a.Chat(7, n), b.Chat(7, n))
	}
	require.Equal(t, a.Script(7, time.Minute), b.Script(7, time.Minute))
	require.NotEqual(t, a.Chat(7, 1).Turns, a.Chat(8, 1).Turns)
}

func TestScriptStopsNoAbsentEngine(t *testing.T) {
	w := load(t, "sebeke.yaml")
	for seed := range uint64(20) {
		absentUntil := map[int]time.Duration{}
		for _, ev := range w.Script(seed, time.Minute) {
			require.GreaterOrEqual(t, ev.At, absentUntil[ev.Engine])
			absentUntil[ev.Engine] = ev.At + ev.Absent
		}
	}
}

func TestParseRejectsUnknownKeysAndAccounts(t *testing.T) {
	data, err := workloads.Files.ReadFile(workloads.Demo)
	require.NoError(t, err)
	for from, to := range map[string]string{
		"speed: ":                   "spede: ",
		"account: applicant-portal": "account: nobody",
		"routers: 3":                "routers: 0",
		"kinds: [leave":             "kinds: [vanish",
	} {
		_, err := workload.Parse("w.yaml", []byte(strings.ReplaceAll(string(data), from, to)))
		var problems config.Problems
		require.ErrorAs(t, err, &problems, to)
	}
}

func TestTextLengthAndMark(t *testing.T) {
	for _, tokens := range []int{20, 500, 10_000} {
		text := workload.Text("[[c/1/0]]", tokens)
		require.InDelta(t, tokens, chat.EstimateTokens(text), 5)
		require.True(t, strings.HasPrefix(text, "[[c/1/0]]"))
		require.True(t, strings.HasSuffix(text, "[[c/1/0]]"))
	}
}
