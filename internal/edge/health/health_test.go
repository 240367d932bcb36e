package health

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Symptom: one router of many can't tell a bad engine from bad luck. Sequence:
// seven routers see one failure each. Cause handled: their evidence adds up.
func TestEvidenceOfManyRoutersCondemnsWhatOneCannot(t *testing.T) {
	var one Record
	one.Note(false, 0)
	seven := Evidence{}
	for range 7 {
		seven = seven.Add(one.At(0))
	}
	good := Evidence{Good: 10}
	require.Zero(t, Shares([]Evidence{seven, good, good})[0])
	require.Positive(t, Shares([]Evidence{one.At(0), good, good})[0])
}

// Symptom: a fault of the caller's side, or of all engines, takes all out of
// service. Cause handled: engines are compared with the rest of their service.
func TestEnginesThatFailAlikeAreAllKept(t *testing.T) {
	bad := Evidence{Good: 5, Bad: 5}
	for _, share := range Shares([]Evidence{bad, bad, bad}) {
		require.Equal(t, 1.0, share)
	}
}

// Symptom: an engine that has recovered stays out for good. Cause handled:
// evidence fades, so that it is tried again.
func TestEvidenceFades(t *testing.T) {
	var r Record
	for range 10 {
		r.Note(false, time.Second)
	}
	good := Evidence{Good: 10}
	require.Zero(t, Shares([]Evidence{r.At(time.Second), good})[0])
	later := time.Second + 6*halfLife
	require.Equal(t, 1.0, Shares([]Evidence{r.At(later), good})[0])
	require.InDelta(t, 5, r.At(time.Second+halfLife).Bad, 1e-9)
}

func TestNoEvidenceIsNoReason(t *testing.T) {
	require.Equal(t, []float64{1, 1}, Shares(make([]Evidence, 2)))
	require.Equal(t, []float64{1}, Shares([]Evidence{{Bad: 0.4}}))
}

// A clock that seems to go back does not make evidence grow.
func TestEvidenceNeverGrowsWithTime(t *testing.T) {
	e := Evidence{Good: 1, Bad: 2}
	require.Equal(t, e, e.After(-time.Second))
}
