package controller

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"github.com/charmbracelet/log"
)

const (
	// digestPeriod is how often changed loads are told to other routers.
	digestPeriod = 500 * time.Millisecond
	// fullEvery is how many periods pass between digests of all loads, which
	// make up for lost datagrams.
	fullEvery = 10
	// reportPeriod is how often holders report their unfinished requests.
	reportPeriod = 5 * time.Second
	// moveSettle is the wait between a move of owners and the report of it.
	moveSettle = 300 * time.Millisecond
)

// ChannelLoads is the datagram channel of load digests.
const ChannelLoads uint8 = 1

// Loads tells other routers the loads of the engines owned here.
type Loads struct {
	Board     *board.Board
	Admission *admission.Admission
	// Send sends a datagram to a router's instance.
	Send func(instance uint64, channel uint8, payload []byte) error
	Log  *log.Logger

	round int
}

// Run tells loads until ctx ends.
func (l *Loads) Run(ctx context.Context) { every(ctx, digestPeriod, l.step) }

func (l *Loads) step(context.Context) {
	l.round++
	for _, d := range l.Admission.Digests(time.Now(), l.round%fullEvery == 0) {
		if err := l.Send(d.To.Instance, ChannelLoads, d.Payload); err != nil {
			l.Log.Debug("load digest not sent", "to", d.To.Name, "cause", err)
		}
	}
	if l.round%2 == 0 {
		l.Admission.Evaluate()
	}
}

// RunReports sends holders' reports until ctx ends: regularly, and shortly
// after engines got other owners.
func (l *Loads) RunReports(ctx context.Context) {
	for {
		l.Admission.SendReports(ctx)
		t := time.NewTimer(jitter(reportPeriod))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		case <-l.Admission.OwnersMoved():
			t.Stop()
			// The new owner needs a moment to see that it is one.
			pause.For(ctx, moveSettle)
		}
	}
}

// Heard takes in a digest from a router's instance.
func (l *Loads) Heard(instance uint64, payload []byte) {
	for _, r := range l.Board.Snapshot().Routers {
		if r.Instance != instance {
			continue
		}
		if err := l.Admission.TakeDigest(payload); err != nil {
			l.Log.Warn("load digest refused", "from", r.Name, "cause", err)
		}
		return
	}
}
