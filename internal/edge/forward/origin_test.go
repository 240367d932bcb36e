package forward

import (
	"context"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// Guards against a stream whose first event reaches its caller while a slow replica still has the record of
// a send to an engine of another version: resumed there, it would go on at that one.
func TestStreamSentToTwoVersionsWaitsForItsReplicas(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		for _, delay := range []time.Duration{0, 200 * time.Millisecond, time.Hour} {
			x := tr.newExchange(context.Background())
			recorded := make(chan struct{})
			time.AfterFunc(delay, func() { close(recorded) })
			x.stream.recorded = recorded
			began := time.Now()
			x.beginStream(catalog.Engine{ID: "e", Service: "llm", Version: "v1"}, 0)
			require.Equal(t, min(delay, recordWait), time.Since(began))
		}
		x := tr.newExchange(context.Background())
		began := time.Now()
		x.beginStream(catalog.Engine{ID: "e", Service: "llm", Version: "v1"}, 0)
		require.Zero(t, time.Since(began), "only one version was tried")
	})
}
