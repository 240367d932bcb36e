// Package logsink buffers the log lines of request handlers, so that logging never
// blocks a handler, and limits the rate of lines written.
//
// Standard output may be read slowly or not at all. If handlers wrote to it
// directly, a stalled reader would stall requests, and a burst of failures would
// become a burst of writes just when the router has the least time for it.
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
	// queueSize is how many lines may wait for the writer; at the usual length
	// they take about a megabyte.
	queueSize = 2048
	// linesPerSecond limits the sustained rate of lines. A router with a tenth
	// of a core serves about as many requests per second.
	linesPerSecond = 300
	// burstLines is how many lines may arrive at once, as when many requests
	// fail together.
	burstLines = 1500
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// Sink is an io.Writer that expects one complete line per Write. It is safe for
// concurrent use.
type Sink struct {
	out       io.Writer
	lines     chan []byte
	limiter   *rate.Limiter
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	stop      chan struct{}
}

// New returns a Sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{
		out: out, lines: make(chan []byte, queueSize), limiter: rate.NewLimiter(linesPerSecond, burstLines),
		done: make(chan struct{}), stop: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write queues a copy of the line, or drops and counts it if the rate limit or the
// queue is exceeded. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	if !s.limiter.Allow() {
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
			s.writeLine(line)
		case <-ticker.C:
			s.report()
		case <-s.stop:
			s.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines:
			s.writeLine(line)
		default:
			s.report()
			return
		}
	}
}

func (s *Sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		s.writeLine(fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","count":%d}`+"\n", n))
	}
}

// writeLine writes a line. A failure is ignored: there is nowhere else to report
// it.
func (s *Sink) writeLine(line []byte) { _, _ = s.out.Write(line) }

// closeTimeout bounds how long Close waits for a stalled reader.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, unless the reader takes longer than closeTimeout.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(closeTimeout):
	}
}
