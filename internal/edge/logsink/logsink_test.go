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

type buffer struct {
	mu sync.Mutex
	bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Buffer.Write(p)
}

// Symptom: requests stop because nobody reads the log. Sequence: standard output
// is a pipe that is full. Cause handled: Write never waits.
func TestWriteNeverBlocks(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	for range 10 * queued {
		_, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.NoError(t, r.Close())
	s.Close()
}

// Symptom: a storm of failures floods the log. Cause handled: lines beyond the
// rate are dropped, and counted in the log.
func TestVolumeIsBoundedAndLossesAreSaid(t *testing.T) {
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
		require.LessOrEqual(t, lines, burst+20*linesPerSecond)
		require.Contains(t, out.String(), "log lines dropped")
	})
}
