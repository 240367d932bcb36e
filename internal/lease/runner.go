package lease

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/platform"
)

const (
	// Table and Key name the lease row. The row is never deleted: its versions
	// and its fence must only grow.
	Table = "lease"
	Key   = "leader"
)

// Clock returns the monotonic time since a fixed moment in this process. It
// must go on while the process is stopped.
type Clock func() time.Duration

// Runner drives a Machine over the table service. Its methods are safe for
// concurrent use.
type Runner struct {
	table platform.Table
	clock Clock
	ttl   time.Duration
	poke  chan struct{}

	mu      sync.Mutex
	machine *Machine
}

// NewRunner returns a Runner. token must be unique to this process, and random
// must return numbers in [0, 1).
func NewRunner(table platform.Table, name, token string, ttl time.Duration, clock Clock, random func() float64) *Runner {
	return &Runner{
		table:   table,
		clock:   clock,
		ttl:     ttl,
		poke:    make(chan struct{}, 1),
		machine: NewMachine(name, token, ttl, random),
	}
}

// Valid returns the grant if the lease is held now. Error: ErrNotHeld.
func (r *Runner) Valid() (Grant, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The clock is read last: a pause before this line is then noticed.
	return r.machine.Valid(r.clock())
}

// SetRank tells this router's place among the candidates, from 0.
func (r *Runner) SetRank(rank int) { r.step(RankChanged{Rank: rank}) }

// Release gives up the lease for good, before a planned stop. It takes hold at
// once; Run tells the store.
func (r *Runner) Release() { r.step(Released{}) }

// step is for events from outside, which lead to no call until Run's next
// tick.
func (r *Runner) step(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.note(r.clock(), e)
	select {
	case r.poke <- struct{}{}:
	default:
	}
}

// Run holds or seeks the lease until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.turn(ctx, Tick{})
		r.sleep(ctx)
	}
}

// turn feeds one event to the machine and makes the calls that follow.
func (r *Runner) turn(ctx context.Context, e Event) {
	for ctx.Err() == nil {
		r.mu.Lock()
		actions := r.machine.Step(r.clock(), e)
		r.mu.Unlock()
		if len(actions) == 0 {
			return
		}
		e = r.call(ctx, actions[0])
	}
}

func (r *Runner) sleep(ctx context.Context) {
	r.mu.Lock()
	pause := r.machine.Wake() - r.clock()
	r.mu.Unlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.poke:
	case <-timer.C:
	}
}

func (r *Runner) call(ctx context.Context, a Action) Event {
	ctx, cancel := context.WithTimeout(ctx, r.ttl/periodShare)
	defer cancel()
	if w, ok := a.(Write); ok {
		return r.write(ctx, w)
	}
	row, err := r.table.Get(ctx, platform.UseLease, Table, Key)
	if platform.ErrNotFound.Has(err) {
		return ReadDone{}
	}
	if err != nil {
		return Failed{}
	}
	return decode(row)
}

func (r *Runner) write(ctx context.Context, w Write) Event {
	value, err := json.Marshal(w.Record)
	if err != nil {
		return Failed{}
	}
	rows, err := r.table.Commit(ctx, platform.UseLease, platform.Write{
		Table: Table, Key: Key, Value: value, IfVersion: w.IfVersion,
	})
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		return asConflict(decode(conflict.Current))
	case err == nil && len(rows) == 1:
		return WriteDone{Version: rows[0].Version}
	case platform.ErrOutcomeUnknown.Has(err):
		return ReplyLost{}
	case platform.ErrUnavailable.Has(err) || platform.ErrBudget.Has(err):
		return Failed{}
	default:
		return ReplyLost{}
	}
}

func asConflict(e Event) Event {
	if row, ok := e.(ReadDone); ok {
		return WriteConflict(row)
	}
	// The row can't be read, so the write is as good as unanswered.
	return ReplyLost{}
}

func decode(row platform.Row) Event {
	done := ReadDone{Version: row.Version}
	if row.Version == 0 {
		return done
	}
	if json.Unmarshal(row.Value, &done.Record) != nil {
		return Failed{}
	}
	return done
}
