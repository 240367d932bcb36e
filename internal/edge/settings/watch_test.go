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

// watchTest is a settings file that a test writes, its watcher, and the settings that the watcher
// applied.
type watchTest struct {
	t       *testing.T
	file    string
	hangups chan os.Signal
	applied []*Settings
	log     bytes.Buffer
	watcher *Watcher
}

// runWatchTest runs a test in a synctest bubble with a watcher of a valid file.
func runWatchTest(t *testing.T, test func(w *watchTest)) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(file, []byte(validSettings), 0o600))
	synctest.Test(t, func(t *testing.T) {
		w := &watchTest{t: t, file: file, hangups: make(chan os.Signal)}
		w.watcher = &Watcher{File: file, Log: log.New(&w.log), Apply: func(s *Settings) { w.applied = append(w.applied, s) }}
		ctx, cancel := context.WithCancel(context.Background())
		go w.watcher.Run(ctx, []byte(validSettings), w.hangups)
		synctest.Wait()
		test(w)
		cancel()
		synctest.Wait()
	})
}

func (w *watchTest) write(content string) {
	require.NoError(w.t, os.WriteFile(w.file, []byte(content), 0o600))
}

// hangup delivers a SIGHUP to the watcher and waits until the file is handled.
func (w *watchTest) hangup() {
	w.hangups <- syscall.SIGHUP
	time.Sleep(2 * settleTime)
}

func replaceSetting(old, new string) string { return strings.Replace(validSettings, old, new, 1) }

// Guards against settings that change only at a restart: a changed file must be applied on SIGHUP,
// and also without a signal.
func TestChangedFileIsApplied(t *testing.T) {
	runWatchTest(t, func(w *watchTest) {
		w.write(replaceSetting("revoke_ms: 5000", "revoke_ms: 6000"))
		w.hangup()
		require.Len(t, w.applied, 1)
		w.write(replaceSetting("revoke_ms: 5000", "revoke_ms: 7000"))
		time.Sleep(pollInterval + 2*settleTime)
		require.Len(t, w.applied, 2)
		require.Equal(t, 7*time.Second, time.Duration(w.applied[1].Bounds.Revoke))
		for range 5 {
			w.hangup()
		}
		time.Sleep(5 * pollInterval)
		require.Len(t, w.applied, 2, "an unchanged file must not be applied again")
	})
}

// Guards against a router that runs with a part of its settings: the file is read while it is
// written, and is empty or ends in the middle of a line or a number. It must be applied only once
// it is complete; until then the active settings stay.
func TestIncompleteFileIsNotApplied(t *testing.T) {
	runWatchTest(t, func(w *watchTest) {
		next := replaceSetting("retry_slack: 58", "retry_slack: 630")
		for _, cut := range []int{0, 10, len(next) / 2, strings.Index(next, "max_ttl_s") + 12, len(next) - 1} {
			w.write(next[:cut])
			w.hangup()
			require.Empty(t, w.applied, "cut at %d", cut)
			require.NotEmpty(t, w.watcher.Problem())
		}
		w.write(next)
		time.Sleep(pollInterval + 2*settleTime)
		require.Len(t, w.applied, 1)
		require.Empty(t, w.watcher.Problem())
	})
}

// Like TestIncompleteFileIsNotApplied, for a file that is missing for a moment and then renamed into
// place.
func TestFileReplacedByRenameIsApplied(t *testing.T) {
	runWatchTest(t, func(w *watchTest) {
		require.NoError(t, os.Remove(w.file))
		w.hangup()
		require.Empty(t, w.applied)
		require.NotEmpty(t, w.watcher.Problem())
		other := w.file + ".new"
		require.NoError(t, os.WriteFile(other, []byte(replaceSetting("stop_s: 8", "stop_s: 9")), 0o600))
		require.NoError(t, os.Rename(other, w.file))
		time.Sleep(pollInterval + 2*settleTime)
		require.Len(t, w.applied, 1)
		require.Empty(t, w.watcher.Problem())
	})
}

// Guards against mistakes that operators discover only at the next restart: an invalid file must be
// rejected and logged once with its file, line and field, and the problem reported until the file is
// corrected.
func TestInvalidFileIsLoggedOnceAndReported(t *testing.T) {
	runWatchTest(t, func(w *watchTest) {
		w.write(replaceSetting("revoke_ms: 5000", "revoke_ms: 0"))
		w.hangup()
		time.Sleep(10 * pollInterval)
		require.Empty(t, w.applied)
		require.Equal(t, 1, strings.Count(w.log.String(), "not usable"))
		require.Contains(t, w.log.String(), "line 9: bounds.revoke_ms")
		require.Contains(t, w.log.String(), filepath.Base(w.file))
		require.Contains(t, w.watcher.Problem(), "bounds.revoke_ms")
		w.write(validSettings)
		w.hangup()
		require.Empty(t, w.watcher.Problem())
		require.Len(t, w.applied, 1, "a corrected file must be applied, even if it equals the settings in force")
	})
}
