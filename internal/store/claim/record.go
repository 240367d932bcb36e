// Package claim ensures that non-idempotent requests are executed at most once.
//
// A claim row is written to the table service before the first byte of a
// request is sent upstream. Only the holder of the claim may send the request;
// all others get the stored response, or an error that the outcome is unknown.
// README.md gives the reasons for the protocol.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// Table is the name of the table that holds claims.
const Table = "claims"

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateClaimed means that the holder may have sent the request.
	StateClaimed State = "claimed"
	// StateDone means that the request was executed.
	StateDone State = "done"
	// StateUnknown means that the request was sent and no response was received.
	StateUnknown State = "unknown"
	// StateRefused means that the request was provably not executed; the key
	// may be claimed again.
	StateRefused State = "refused"
)

// Key names an operation of one client account.
type Key struct {
	Account        string
	IdempotencyKey string
	// Service is stored in the claim for operators.
	Service string
	// Deduplicates means that the service itself deduplicates requests by key,
	// so that a claim may be replaced and the request sent again.
	Deduplicates bool
}

// rowKey returns the key of the claim's row. The hash has a fixed length and
// contains no slash, so two accounts never share a row, regardless of the
// characters in their names. It is cryptographic because callers choose the keys.
func (k Key) rowKey() string {
	return k.Account + "/" + hash([]byte(k.IdempotencyKey))
}

func (k Key) validate() error {
	if k.Account == "" {
		return ErrBadKey.New("no account")
	}
	if k.IdempotencyKey == "" {
		return ErrBadKey.New("no idempotency key")
	}
	return nil
}

// BodyHash is the SHA-256 hash of a request body, in hexadecimal.
type BodyHash string

// HashBody returns the hash of a request body.
func HashBody(body []byte) BodyHash { return BodyHash(hash(body)) }

func hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Response is the complete response of an upstream.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
}

// storedResponse is a response as stored in the row.
type storedResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body,omitempty"`
	// Object is the name of the object that holds a body too large for the row.
	Object string `json:"object,omitempty"`
	// Lost reports that the body could not be stored.
	Lost bool `json:"lost,omitempty"`
}

// record is the value of a claim row.
type record struct {
	// Token is the unique token of the claim, by which a writer recognises its
	// own row after a lost reply.
	Token    string          `json:"token"`
	BodyHash BodyHash        `json:"body_hash"`
	Account  string          `json:"account"`
	Service  string          `json:"service"`
	Router   string          `json:"router"`
	State    State           `json:"state"`
	Answer   *storedResponse `json:"answer,omitempty"`
	// SweepRound is the first retention round that found the claim done or
	// refused.
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
