package outlier

import (
	"testing"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_700_000_000, 0)

const ms = time.Millisecond

// newPool returns a detector with engines 1 to n.
func newPool(n int) *Detector {
	d := NewDetector(DefaultConfig())
	for id := range uint64(n) {
		d.Join(id+1, epoch)
	}
	return d
}

// step is an observation that observeStreams repeats between healthy streams.
type step struct {
	engine   uint64
	kind     Kind
	latency  time.Duration
	expected time.Duration
}

// observeStreams observes 40 healthy streams of each of n engines, the steps after each round of
// one stream per engine, and evaluates the pool.
func observeStreams(d *Detector, n int, steps ...step) (all []Ejection) {
	for range 40 {
		for id := range uint64(n) {
			d.Observe(Observation{Engine: id + 1, Time: epoch, Kind: FirstToken, Latency: 50 * ms})
			d.Observe(Observation{Engine: id + 1, Time: epoch, Kind: Success})
		}
		for _, s := range steps {
			o := Observation{s.engine, epoch, s.kind, s.latency, s.expected}
			if ejection := d.Observe(o); ejection != nil {
				all = append(all, *ejection)
			}
		}
	}
	return append(all, d.Evaluate(epoch)...)
}

// Guards against callers that wait at an engine whose probes succeed: only the streams show that it
// fails, and engines that are no worse than their pool must stay.
func TestOnlyOutliersAreEjected(t *testing.T) {
	stall := step{2, Stall, 2 * time.Second, 0}
	cases := map[string]struct {
		n     int
		steps []step
		want  Cause
	}{
		"healthy pool":                   {5, nil, 0},
		"all streams starve":             {5, []step{stall, stall, stall, stall, stall}, Consecutive},
		"every third stream starves":     {5, []step{stall, {engine: 2}}, Failing},
		"every fifth stream starves":     {5, []step{stall, {engine: 2}, {engine: 2}, {engine: 2}}, Slow},
		"every other stream breaks":      {5, []step{{engine: 2, kind: Failure}}, Failing},
		"late first tokens":              {5, []step{{2, FirstToken, time.Second, 0}}, Slow},
		"long prompts, as predicted":     {5, []step{{2, FirstToken, 6 * time.Second, 6 * time.Second}}, 0},
		"late, but below the floor":      {5, []step{{2, FirstToken, 250 * ms, 0}}, 0},
		"too few peers to compare":       {2, []step{{2, FirstToken, time.Second, 0}}, 0},
		"the whole pool fails":           {3, []step{{engine: 1, kind: Failure}, {engine: 2, kind: Failure}, {engine: 3, kind: Failure}}, 0},
		"the only engine is not ejected": {1, []step{stall, stall, stall, stall, stall}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := newPool(c.n)
			got := observeStreams(d, c.n, c.steps...)
			require.Equal(t, c.want != 0, d.Ejected(2, epoch) || d.Ejected(1, epoch))
			if c.want == 0 {
				require.Empty(t, got)
				return
			}
			until := epoch.Add(DefaultBaseEjection)
			require.Equal(t, []Ejection{{2, c.want, until, 1}}, got, got[0].Cause.String())
			require.Zero(t, d.Ramp(2, epoch))
			require.Empty(t, d.Evaluate(until), "old observations must not eject a returning engine")
		})
	}
}

func fail(d *Detector, id uint64, now time.Time) (ejection *Ejection) {
	for range DefaultConsecutive {
		ejection = d.Observe(Observation{Engine: id, Time: now, Kind: Failure})
	}
	return ejection
}

func TestRepeatedEjectionsLastLongerUntilForgotten(t *testing.T) {
	d, now := newPool(4), epoch
	for i, want := range []time.Duration{10, 20, 40, 80, 160, 300, 300} {
		ejection := fail(d, 1, now)
		require.Equal(t, &Ejection{1, Consecutive, now.Add(want * time.Second), i + 1}, ejection)
		now = ejection.Until
		require.False(t, d.Ejected(1, now))
	}
	for range 7 {
		now = now.Add(DefaultForgetAfter)
		d.Evaluate(now)
	}
	require.Equal(t, 1, fail(d, 1, now).Count)
}

func TestRampRisesInSteps(t *testing.T) {
	d := newPool(4)
	until := fail(d, 1, epoch).Until
	for after, want := range map[time.Duration]float64{
		-time.Nanosecond: 0, 0: 0.2, 5 * time.Second: 0.2, 6 * time.Second: 0.4,
		29 * time.Second: 1, 30 * time.Second: 1, time.Hour: 1,
	} {
		require.Equal(t, want, d.engines[1].ramp.At(until.Add(after)), after.String())
	}
	require.Equal(t, 1.0, Ramp{}.At(epoch))
}

// Guards against a flapping engine that gets its full share at each return and fails again, or ends
// its ejection by leaving: a returning engine must not be treated as a new one.
func TestFlappingEngineReturnsInSteps(t *testing.T) {
	d, now := newPool(4), epoch
	require.Equal(t, 1.0, d.Ramp(1, now))
	for _, length := range []time.Duration{30, 60, 120, 240, 300, 300} {
		d.Leave(1, now)
		now = now.Add(time.Second)
		d.Join(1, now)
		require.Equal(t, 0.2, d.Ramp(1, now))
		require.Less(t, d.Ramp(1, now.Add(length*time.Second*7/10)), 1.0)
		require.Equal(t, 1.0, d.Ramp(1, now.Add(length*time.Second)))
	}
	until := fail(d, 1, now).Until
	d.Leave(1, now)
	d.Join(1, now)
	require.True(t, d.Ejected(1, until.Add(-1)), "leaving must not end an ejection")
	d.Leave(1, now)
	now = now.Add(DefaultForgetAfter)
	d.Evaluate(now)
	d.Join(1, now)
	require.Equal(t, 1.0, d.Ramp(1, now), "forgotten")
}

// Guards against a network or site outage that ejects the whole pool: the cap must hold while
// engines fail in any order and others join and leave.
func TestEjectedShareStaysWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.MaxEjected = rapid.Float64Range(0, 1).Draw(t, "cap")
		d, now := NewDetector(cfg), epoch
		members := map[uint64]bool{}
		for range rapid.IntRange(0, 120).Draw(t, "events") {
			id := rapid.Uint64Range(1, 12).Draw(t, "id")
			now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "pause")) * time.Second)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				d.Join(id, now)
				members[id] = true
			case 2:
				d.Leave(id, now)
				delete(members, id)
			case 3, 4:
				fail(d, id, now)
			case 5:
				d.Evaluate(now)
			}
			ejected := 0
			for id := range members {
				if d.Ejected(id, now) {
					ejected++
				}
			}
			n := len(members)
			require.LessOrEqual(t, ejected, max(int(cfg.MaxEjected*float64(n)), 1))
			require.False(t, n > 0 && ejected == n, "one engine must stay in service")
		}
	})
}

func TestSuppressedEjectionsAreCounted(t *testing.T) {
	d := newPool(9)
	for id := range uint64(9) {
		fail(d, id+1, epoch)
	}
	_, ejected := d.count(epoch)
	require.Equal(t, []int{2, 7}, []int{ejected, d.Suppressed()})
}
