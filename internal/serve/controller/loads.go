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
	// digestPeriod is the time between two digests of changed loads.
	digestPeriod = 500 * time.Millisecond
	// fullDigestEvery is n if every n-th digest contains all loads, to compensate for lost
	// datagrams.
	fullDigestEvery = 10
	// reportPeriod is the time between two reports of a holder's unfinished requests.
	reportPeriod = 5 * time.Second
	// ownerSettleDelay is the time between a change of engine owners and the report to them.
	ownerSettleDelay = 300 * time.Millisecond
)

// ChannelLoads is the datagram channel of load digests.
const ChannelLoads uint8 = 1

// Loads sends the loads of the engines that this router owns to the other routers.
type Loads struct {
	Board     *board.Board
	Admission *admission.Admission
	// Send sends a datagram to the instance of a router.
	Send func(instance uint64, channel uint8, payload []byte) error
	Log  *log.Logger

	round int
}

// Run sends digests until ctx ends.
func (l *Loads) Run(ctx context.Context) { runPeriodically(ctx, digestPeriod, l.step) }

func (l *Loads) step(context.Context) {
	l.round++
	for _, d := range l.Admission.Digests(time.Now(), l.round%fullDigestEvery == 0) {
		if err := l.Send(d.To.Instance, ChannelLoads, d.Payload); err != nil {
			l.Log.Debug("load digest not sent", "to", d.To.Name, "cause", err)
		}
	}
	if l.round%2 == 0 {
		l.Admission.Evaluate()
	}
}

// RunReports sends this router's reports as a holder until ctx ends: once a period, and shortly
// after engine owners changed.
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
			// The new owner may not know yet that it owns the engines.
			pause.For(ctx, ownerSettleDelay)
		}
	}
}

// ReceiveDigest handles a digest from the instance of a router. Digests of unknown instances are ignored.
func (l *Loads) ReceiveDigest(instance uint64, payload []byte) {
	for _, r := range l.Board.Snapshot().Routers {
		if r.Instance != instance {
			continue
		}
		if err := l.Admission.ApplyDigest(payload); err != nil {
			l.Log.Warn("load digest rejected", "from", r.Name, "cause", err)
		}
		return
	}
}
