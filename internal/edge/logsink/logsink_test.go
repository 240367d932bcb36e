package logsink

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// buffer is a bytes.Buffer that is safe for concurrent writes.
type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Guards against stalled requests when standard output is a full pipe that nobody
// reads.
func TestWriteNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	for range 10 * queueSize {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.NoError(t, r.Close())
	s.Close()
}

// Guards against a burst of failures flooding the log: lines beyond the rate limit
// must be dropped, and the log must report how many.
func TestLogRateIsLimitedAndDroppedLinesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &buffer{}
		s := New(out)
		for range 20 {
			for range 1000 {
				_, _ = s.Write([]byte("line\n"))
			}
			time.Sleep(time.Second)
		}
		s.Close()
		lines := bytes.Count(out.Bytes(), []byte("line\n"))
		require.LessOrEqual(t, lines, burstLines+20*linesPerSecond)
		require.Contains(t, out.String(), "log lines dropped")
	})
}
