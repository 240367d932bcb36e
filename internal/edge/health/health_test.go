package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a failing engine that stays in service because one router of many cannot
// distinguish it from chance: if seven routers see one failure each, the sum of their evidence
// ejects the engine.
func TestEvidenceOfManyRoutersEjectsEngineThatOneRouterCannot(t *testing.T) {
	var one Record
	one.Observe(false, 0)
	seven := Evidence{}
	for range 7 {
		seven = seven.Add(one.At(0))
	}
	good := Evidence{Good: 10}
	require.Zero(t, LoadShares([]Evidence{seven, good, good})[0])
	require.Positive(t, LoadShares([]Evidence{one.At(0), good, good})[0])
}

// Guards against ejecting all engines after a fault of the callers or of all engines: each engine
// is compared with the rest of its service.
func TestEnginesThatFailAlikeAreNotEjected(t *testing.T) {
	bad := Evidence{Good: 5, Bad: 5}
	for _, share := range LoadShares([]Evidence{bad, bad, bad}) {
		require.Equal(t, 1.0, share)
	}
}

// Guards against an engine that stays ejected after it has recovered: evidence decays, so the
// engine is tried again.
func TestEvidenceDecays(t *testing.T) {
	var r Record
	for range 10 {
		r.Observe(false, time.Second)
	}
	good := Evidence{Good: 10}
	require.Zero(t, LoadShares([]Evidence{r.At(time.Second), good})[0])
	later := time.Second + 6*halfLife
	require.Equal(t, 1.0, LoadShares([]Evidence{r.At(later), good})[0])
	require.InDelta(t, 5, r.At(time.Second+halfLife).Bad, 1e-9)
}

func TestEnginesWithLittleEvidenceGetTheirFullShare(t *testing.T) {
	require.Equal(t, []float64{1, 1}, LoadShares(make([]Evidence, 2)))
	require.Equal(t, []float64{1}, LoadShares([]Evidence{{Bad: 0.4}}))
}

// Guards against evidence that grows if the clock seems to go back.
func TestEvidenceDoesNotGrowIfClockGoesBack(t *testing.T) {
	e := Evidence{Good: 1, Bad: 2}
	require.Equal(t, e, e.After(-time.Second))
}
