package run_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/report"
	"damaskrouter.example/damaskrouter/internal/lab/bench/run"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/workloads"
	"github.com/stretchr/testify/require"
)

func smallWorkload(t *testing.T) *workload.Workload {
	data, err := workloads.Files.ReadFile(workloads.Demo)
	require.NoError(t, err)
	w, err := workload.Parse(workloads.Demo, data)
	require.NoError(t, err)
	w.Routers = 2
	w.Engines.Count = 3
	w.Chats.Open = 12
	w.Chats.Ramp = 0
	w.Surge = workload.Surge{}
	w.Churn = workload.Churn{Period: 2 * time.Second, Absent: time.Second, Kinds: []string{"leave"}}
	return w
}

// TestSmallRunUpholdsGuarantees runs a fleet with one planned stop of an engine
// and checks counts only, no latencies.
func TestSmallRunUpholdsGuarantees(t *testing.T) {
	r, err := run.Run(t.Context(), run.Options{Workload: smallWorkload(t), Strategy: run.Picker, Seed: 1, Length: 5 * time.Second})
	require.NoError(t, err)
	require.True(t, r.Kept(), "%+v", r.Counts)
	require.Zero(t, r.Interrupted, "a planned stop must not interrupt requests: %v", r.Samples)
	require.Positive(t, r.Returning)
	require.Positive(t, r.CacheReuse)
	require.LessOrEqual(t, r.CacheReuse, r.ReuseBound)
	require.Positive(t, r.ControlBytes)
	require.Positive(t, r.ControlUpstream.Status)
	require.Positive(t, r.ControlUpstream.Events)
	require.Positive(t, r.Churn["leave"])

	file := filepath.Join(t.TempDir(), "report.html")
	require.NoError(t, report.HTML(file, []*run.Result{r}))
	page, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(page), "<svg")
}

func TestRunRejectsUnknownStrategy(t *testing.T) {
	_, err := run.Run(t.Context(), run.Options{Workload: smallWorkload(t), Strategy: "magic"})
	require.True(t, run.ErrStrategy.Has(err))
}
