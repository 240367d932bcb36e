package forward

import (
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/health"
	"github.com/stretchr/testify/require"
)

// ejectionInterval is how often ejections are reviewed.
const ejectionInterval = 500 * time.Millisecond

// stall makes an engine fail many requests at once, as after seconds without an answer: own ones of this
// router, and others that other routers report.
func (p *pausedBalancer) stall(engine string, own, others int, reports map[string]feed.EngineLoad) {
	for range own {
		p.RecordOutcome(engine, false)
	}
	reports[engine] = feed.EngineLoad{Evidence: health.Evidence{Bad: float64(others)}}
	p.EjectionChanges(p.snapshot)
}

// atOnce returns how many of n concurrent requests are sent to an engine.
func (p *pausedBalancer) atOnce(t *testing.T, n int, engine string) (out int) {
	for range n {
		choice, ok := p.pick(Query{})
		require.True(t, ok)
		defer p.Done(choice)
		if choice.Engine.ID == engine {
			out++
		}
	}
	return out
}

// elapse lets the time pass until the next review of ejections.
func (p *pausedBalancer) elapse(reports map[string]feed.EngineLoad) {
	p.now += ejectionInterval
	for id, load := range reports {
		load.Evidence = load.Evidence.After(ejectionInterval)
		reports[id] = load
	}
	p.EjectionChanges(p.snapshot)
}

// Guards against an engine that is left without requests long after it has recovered, because the
// duration of its ejection grows with the number of failures.
func TestEjectedEngineIsTriedWithinSeconds(t *testing.T) {
	p := newPausedBalancer(3)
	reports := map[string]feed.EngineLoad{}
	p.otherLoads = func() map[string]feed.EngineLoad { return reports }
	p.stall("e0", 38, 100, reports)
	failedAt := p.now
	for p.atOnce(t, 30, "e0") == 0 {
		p.elapse(reports)
	}
	require.Greater(t, p.now-failedAt, 2*time.Second)
	require.Less(t, p.now-failedAt, 4*time.Second)
}

// Guards against a burst of requests to an engine that has not recovered: until one succeeds, each router
// sends single ones.
func TestEjectedEngineIsTriedBySingleRequests(t *testing.T) {
	p := newPausedBalancer(3)
	reports := map[string]feed.EngineLoad{}
	p.otherLoads = func() map[string]feed.EngineLoad { return reports }
	p.stall("e0", 38, 100, reports)
	failures := 0
	for range 60 {
		p.elapse(reports)
		tried := p.atOnce(t, 30, "e0")
		require.LessOrEqual(t, tried, 1)
		for range tried {
			p.RecordOutcome("e0", false)
		}
		failures += tried
	}
	require.Positive(t, failures)
	require.Less(t, failures, 35)
	p.RecordOutcome("e0", true)
	for p.atOnce(t, 30, "e0") <= 1 {
		p.elapse(reports)
	}
}

// Guards against a log in which an engine that has restarted stays ejected.
func TestRestartEndsEjectionVisibly(t *testing.T) {
	p := newPausedBalancer(3)
	reports := map[string]feed.EngineLoad{}
	p.otherLoads = func() map[string]feed.EngineLoad { return reports }
	p.stall("e0", 38, 0, reports)
	require.Zero(t, p.atOnce(t, 30, "e0"))
	u := p.engine("e0")
	u.Born, u.Revision = 1, p.snapshot.Engines.Upto+1
	p.snapshot, _ = p.snapshot.WithEngines(catalog.EngineUpdate{Since: p.snapshot.Engines.Upto, Upto: u.Revision, Present: []catalog.Engine{u}}, p.now, time.Hour, time.Hour)
	changes := p.EjectionChanges(p.snapshot)
	require.Len(t, changes, 1)
	require.Equal(t, "e0", changes[0].Engine)
	require.False(t, changes[0].Ejected)
	require.Greater(t, p.atOnce(t, 30, "e0"), 1)
}
