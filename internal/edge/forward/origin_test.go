package forward

import (
	"context"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// Guards against a stream whose first event reaches its caller while a slow replica still has the record of
// a send to an engine of another version: resumed there after its router has ended, it would go on at that one.
func TestStreamSentToTwoVersionsWaitsForItsReplicas(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		for _, delay := range []time.Duration{0, 200 * time.Millisecond, time.Hour} {
			x := tr.newExchange(context.Background())
			recorded := make(chan bool, 1)
			time.AfterFunc(delay, func() { recorded <- true })
			x.stream.recorded, x.stream.versions = recorded, true
			began := time.Now()
			begun := x.beginStream(catalog.Engine{ID: "e", Service: "llm", Version: "v1"}, 0)
			require.Equal(t, min(delay, recordWait), time.Since(began))
			require.Equal(t, delay < recordWait, begun)
		}
		for _, versions := range []bool{false, true} {
			x := tr.newExchange(context.Background())
			recorded := make(chan bool, 1)
			recorded <- false
			x.stream.recorded, x.stream.versions = recorded, versions
			require.Equal(t, !versions, x.beginStream(catalog.Engine{ID: "e", Service: "llm", Version: "v1"}, 0), "a replica is unreachable")
		}
		x := tr.newExchange(context.Background())
		began := time.Now()
		require.True(t, x.beginStream(catalog.Engine{ID: "e", Service: "llm", Version: "v1"}, 0))
		require.Zero(t, time.Since(began), "only one version was tried")
	})
}
