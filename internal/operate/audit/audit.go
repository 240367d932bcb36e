// Package audit is the trail of what operators did: who, what, when, and from
// which version. Accepted configurations write their entry in the transaction that
// accepts them (package config); this package writes the entries of all other
// changes, and reads both as one list.
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/zeebo/errs"
)

// Tables of the trail. Neither ever loses a row.
const (
	// Table holds the entries of operations, by zero-padded number.
	Table = "audit_operations"
	// TableHead holds one row, headKey, with the number of the last entry.
	TableHead = "audit_head"

	headKey = "head"
)

var (
	// ErrCorrupt means that a row of the trail can't be decoded.
	ErrCorrupt = errs.Class("audit: corrupt row")
	// ErrCursor means that a cursor was not issued by Trail.Page.
	ErrCursor = errs.Class("audit: bad cursor")
	// ErrContended means that other operations kept taking the next number.
	// Nothing was written.
	ErrContended = errs.Class("audit: contended")
)

// Action names what was done.
type Action string

// The actions in the trail.
const (
	ActionConfigAccept   Action = config.AuditAccepted
	ActionConfigRollback Action = "config.rollback"
	ActionOperatorAdd    Action = "operator.add"
	ActionOperatorRevoke Action = "operator.revoke"
	ActionClaimResolve   Action = "claim.resolve"
)

// Outcome says how far an operation got.
type Outcome string

// The outcomes.
const (
	// OutcomeDone is that of an entry written together with its change, or
	// after it.
	OutcomeDone Outcome = "done"
	// OutcomeBegun is that of an entry written before a change that can't be
	// part of the entry's transaction. Without a later entry of the same ID
	// the change may or may not have taken effect.
	OutcomeBegun Outcome = "begun"
	// OutcomeFailed says that the change did not take effect.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown says that the change may have taken effect.
	OutcomeUnknown Outcome = "unknown"
)

// Entry is one line of the trail.
type Entry struct {
	// Number counts the entries of operations, or is the configuration's
	// version for an accepted change.
	Number uint64 `json:"number"`
	// ID is the same for all entries of one operation.
	ID      string    `json:"id"`
	Time    time.Time `json:"time"`
	Actor   string    `json:"actor"`
	Action  Action    `json:"action"`
	Outcome Outcome   `json:"outcome"`
	// Team owns what was changed; empty for what belongs to the whole fleet.
	Team string `json:"team,omitempty"`
	// Target names what was changed.
	Target string `json:"target,omitempty"`
	// FromVersion is the version that the change was made from: of the
	// configuration, or of the changed row. 0 means that there was none.
	FromVersion int64  `json:"from_version"`
	Detail      string `json:"detail,omitempty"`
}

// keyDigits holds the largest uint64, so that keys sort by number.
const keyDigits = 20

func key(number uint64) string { return fmt.Sprintf("%0*d", keyDigits, number) }

// headRow is the value of the head row.
type headRow struct {
	Number uint64 `json:"number"`
}

// encode encodes a row. The rows hold only plain fields, so the encoder
// cannot fail.
func encode(row any) []byte {
	data, _ := json.Marshal(row)
	return data
}

func decode(data []byte, row any) error { return ErrCorrupt.Wrap(json.Unmarshal(data, row)) }

// ofVersion is the entry of an accepted configuration.
func ofVersion(v config.Version) Entry {
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
