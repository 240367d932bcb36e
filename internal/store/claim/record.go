// Package claim executes non-idempotent requests at most once.
//
// A claim row is written to the table service before the first byte of a
// request goes upstream. Whoever wrote the row may send; everybody else gets
// the stored answer or learns that the outcome is unknown. README.md gives
// the reasons for the protocol.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// Table is the name of the claims' table.
const Table = "claims"

// State is the progress of a claimed request.
type State string

// The states of a claim.
const (
	// StateClaimed means that the holder may have sent the request.
	StateClaimed State = "claimed"
	// StateDone means that the request ran and its answer came back.
	StateDone State = "done"
	// StateUnknown means that the request was sent and no answer came.
	StateUnknown State = "unknown"
	// StateRefused means that the request provably did not run; the key may
	// be claimed again.
	StateRefused State = "refused"
)

// Key names an operation of one client account.
type Key struct {
	Account        string
	IdempotencyKey string
	// Service is recorded for operators.
	Service string
	// Deduplicates says that the service recognises a repeated key itself,
	// so that a claim may be taken over and the request sent again.
	Deduplicates bool
}

// row returns the row's key. The hash has a fixed length and contains no
// slash, so two accounts never share a row, whatever characters their names
// contain. The hash is cryptographic because callers choose the keys.
func (k Key) row() string {
	return k.Account + "/" + hash([]byte(k.IdempotencyKey))
}

func (k Key) check() error {
	if k.Account == "" {
		return ErrBadKey.New("no account")
	}
	if k.IdempotencyKey == "" {
		return ErrBadKey.New("no idempotency key")
	}
	return nil
}

// BodyHash identifies the body of a request.
type BodyHash string

// HashBody returns the hash of a request body.
func HashBody(body []byte) BodyHash { return BodyHash(hash(body)) }

func hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Answer is an upstream's whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// storedAnswer is an answer as the row keeps it.
type storedAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// Object names the blob that holds a body too large for the row.
	Object string `json:"object,omitempty"`
	// Lost says that the body could not be kept.
	Lost bool `json:"lost,omitempty"`
}

// record is the value of a claim row.
type record struct {
	// Token is the random name of the claim; a writer whose reply was lost
	// recognises its own row by it.
	Token    string        `json:"token"`
	BodyHash BodyHash      `json:"body_hash"`
	Account  string        `json:"account"`
	Service  string        `json:"service"`
	Router   string        `json:"router"`
	State    State         `json:"state"`
	Answer   *storedAnswer `json:"answer,omitempty"`
	// SweepRound is the round of retention that first saw the claim finished.
	SweepRound uint64 `json:"sweep_round,omitempty"`
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, ErrCorrupt.Wrap(err)
}

func decode(row platform.Row) (record, error) {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, ErrCorrupt.Wrap(err)
	}
	return r, nil
}
