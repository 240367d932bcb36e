package traffic

import (
	"context"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/store/claim"
)

const (
	// maxLateRecords bounds the records that wait for the store.
	maxLateRecords = 1000
	// lateRecordMin and lateRecordMax bound the waits between attempts.
	lateRecordMin = time.Second
	lateRecordMax = 30 * time.Second
	// lateRecordFor is how long a record is tried again. The key stays blocked
	// afterwards, for an operator to resolve.
	lateRecordFor = time.Hour
)

// record notes in the store how a claimed call ended, and goes on trying where
// the store does not take it.
//
// What goes wrong otherwise: the store is down for the seconds in which a
// receipt's answer comes. The caller has the answer, or has lost it on the way;
// whoever asks again with the key is told "outcome unknown" until an operator
// looks, although this router knows the answer.
func (k *call) record(ctx context.Context, write func(context.Context) error) {
	rctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	err := write(rctx)
	if err == nil {
		return
	}
	k.s.log.Warn("claim not recorded", "request", k.id, "service", k.service.Name, "cause", err)
	if claim.ErrNotRecorded.Has(err) {
		k.s.recordLater(write)
	}
}

// recordLater tries again in the background. A drain waits for it.
func (s *Server) recordLater(write func(context.Context) error) {
	select {
	case s.lateRecords <- struct{}{}:
	default:
		s.metrics.recordsDropped.Add(1)
		return
	}
	s.inflight.Add(1)
	go func() {
		defer s.inflight.Done()
		defer func() { <-s.lateRecords }()
		s.keepRecording(write)
	}()
}

func (s *Server) keepRecording(write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(s.cut, lateRecordFor)
	defer cancel()
	wait := lateRecordMin
	for pause.For(ctx, wait/2+rand.N(wait)) {
		wctx, cancel := context.WithTimeout(ctx, recordTimeout)
		err := write(wctx)
		cancel()
		if err == nil {
			s.metrics.recordedLate.Add(1)
			return
		}
		if !claim.ErrNotRecorded.Has(err) {
			break
		}
		wait = min(2*wait, lateRecordMax)
	}
	s.metrics.recordsDropped.Add(1)
}
