package controller

import (
	"context"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"github.com/charmbracelet/log"
)

const (
	// sweepPeriod is the time between two steps. With 49 claims a step, a round over a million
	// claims takes about nine hours, an eighth of three days.
	sweepPeriod = 1500 * time.Millisecond
	// failureDelay replaces sweepPeriod after a failed step: the store is down, or requests need
	// its capacity for their claims.
	failureDelay = 30 * time.Second
	// sweepTimeout bounds one step.
	sweepTimeout = 5 * time.Second
)

// SweepCounts are the counters of claim retention at one router since its start.
type SweepCounts struct {
	// Steps counts the pages read and the checks whether a round is due. Failures counts the steps
	// that the table service or the budget rejected.
	Steps    int64 `json:"steps"`
	Failures int64 `json:"failures"`
	// Deleted counts the rows that are known to be deleted. A step whose reply was lost counts as a
	// failure, even if its rows were deleted.
	Deleted int64 `json:"deleted"`
}

// Sweeper deletes old finished claims while this router has that duty.
//
// Routers with different views of the fleet may have the duty at the same time. That costs a few
// more calls to the store and deletes nothing too early: each step is conditional on the shared
// progress row, and claim.Sweeper counts the age of a claim in rounds.
type Sweeper struct {
	Board  *board.Board
	Claims *claim.Sweeper
	// Clock returns the monotonic time since a fixed moment.
	Clock func() time.Duration
	Log   *log.Logger

	steps, failures, deleted atomic.Int64
	// failing is set if the last step failed.
	failing bool
}

// Run deletes old claims while this router has the duty, until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for pause.For(ctx, jitter(s.delay())) {
		if s.Board.Snapshot().Rank(dutySweep) == 0 {
			s.step(ctx)
		}
	}
}

// Counts returns the current counters.
func (s *Sweeper) Counts() SweepCounts {
	return SweepCounts{Steps: s.steps.Load(), Failures: s.failures.Load(), Deleted: s.deleted.Load()}
}

func (s *Sweeper) delay() time.Duration {
	if s.failing {
		return failureDelay
	}
	return sweepPeriod
}

func (s *Sweeper) step(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	deleted, err := s.Claims.Step(ctx, s.Clock())
	s.steps.Add(1)
	s.deleted.Add(int64(deleted))
	if err != nil {
		s.failures.Add(1)
	}
	if err != nil && !s.failing {
		s.Log.Info("claim sweep failed; retrying later", "cause", err)
	}
	s.failing = err != nil
}
