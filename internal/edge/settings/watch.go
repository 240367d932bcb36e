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

// ErrTorn means that a file changes while it is read, or ends in the middle of a line.
var ErrTorn = errs.Class("settings: half written")

const (
	// pollInterval is how often the file is looked at: it may change without a signal, and
	// operators wait for a second or two at most.
	pollInterval = time.Second
	// settleFor is how long a changed file must stay as it is before it is taken: whoever
	// writes it in place is done by then.
	settleFor = 100 * time.Millisecond
)

// Watcher takes over changes of a settings file. A file that can't be used changes nothing.
type Watcher struct {
	File string
	// Apply takes checked settings. It is called by one goroutine.
	Apply func(*Settings)
	Log   *log.Logger

	// handled is the content that was taken or refused last.
	handled []byte
	problem atomic.Pointer[string]
}

// Problem says what is wrong with the file as it is now, empty if nothing is.
func (w *Watcher) Problem() string {
	if p := w.problem.Load(); p != nil {
		return *p
	}
	return ""
}

// Run watches until the context ends; a value from hangups asks to look at once. The content is
// the one that the router was started with.
func (w *Watcher) Run(ctx context.Context, started []byte, hangups <-chan os.Signal) {
	w.handled = started
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			asked = true
		case <-ticker.C:
		}
		w.look(ctx, asked)
	}
}

// look takes the file if it has changed. Asked means that somebody says so.
func (w *Watcher) look(ctx context.Context, asked bool) {
	content, err := os.ReadFile(w.File)
	switch {
	case err != nil:
		w.refuse(nil, ErrRead.Wrap(err))
		return
	case bytes.Equal(content, w.handled):
		if asked {
			w.Log.Info("settings have not changed", "file", w.File, "usable", w.Problem() == "")
		}
		return
	}
	if !pause.For(ctx, settleFor) {
		return
	}
	again, err := os.ReadFile(w.File)
	if err != nil || !bytes.Equal(content, again) {
		// The next look finds it as it is then.
		return
	}
	set, err := ParseWhole(content)
	if err != nil {
		w.refuse(content, err)
		return
	}
	w.handled = content
	w.problem.Store(nil)
	w.Apply(set)
}

// refuse keeps what is in force, and says so once for each content.
func (w *Watcher) refuse(content []byte, err error) {
	text := err.Error()
	if known := w.problem.Swap(&text); known != nil && *known == text && bytes.Equal(content, w.handled) {
		return
	}
	w.handled = content
	w.Log.Warn("settings changed and are not usable; those before stay in force", "file", w.File, "cause", err)
}

// ParseWhole checks settings that may be half written: the last line must have its end. Errors:
// ErrTorn, ErrRead, ErrField.
func ParseWhole(data []byte) (*Settings, error) {
	if !bytes.HasSuffix(data, []byte("\n")) {
		return nil, ErrTorn.New("the file does not end with the end of a line")
	}
	return Parse(data)
}
