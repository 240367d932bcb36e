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
	// sweepPeriod is the time between two steps: with 49 claims a step, about
	// a million claims in a round of nine hours, an eighth of three days.
	sweepPeriod = 1500 * time.Millisecond
	// sweepPause replaces sweepPeriod after a step that failed: the store is
	// down, or claims need what it can take.
	sweepPause = 30 * time.Second
	// sweepTimeout bounds one step.
	sweepTimeout = 5 * time.Second
)

// SweepCounts are the figures of retention at one router, since it started.
type SweepCounts struct {
	// Steps counts pages read and looks at a round that was not due; Failures
	// those that the table service, or the budget, refused.
	Steps    int64 `json:"steps"`
	Failures int64 `json:"failures"`
	// Deleted counts the rows that are known to be deleted. A step whose reply
	// was lost counts as a failure, even if its rows are gone.
	Deleted int64 `json:"deleted"`
}

// Sweeper deletes old finished claims on the router that has this duty.
//
// Routers whose views differ may have the duty at once. That costs the store a
// few calls and deletes nothing early: each step is conditional on the shared
// progress row, and claim.Sweeper counts the age of a claim in rounds.
type Sweeper struct {
	Board  *board.Board
	Claims *claim.Sweeper
	// Clock is the monotonic time since some fixed moment.
	Clock func() time.Duration
	Log   *log.Logger

	steps, failures, deleted atomic.Int64
	// failing is whether the last step failed.
	failing bool
}

// Run sweeps whenever this router has the duty, until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	for pause.For(ctx, jitter(s.pause())) {
		if s.Board.Snapshot().Rank(dutySweep) == 0 {
			s.step(ctx)
		}
	}
}

// Counts returns the figures so far.
func (s *Sweeper) Counts() SweepCounts {
	return SweepCounts{Steps: s.steps.Load(), Failures: s.failures.Load(), Deleted: s.deleted.Load()}
}

func (s *Sweeper) pause() time.Duration {
	if s.failing {
		return sweepPause
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
		s.Log.Info("old claims stay for now", "cause", err)
	}
	s.failing = err != nil
}
