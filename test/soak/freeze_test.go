package soak

import (
	"context"
	"net/http"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
	"github.com/stretchr/testify/require"
)

// buildRouter builds the router and returns the path of its binary.
func buildRouter(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "damaskrouter")
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/damaskrouter").CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// Guards against the beginning of an answer without a length that is taken for the whole of it, because its engine ended
// while the router stood still, and another process listens at the address by the time the router looks; and against whole
// answers that are given up because the router stood still.
func TestAnswersThatEndedDuringAFreezeAreWholeIfTheirEngineRuns(t *testing.T) {
	binary := buildRouter(t)
	cl, err := newCluster(t.TempDir(), binary, 230, 1, 1)
	require.NoError(t, err)
	defer cl.close()
	require.NoError(t, cl.awaitReady())
	e, r := cl.engines[0], cl.routers[0]
	const events = 30
	e.Behave(platformtest.Unframed)
	e.Stream(events, 20*time.Millisecond)
	for _, ends := range []bool{false, true} {
		answers := make(chan platformtest.Stream, 4)
		for range cap(answers) {
			go func() {
				var stream platformtest.Stream
				stream.Receive(context.Background(), &http.Client{}, platformtest.Call{Address: cl.address(r), Path: platformtest.PathStream, TimeoutMS: 10_000}, 0)
				answers <- stream
			}()
		}
		time.Sleep(200 * time.Millisecond)
		r.signal(syscall.SIGSTOP)
		if ends {
			e.Restart(e.Version)
		}
		time.Sleep(2 * time.Second)
		r.signal(syscall.SIGCONT)
		for range cap(answers) {
			stream := <-answers
			require.NotEmpty(t, stream.Events)
			require.Equal(t, !ends, stream.Done, "%d events of %d", len(stream.Events), events)
		}
	}
}
