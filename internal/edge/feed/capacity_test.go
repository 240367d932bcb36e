package feed

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/health"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// BenchmarkPull weighs one pull in quiet: what a router sends of its own loads, and
// what it gets of the fleet's, when nothing else is new. Each router pulls three times
// a second. Run with -bench Pull; it reports bytes as net/rpc sends them on a
// connection that has sent the types before.
func BenchmarkPull(b *testing.B) {
	for _, engines := range []int{9, 60, 850} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			now := time.Minute
			relay, args := quietRelay(engines, func() time.Duration { return now })
			var sent, got bytes.Buffer
			up, down := gob.NewEncoder(&sent), gob.NewEncoder(&got)
			pull := func() {
				var reply PullReply
				now += pullWait
				relay.Loads.FromParent(LoadReport{Engines: engineLoads(engines)}, now)
				require.NoError(b, relay.Pull(args, &reply))
				require.NoError(b, up.Encode(args))
				require.NoError(b, down.Encode(reply))
			}
			pull()
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

// quietRelay returns the relay of a router with engines under load, and the pull of one
// that has sent requests to a tenth of them.
func quietRelay(engines int, clock Clock) (*Relay, PullArgs) {
	board := NewBoard(clock, time.Second)
	done := make(chan struct{})
	close(done)
	relay := &Relay{
		Board: board, Loads: NewLoads(func() map[string]EngineLoad { return engineLoads(engines / 10) }), Clock: clock,
		StoreLost: func() bool { return false }, LostAgo: func() time.Duration { return time.Hour },
		Failures: func() []Failure { return nil }, Chain: func() []string { return []string{"front-ank-a-1", "front-ank-b-2"} },
		Done: done, Log: log.New(new(bytes.Buffer)),
	}
	set, _ := catalog.NewEngineSet().Apply(catalog.EngineUpdate{Full: true, Upto: 10}, 0)
	return relay, PullArgs{
		From: "front-ank-a-2", EnginesUpto: set.Upto, Wait: time.Millisecond,
		Loads: &LoadReport{Engines: engineLoads(engines / 10)},
	}
}

func engineLoads(n int) map[string]EngineLoad {
	out := make(map[string]EngineLoad, n)
	for i := range n {
		out[fmt.Sprintf("i-%010x", i)] = EngineLoad{InFlight: 1 + i%7, Evidence: health.Evidence{Good: 3.1 + float64(i)/7, Bad: float64(i%3) / 9}}
	}
	return out
}

// Symptom: links of a large fleet carry little but loads. Sequence: 850 engines; each
// router is told of all of them three times a second. Cause: the size had no part in
// how often. A small fleet is told with each pull.
func TestLargeReportsGoWithSomePullsOnly(t *testing.T) {
	for engines, want := range map[int]int{60: 10, 850: 3} {
		now := time.Minute
		relay, args := quietRelay(engines, func() time.Duration { return now })
		told := 0
		for range 10 {
			now += pullWait
			relay.Loads.FromParent(LoadReport{Engines: engineLoads(engines)}, now)
			var reply PullReply
			require.NoError(t, relay.Pull(args, &reply))
			if reply.Loads != nil {
				told++
				require.Len(t, reply.Loads.Engines, engines)
			}
		}
		require.InDelta(t, want, told, 1, "%d engines", engines)
	}
}
