// Package logsink takes log lines from request handlers without ever making
// them wait, and bounds how many are written.
//
// Standard output may be read slowly or not at all. Were it written directly, a
// reader that stops would stop the requests, and a storm of failures would
// become a storm of writes just when there is least time for it.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queued is how many lines may wait for the writer; at the usual length
	// they take about a megabyte.
	queued = 2048
	// linesPerSecond bounds what is written over time. A router with a tenth
	// of a core serves about as many requests a second.
	linesPerSecond = 300
	// burst is how many lines may come at once, as at a failure of many
	// requests.
	burst = 1500
	// reportInterval is how often dropped lines are counted in the log.
	reportInterval = time.Second
)

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	closing sync.Once
	stop    chan struct{}
}

// New returns a Sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, queued), limit: rate.NewLimiter(linesPerSecond, burst),
		done: make(chan struct{}), stop: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues a line, or drops and counts it. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limit.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-s.lines:
			s.emit(line)
		case <-ticker.C:
			s.report()
		case <-s.stop:
			s.flush()
			return
		}
	}
}

// flush writes what is queued.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.emit(line)
		default:
			s.report()
			return
		}
	}
}

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		s.emit(fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", n))
	}
}

// emit writes a line. There is nowhere to report that the log can't be written.
func (s *Sink) emit(line []byte) { _, _ = s.out.Write(line) }

// closeTimeout bounds how long Close waits for a reader that does not read.
const closeTimeout = 200 * time.Millisecond

// Close writes what is queued, as far as the reader takes it in time.
func (s *Sink) Close() {
	s.closing.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
