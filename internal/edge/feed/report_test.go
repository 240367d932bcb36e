package feed

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/health"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// BenchmarkPull measures the size of one pull under load: the loads sent by a router and those of
// the fleet sent back, while no engine is added or removed. Each router pulls once per pullWait.
// Run with -bench Pull. It reports the bytes that net/rpc sends on a connection on which the types
// were sent before.
func BenchmarkPull(b *testing.B) {
	for _, size := range []struct{ engines, rejecting int }{{9, 0}, {60, 0}, {256, 0}, {256, 85}, {850, 0}} {
		engines := size.engines
		b.Run(fmt.Sprintf("engines=%d/rejecting=%d", engines, size.rejecting), func(b *testing.B) {
			now := time.Minute
			fleet, own := newLoadedEngines(engines), newLoadedEngines(engines/10)
			fleet.rejecting, own.rejecting = size.rejecting, size.rejecting/10
			relay, args := newTestRelay(engines, func() time.Duration { return now })
			relay.Loads = NewLoads(func() map[string]EngineLoad { return map[string]EngineLoad{} })
			var sent, got bytes.Buffer
			up, down := gob.NewEncoder(&sent), gob.NewEncoder(&got)
			var childReporter reporter
			acked, have := uint64(0), uint64(0)
			pull := func() {
				var reply PullReply
				now += pullWait
				fleet.advance(pullWait, now)
				own.advance(pullWait, now)
				relay.Loads.FromParent(LoadReport{Engines: fleet.loads(now)}, now)
				args.Loads = &LoadArgs{From: "child", Have: have, Report: childReporter.report("parent", acked, engines, 0, now, func() LoadReport {
					return LoadReport{Engines: own.loads(now)}
				})}
				require.NoError(b, relay.Pull(args, &reply))
				require.NoError(b, up.Encode(args))
				require.NoError(b, down.Encode(reply))
				if args.Loads.Report != nil {
					acked = reply.Loads.Heard
				}
				if reply.Loads.Report != nil {
					have = reply.Loads.Report.Seq
				}
			}
			for range 100 {
				pull()
			}
			sent.Reset()
			got.Reset()
			for b.Loop() {
				pull()
			}
			b.ReportMetric(float64(sent.Len())/float64(b.N), "B-up/pull")
			b.ReportMetric(float64(got.Len())/float64(b.N), "B-down/pull")
		})
	}
}

// The load of an engine in the largest planned fleet: 4,900 requests a second, each of 16 s, on 850
// engines.
const (
	arrivalsPerSecond = 4900.0 / 850
	requestDuration   = 16 * time.Second
)

// loadedEngines simulates engines under load.
type loadedEngines struct {
	rng      *rand.Rand
	inFlight []int
	ends     []health.Record
	// rejecting is the number of engines that reject some requests; limits counts these.
	rejecting int
	limits    []health.Record
}

func newLoadedEngines(engines int) *loadedEngines {
	b := &loadedEngines{rng: rand.New(rand.NewPCG(1, 1)), inFlight: make([]int, engines), ends: make([]health.Record, engines), limits: make([]health.Record, engines)}
	for i := range b.inFlight {
		b.inFlight[i] = int(arrivalsPerSecond * requestDuration.Seconds())
	}
	return b
}

// advance starts and ends requests for d. Starts are simulated in steps of a millisecond.
func (b *loadedEngines) advance(d, now time.Duration) {
	perStep := arrivalsPerSecond / 1000
	ends := d.Seconds() / requestDuration.Seconds()
	for i, n := range b.inFlight {
		for range d.Milliseconds() {
			if b.rng.Float64() < perStep {
				b.inFlight[i]++
				b.limits[i].Observe(i >= b.rejecting || b.rng.IntN(2) == 0, now)
			}
		}
		for range n {
			if b.rng.Float64() < ends {
				b.inFlight[i]--
				b.ends[i].Observe(true, now)
			}
		}
	}
}

func (b *loadedEngines) loads(now time.Duration) map[string]EngineLoad {
	out := make(map[string]EngineLoad, len(b.inFlight))
	for i, n := range b.inFlight {
		load := EngineLoad{InFlight: n, Evidence: b.ends[i].At(now)}
		if i < b.rejecting {
			load.SetLimits(b.limits[i].At(now))
		}
		out[fmt.Sprintf("i-%010x", i)] = load
	}
	return out
}

// newTestRelay returns the relay of a router with engines under load, and the arguments of a pull
// by a router that sent requests to a tenth of the engines.
func newTestRelay(engines int, clock Clock) (*Relay, PullArgs) {
	board := NewBoard(clock, time.Second)
	done := make(chan struct{})
	close(done)
	relay := &Relay{
		Board: board, Loads: NewLoads(func() map[string]EngineLoad { return engineLoads(engines / 10) }), Clock: clock,
		Roster:    newFakeRoster(Peer{Name: "front-ank-a-1"}),
		Statuses:  NewStatuses(func() Status { return Status{Router: "front-ank-a-1"} }, clock),
		Suspects:  suspects.NewSet(quarantine.DefaultLimits(), clock, discardLogger()),
		StoreLost: func() bool { return false }, LostAgo: func() time.Duration { return time.Hour },
		Failures: func() []Failure { return nil }, Chain: func() []string { return []string{"front-ank-a-1", "front-ank-b-2"} },
		Done: done, Log: log.New(new(bytes.Buffer)),
	}
	set, _ := catalog.NewEngineSet().Apply(catalog.EngineUpdate{Full: true, Upto: 10}, 0)
	return relay, PullArgs{
		From: "front-ank-a-2", EnginesUpto: set.Upto, Wait: time.Millisecond,
		Loads: &LoadArgs{From: "front-ank-a-2", Report: &LoadReport{Engines: engineLoads(engines / 10)}},
	}
}

