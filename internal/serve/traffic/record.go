package traffic

import (
	"context"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/store/claim"
)

const (
	// maxDelayedRecords bounds the records that wait for the store.
	maxDelayedRecords = 1000
	// minRecordBackoff and maxRecordBackoff bound the backoff between attempts.
	minRecordBackoff = time.Second
	maxRecordBackoff = 30 * time.Second
	// recordRetryTimeout is how long a record is retried. Afterwards the key
	// stays blocked until an operator resolves it.
	recordRetryTimeout = time.Hour
)

// record stores how a claimed call ended. If the store does not accept the
// record, it is retried in the background.
//
// The store may be down for the seconds in which a service responds. Without
// retries, a caller that retries with the key would get "outcome unknown" until
// an operator resolves the claim, although this router has the response.
func (sc *serviceCall) record(ctx context.Context, write func(context.Context) error) {
	recordCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	err := write(recordCtx)
	if err == nil {
		return
	}
	sc.s.log.Warn("claim not recorded", "request", sc.id, "service", sc.service.Name, "cause", err)
	if claim.ErrNotRecorded.Has(err) {
		sc.s.recordInBackground(write)
	}
}

// recordInBackground retries write in the background. A drain waits for it.
func (s *Server) recordInBackground(write func(context.Context) error) {
	select {
	case s.delayedRecords <- struct{}{}:
	default:
		s.metrics.recordsDropped.Add(1)
		return
	}
	s.inFlight.Add(1)
	go func() {
		defer s.inFlight.Done()
		defer func() { <-s.delayedRecords }()
		s.retryRecord(write)
	}()
}

func (s *Server) retryRecord(write func(context.Context) error) {
	ctx, cancel := context.WithTimeout(s.shutdownCtx, recordRetryTimeout)
	defer cancel()
	backoff := minRecordBackoff
	for pause.For(ctx, backoff/2+rand.N(backoff)) {
		writeCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		err := write(writeCtx)
		cancel()
		if err == nil {
			s.metrics.recordsDelayed.Add(1)
			return
		}
		if !claim.ErrNotRecorded.Has(err) {
			break
		}
		backoff = min(2*backoff, maxRecordBackoff)
	}
	s.metrics.recordsDropped.Add(1)
}
