package settings

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"

	"damaskrouter.example/damaskrouter/internal/base/pause"
)

// ErrIncomplete means that a file ends in the middle of a line, as while it is being written.
var ErrIncomplete = errs.Class("settings: half written")

const (
	// pollInterval is how often the file is checked for changes: it may change without a
	// signal, and operators should wait for at most a second or two.
	pollInterval = time.Second
	// settleTime is how long a changed file must stay unchanged before it is applied: a
	// process that writes it in place has finished by then.
	settleTime = 100 * time.Millisecond
)

// Watcher applies changes of a settings file. A file that is not usable changes nothing.
type Watcher struct {
	File string
	// Apply activates checked settings. It is called only by the goroutine of Run.
	Apply func(*Settings)
	Log   *log.Logger

	// lastContent is the content that was applied or rejected last.
	lastContent []byte
	problem     atomic.Pointer[string]
}

// Problem returns what is wrong with the current file, or an empty string. It is safe for concurrent
// use.
func (w *Watcher) Problem() string {
	if p := w.problem.Load(); p != nil {
		return *p
	}
	return ""
}

// Run watches the file until the context ends; a value from hangups requests an immediate check.
// The parameter initial is the content with which the router was started.
func (w *Watcher) Run(ctx context.Context, initial []byte, hangups <-chan os.Signal) {
	w.lastContent = initial
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signaled = true
		case <-ticker.C:
		}
		w.poll(ctx, signaled)
	}
}

// poll applies the file if it has changed. If signaled is set, a signal requested the check, and
// poll also logs that a file is unchanged.
func (w *Watcher) poll(ctx context.Context, signaled bool) {
	content, err := os.ReadFile(w.File)
	switch {
	case err != nil:
		w.reject(nil, ErrRead.Wrap(err))
		return
	case bytes.Equal(content, w.lastContent):
		if signaled {
			w.Log.Info("settings have not changed", "file", w.File, "usable", w.Problem() == "")
		}
		return
	}
	if !pause.For(ctx, settleTime) {
		return
	}
	reread, err := os.ReadFile(w.File)
	if err != nil || !bytes.Equal(content, reread) {
		// The file is still changing; the next poll checks it again.
		return
	}
	s, err := ParseComplete(content)
	if err != nil {
		w.reject(content, err)
		return
	}
	w.lastContent = content
	w.problem.Store(nil)
	w.Apply(s)
}

// reject records and logs the problem, once for each content. The active settings stay.
func (w *Watcher) reject(content []byte, err error) {
	text := err.Error()
	if previous := w.problem.Swap(&text); previous != nil && *previous == text && bytes.Equal(content, w.lastContent) {
		return
	}
	w.lastContent = content
	w.Log.Warn("settings changed and are not usable; those before stay in force", "file", w.File, "cause", err)
}

// ParseComplete parses settings that may be incompletely written: the last line must end with a
// newline. Errors: ErrIncomplete, ErrRead, ErrField.
func ParseComplete(data []byte) (*Settings, error) {
	if !bytes.HasSuffix(data, []byte("\n")) {
		return nil, ErrIncomplete.New("the file does not end with the end of a line")
	}
	return Parse(data)
}
