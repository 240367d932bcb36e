package claim

import (
	"context"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// View is what operators see of a claim. It has no body and no answer.
type View struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Router  string `json:"router"`
	State   State  `json:"state"`
	// Status is the HTTP status of the stored answer, or 0.
	Status  int   `json:"status,omitempty"`
	Version int64 `json:"version"`
}

// Verdict is an operator's finding about a blocked claim.
type Verdict string

// The verdicts.
const (
	// VerdictRan closes the key for good; its answer is not available.
	VerdictRan Verdict = "ran"
	// VerdictNotRun opens the key again. It is right only if the holder's VM
	// is gone or the upstream is known to refuse the request: a holder that
	// is merely paused may still send it.
	VerdictNotRun Verdict = "not-run"
)

// BadVerdictError is returned for an unknown verdict, or one that contradicts a
// recorded answer.
type BadVerdictError struct {
	Verdict Verdict
	State   State
}

// Error implements error.
func (e *BadVerdictError) Error() string {
	return "claim: verdict " + string(e.Verdict) + " does not apply to a claim that is " + string(e.State)
}

// Show returns the claim of key. Errors: platform.ErrNotFound and those of the
// table service.
func (s *Store) Show(ctx context.Context, key Key) (View, error) {
	row, rec, err := s.read(ctx, key)
	if err != nil {
		return View{}, err
	}
	v := View{Account: rec.Account, Service: rec.Service, Router: rec.Router, State: rec.State, Version: row.Version}
	if rec.Answer != nil {
		v.Status = rec.Answer.Status
	}
	return v, nil
}

// Resolve applies an operator's verdict to a claim whose outcome is not known.
// seen is the version that the operator looked at; where the row has changed
// since, a *platform.ConflictError is returned and nothing is written.
func (s *Store) Resolve(ctx context.Context, key Key, seen int64, v Verdict) error {
	row, rec, err := s.read(ctx, key)
	if err != nil {
		return err
	}
	to, ok := map[Verdict]State{VerdictRan: StateDone, VerdictNotRun: StateRefused}[v]
	if ok && rec.State == to {
		return nil
	}
	if !ok || rec.State != StateClaimed && rec.State != StateUnknown {
		return &BadVerdictError{Verdict: v, State: rec.State}
	}
	if row.Version != seen {
		return &platform.ConflictError{Current: row}
	}
	rec.State = to
	got, err := s.put(ctx, platform.UseAdmin, key.row(), rec, seen)
	if err != nil {
		return err
	}
	if !isExactly(got, rec) {
		return &platform.ConflictError{Current: got}
	}
	return nil
}

func (s *Store) read(ctx context.Context, key Key) (platform.Row, record, error) {
	if err := key.check(); err != nil {
		return platform.Row{}, record{}, err
	}
	row, err := s.table.Get(ctx, platform.UseAdmin, Table, key.row())
	if err != nil {
		return platform.Row{}, record{}, err
	}
	rec, err := decode(row)
	return row, rec, err
}