func engineLoads(n int) map[string]EngineLoad {
	out := make(map[string]EngineLoad, n)
	for i := range n {
		out[fmt.Sprintf("i-%010x", i)] = EngineLoad{InFlight: 1 + i%7, Evidence: health.Evidence{Good: 3.1 + float64(i)/7, Bad: float64(i%3) / 9}}
	}
	return out
}

// Guards against load reports that fill the links of a large fleet: with 850 engines, each pull
// carried the loads of all of them, because the interval did not depend on the size. A small fleet
// still reports with each pull.
func TestLargeReportsAreSentWithFewerPulls(t *testing.T) {
	for engines, want := range map[int]int{60: 10, 850: 3} {
		now := time.Minute
		relay, args := newTestRelay(engines, func() time.Duration { return now })
		sent := 0
		for range 10 {
			now += pullWait
			relay.Loads.FromParent(LoadReport{Engines: engineLoads(engines)}, now)
			var reply PullReply
			require.NoError(t, relay.Pull(args, &reply))
			require.NotNil(t, reply.Loads)
			if report := reply.Loads.Report; report != nil {
				sent++
				require.Len(t, report.Engines, engines)
			}
		}
		require.InDelta(t, want, sent, 1, "%d engines", engines)
	}
}

// Guards against wrong loads when reports are lost, repeated or reach a restarted router while
// loads change. A report based on another state must not be applied, and the next one must be
// complete.
func TestLostOrRepeatedReportsDoNotCorruptLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sender reportState
		var receiver receivedReport
		have := uint64(0)
		present := map[string]EngineLoad{}
		for range rapid.IntRange(1, 30).Draw(t, "reports") {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "engine")
				present[id] = EngineLoad{InFlight: rapid.IntRange(0, 9).Draw(t, "in flight")}
			}
			report := LoadReport{Engines: maps.Clone(present)}
			report.round()
			report = sender.next(have, report, 0)
			switch rapid.IntRange(0, 5).Draw(t, "fate") {
			case 0:
				continue // The report is lost.
			case 1:
				receiver, have = receivedReport{}, 0
			case 2:
				sender = reportState{}
			}
			if !receiver.apply(report, 0) {
				have = 0
				continue
			}
			have = report.Seq
			want := LoadReport{Engines: maps.Clone(present)}
			want.round()
			require.Equal(t, want.Engines, receiver.report.Engines)
		}
	})
}

// Guards against control traffic over its budget in a fleet of hundreds of engines whose loads vary
// slightly all the time. Only significant changes are reported, and each of them is.
func TestOnlySignificantChangesAreReported(t *testing.T) {
	var sender reportState
	load := func(n int, good, bad float64) map[string]EngineLoad {
		return map[string]EngineLoad{"e": {InFlight: n, Evidence: health.Evidence{Good: good, Bad: bad}}}
	}
	first := sender.next(0, LoadReport{Engines: load(100, 10, 0)}, 0)
	require.Zero(t, first.Base)
	for _, tc := range []struct {
		engines  map[string]EngineLoad
		reported bool
	}{
		{load(109, 14, 0), false},
		{load(111, 14, 0), true},
		{load(111, 14, 1), true},
		{load(111, 25, 1), true},
		{load(3, 25, 1), true},
		{load(4, 25, 1), true},
		{map[string]EngineLoad{}, true},
		{map[string]EngineLoad{}, false},
	} {
		report := sender.next(sender.seq, LoadReport{Engines: maps.Clone(tc.engines)}, 0)
		require.NotZero(t, report.Base)
		require.Equal(t, tc.reported, len(report.Engines) > 0, "%v", tc.engines)
	}
}

// Guards against counts that stay wrong: each router on the path leaves out a small change, and the
// omissions on several paths add up to a fifth of the requests of the fleet.
func TestSmallCountChangeIsReportedAfterDelay(t *testing.T) {
	var sender reportState
	load := func(n int) LoadReport { return LoadReport{Engines: map[string]EngineLoad{"e": {InFlight: n}}} }
	sender.next(0, load(100), 0)
	require.Empty(t, sender.next(sender.seq, load(105), smallChangeDelay-1).Engines)
	require.Equal(t, load(105).Engines, sender.next(sender.seq, load(105), smallChangeDelay).Engines)
	require.Empty(t, sender.next(sender.seq, load(105), 3*smallChangeDelay).Engines)
}
