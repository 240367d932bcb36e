package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Tables of the chain. They are written only together, in one transaction.
const (
	// TableHead holds one row, HeadKey, with the version in force.
	TableHead = "config_head"
	// TableVersions holds every version, by zero-padded number.
	TableVersions = "config_versions"
	// TableChanges holds the version of every change, by change id.
	TableChanges = "config_changes"
	// TableAudit is the audit trail, by zero-padded number and change id.
	TableAudit = "audit"
	// HeadKey is the key of the head row.
	HeadKey = "head"
)

// ObjectPrefix starts the name of a bundle in the object store; the bundle's
// hash follows.
const ObjectPrefix = "config/"

// Sizes of bundles, in bytes.
const (
	// MaxEncodedBytes bounds a bundle's canonical encoding.
	MaxEncodedBytes = 16 << 20
	// MaxInlineBytes bounds the compressed bundle that is kept in the version
	// row itself; a larger one goes to the object store. A row holds 64 KB, and
	// the bundle grows by a third when it is encoded.
	MaxInlineBytes = 40 << 10
)

// AuditAccepted is the action of an audit entry for an accepted change.
const AuditAccepted = "config.accept"

// versionDigits holds the largest uint64, so that keys sort by number.
const versionDigits = 20

// Head names the version in force. The zero Head is that of an empty chain.
type Head struct {
	Version uint64 `json:"version"`
	Hash    Hash   `json:"hash"`
}

// Version is one entry of the chain.
type Version struct {
	// Number counts the versions from 1.
	Number uint64 `json:"version"`
	// Hash is that of Bundle, Previous that of the version before.
	Hash     Hash `json:"hash"`
	Previous Hash `json:"previous"`
	// ChangeID is the id that the author gave the change.
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	// Time is when the change was accepted, by the clock of the router that
	// did so; it orders nothing.
	Time    time.Time `json:"time"`
	Comment string    `json:"comment,omitempty"`
	// RollbackTo is the version whose content this one repeats, or 0.
	RollbackTo uint64 `json:"rollback_to,omitempty"`
	// Withdraw says that the author waived the check for withdrawals.
	Withdraw bool `json:"withdraw,omitempty"`
	// Bundle is the content. History leaves it out.
	Bundle Bundle `json:"-"`
}

// AuditEntry is the row that the audit trail keeps of a version.
type AuditEntry struct {
	Action string `json:"action"`
	Version
}

// storedVersion is a version row: the bundle compressed, or its object's name.
type storedVersion struct {
	Version
	Packed []byte `json:"packed,omitempty"`
	Object string `json:"object,omitempty"`
}

// changeRow says what a change id was used for.
type changeRow struct {
	Version uint64 `json:"version"`
	Hash    Hash   `json:"hash"`
}

func versionKey(number uint64) string {
	return fmt.Sprintf("%0*d", versionDigits, number)
}

func auditKey(v Version) string {
	return versionKey(v.Number) + "/" + v.ChangeID
}

// pack compresses a bundle.
func pack(b Bundle) ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(b.Encode()); err != nil {
		return nil, ErrCorrupt.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, ErrCorrupt.Wrap(err)
	}
	return buf.Bytes(), nil
}

// unpack reads what pack wrote and checks it against the hash. The size is
// bounded first: a few damaged bytes can claim gigabytes.
func unpack(packed []byte, want Hash) (Bundle, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return Bundle{}, ErrCorrupt.Wrap(err)
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxEncodedBytes+1))
	if err != nil {
		return Bundle{}, ErrCorrupt.Wrap(err)
	}
	if len(data) > MaxEncodedBytes {
		return Bundle{}, ErrCorrupt.New("bundle is larger than %d bytes", MaxEncodedBytes)
	}
	b, err := DecodeBundle(data)
	if err != nil {
		return Bundle{}, err
	}
	if got := b.Hash(); got != want {
		return Bundle{}, ErrCorrupt.New("bundle has hash %s, not %s", got, want)
	}
	return b, nil
}

// encodeRow encodes a row of the chain. The rows hold only plain fields, so
// the encoder cannot fail.
func encodeRow(row any) []byte {
	data, _ := json.Marshal(row)
	return data
}

func decodeRow(data []byte, row any) error {
	return ErrCorrupt.Wrap(json.Unmarshal(data, row))
}
