package settings

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// watched is a settings file that a test writes, and what the watcher makes of it.
type watched struct {
	t       *testing.T
	file    string
	hangups chan os.Signal
	applied []*Settings
	log     bytes.Buffer
	watcher *Watcher
}

func inWatch(t *testing.T, test func(w *watched)) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, []byte(good), 0o600))
	synctest.Test(t, func(t *testing.T) {
		w := &watched{t: t, file: file, hangups: make(chan os.Signal)}
		w.watcher = &Watcher{File: file, Log: log.New(&w.log), Apply: func(s *Settings) { w.applied = append(w.applied, s) }}
		ctx, cancel := context.WithCancel(context.Background())
		go w.watcher.Run(ctx, []byte(good), w.hangups)
		synctest.Wait()
		test(w)
		cancel()
		synctest.Wait()
	})
}

func (w *watched) write(content string) {
	require.NoError(w.t, os.WriteFile(w.file, []byte(content), 0o600))
}

func (w *watched) hangup() {
	w.hangups <- syscall.SIGHUP
	time.Sleep(2 * settleFor)
}

func with(old, new string) string { return strings.Replace(good, old, new, 1) }

// Symptom: operators change settings and nothing happens until a restart. Cause handled: a changed
// file is taken on SIGHUP, and also without a signal.
func TestChangedFileIsTaken(t *testing.T) {
	inWatch(t, func(w *watched) {
		w.write(with("revoke_ms: 5000", "revoke_ms: 6000"))
		w.hangup()
		require.Len(t, w.applied, 1)
		w.write(with("revoke_ms: 5000", "revoke_ms: 7000"))
		time.Sleep(pollInterval + 2*settleFor)
		require.Len(t, w.applied, 2)
		require.Equal(t, 7*time.Second, time.Duration(w.applied[1].Bounds.Revoke))
		for range 5 {
			w.hangup()
		}
		time.Sleep(5 * pollInterval)
		require.Len(t, w.applied, 2, "what has not changed is not taken again")
	})
}

// Symptom: a router runs with a part of its settings. Sequence: the file is read while it is
// written: empty, cut in the middle of a line or a number. Cause handled: it is taken once it is
// whole, and what was in force stays until then.
func TestHalfWrittenFileIsNotTaken(t *testing.T) {
	inWatch(t, func(w *watched) {
		next := with("retry_slack: 58", "retry_slack: 630")
		for _, cut := range []int{0, 10, len(next) / 2, strings.Index(next, "max_ttl_s") + 12, len(next) - 1} {
			w.write(next[:cut])
			w.hangup()
			require.Empty(t, w.applied, "cut at %d", cut)
			require.NotEmpty(t, w.watcher.Problem())
		}
		w.write(next)
		time.Sleep(pollInterval + 2*settleFor)
		require.Len(t, w.applied, 1)
		require.Empty(t, w.watcher.Problem())
	})
}

// Symptom: the same, where the file is renamed into place or missing for a moment.
func TestFileIsReplacedByRename(t *testing.T) {
	inWatch(t, func(w *watched) {
		require.NoError(t, os.Remove(w.file))
		w.hangup()
		require.Empty(t, w.applied)
		require.NotEmpty(t, w.watcher.Problem())
		other := w.file + ".new"
		require.NoError(t, os.WriteFile(other, []byte(with("stop_s: 8", "stop_s: 9")), 0o600))
		require.NoError(t, os.Rename(other, w.file))
		time.Sleep(pollInterval + 2*settleFor)
		require.Len(t, w.applied, 1)
		require.Empty(t, w.watcher.Problem())
	})
}

// Symptom: operators learn of a mistake when routers restart. Cause handled: a file with a mistake
// is refused with its file, line and field, once, and the problem stays to be seen until it is
// mended.
func TestMistakeIsSaidOnceAndStays(t *testing.T) {
	inWatch(t, func(w *watched) {
		w.write(with("revoke_ms: 5000", "revoke_ms: 0"))
		w.hangup()
		time.Sleep(10 * pollInterval)
		require.Empty(t, w.applied)
		require.Equal(t, 1, strings.Count(w.log.String(), "not usable"))
		require.Contains(t, w.log.String(), "line 9: bounds.revoke_ms")
		require.Contains(t, w.log.String(), filepath.Base(w.file))
		require.Contains(t, w.watcher.Problem(), "bounds.revoke_ms")
		w.write(good)
		w.hangup()
		require.Empty(t, w.watcher.Problem())
		require.Len(t, w.applied, 1, "what is as before is taken, and changes nothing")
	})
}
