package claim

import (
	"context"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// View is the data of a claim that operators can see. It contains neither the
// body of the request nor that of the response.
type View struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Router  string `json:"router"`
	State   State  `json:"state"`
	// Status is the HTTP status of the stored response, or 0.
	Status  int   `json:"status,omitempty"`
	Version int64 `json:"version"`
}

// Verdict is an operator's decision on a claim whose outcome is unknown.
type Verdict string

// The verdicts.
const (
	// VerdictExecuted means that the request was executed. The key can't be
	// claimed again, and the response is not available.
	VerdictExecuted Verdict = "ran"
	// VerdictNotExecuted means that the request was not executed and will not
	// be. The key can then be claimed again. The verdict is correct only if the
	// holder's VM no longer exists or the upstream is known to reject the
	// request: a holder that is merely paused may still send it.
	VerdictNotExecuted Verdict = "not-run"
)

// BadVerdictError reports an unknown verdict, or a verdict that doesn't apply to
// the state of the claim.
type BadVerdictError struct {
	Verdict Verdict
	State   State
}

// Error implements error.
func (e *BadVerdictError) Error() string {
	return "claim: verdict " + string(e.Verdict) + " does not apply to a claim that is " + string(e.State)
}

// Show returns the claim of key. Errors: platform.ErrNotFound, ErrBadKey,
// ErrCorrupt and those of platform.Table.Get.
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

// Resolve applies an operator's verdict to a claim whose outcome is unknown. It
// does nothing if the claim is already in the state that the verdict leads to.
// seenVersion is the version of the row on which the verdict is based. Errors:
// *platform.ConflictError if the row has changed since, in which case nothing is
// written; *BadVerdictError and those of Show and platform.Table.Commit.
func (s *Store) Resolve(ctx context.Context, key Key, seenVersion int64, v Verdict) error {
	row, rec, err := s.read(ctx, key)
	if err != nil {
		return err
	}
	to, ok := map[Verdict]State{VerdictExecuted: StateDone, VerdictNotExecuted: StateRefused}[v]
	if ok && rec.State == to {
		return nil
	}
	if !ok || rec.State != StateClaimed && rec.State != StateUnknown {
		return &BadVerdictError{Verdict: v, State: rec.State}
	}
	if row.Version != seenVersion {
		return &platform.ConflictError{Current: row}
	}
	rec.State = to
	stored, err := s.put(ctx, platform.UseAdmin, key.rowKey(), rec, seenVersion)
	if err != nil {
		return err
	}
	if !matches(stored, rec) {
		return &platform.ConflictError{Current: stored}
	}
	return nil
}

func (s *Store) read(ctx context.Context, key Key) (platform.Row, record, error) {
	if err := key.validate(); err != nil {
		return platform.Row{}, record{}, err
	}
	row, err := s.table.Get(ctx, platform.UseAdmin, Table, key.rowKey())
	if err != nil {
		return platform.Row{}, record{}, err
	}
	rec, err := decode(row)
	return row, rec, err
}
