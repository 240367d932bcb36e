// Package audit records the changes by operators: author, target, time and base version. An
// accepted configuration is recorded by package config in the transaction that accepts it; this
// package records all other changes and reads both kinds of entries as one list.
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/zeebo/errs"
)

// Tables of the trail. Rows are never deleted.
const (
	// Table holds the entries of operations, keyed by zero-padded number.
	Table = "audit_operations"
	// TableHead holds a single row, headKey, with the number of the last entry.
	TableHead = "audit_head"

	headKey = "head"
)

var (
	// ErrCorrupt means that a row of the trail cannot be decoded.
	ErrCorrupt = errs.Class("audit: corrupt row")
	// ErrCursor means that a text is not a cursor as encoded by Cursor.String.
	ErrCursor = errs.Class("audit: bad cursor")
	// ErrContended means that concurrent operations took the next entry number
	// at each attempt. Nothing was written.
	ErrContended = errs.Class("audit: contended")
)

// Action is the kind of a recorded change.
type Action string

// The actions in the trail.
const (
	ActionConfigAccept   Action = config.AuditAccepted
	ActionConfigRollback Action = "config.rollback"
	ActionOperatorAdd    Action = "operator.add"
	ActionOperatorRevoke Action = "operator.revoke"
	ActionClaimResolve   Action = "claim.resolve"
)

// Outcome is the recorded result of an operation.
type Outcome string

// The outcomes.
const (
	// OutcomeDone marks an entry written in the same transaction as its change
	// or after it.
	OutcomeDone Outcome = "done"
	// OutcomeBegun marks an entry written before a change that cannot be part
	// of the entry's transaction. Without a later entry of the same ID, the
	// change may or may not have taken effect.
	OutcomeBegun Outcome = "begun"
	// OutcomeFailed means that the change did not take effect.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the change may have taken effect.
	OutcomeUnknown Outcome = "unknown"
)

// Entry is one record of the trail.
type Entry struct {
	// Number is the sequence number of an operation's entry, or the version of
	// an accepted configuration.
	Number uint64 `json:"number"`
	// ID identifies the operation; all its entries share it.
	ID      string    `json:"id"`
	Time    time.Time `json:"time"`
	Actor   string    `json:"actor"`
	Action  Action    `json:"action"`
	Outcome Outcome   `json:"outcome"`
	// Team owns the changed resource; empty for fleet-wide resources.
	Team string `json:"team,omitempty"`
	// Target is the name of the changed resource.
	Target string `json:"target,omitempty"`
	// FromVersion is the version on which the change is based, of the
	// configuration or of the changed row; 0 if there was none.
	FromVersion int64  `json:"from_version"`
	Detail      string `json:"detail,omitempty"`
}

// keyWidth is the number of digits of the largest uint64, so that keys sort by number.
const keyWidth = 20

func key(number uint64) string { return fmt.Sprintf("%0*d", keyWidth, number) }

// headRow is the value of the head row.
type headRow struct {
	Number uint64 `json:"number"`
}

// encode returns a row as JSON. Rows have only plain fields, so the encoder
// cannot fail.
func encode(row any) []byte {
	data, _ := json.Marshal(row)
	return data
}

func decode(data []byte, row any) error { return ErrCorrupt.Wrap(json.Unmarshal(data, row)) }

// versionEntry returns the entry of an accepted configuration.
func versionEntry(v config.Version) Entry {
	e := Entry{
		Number:      v.Number,
		ID:          v.ChangeID,
		Time:        v.Time,
		Actor:       v.Author,
		Action:      ActionConfigAccept,
		Outcome:     OutcomeDone,
		Target:      fmt.Sprintf("version %d", v.Number),
		FromVersion: int64(v.Number) - 1,
		Detail:      v.Comment,
	}
	if v.RollbackTo > 0 {
		e.Action = ActionConfigRollback
		e.Target += fmt.Sprintf(" with the content of %d", v.RollbackTo)
	}
	return e
}
