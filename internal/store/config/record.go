package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Tables of the chain. Each accepted version writes all of them in one
// transaction.
const (
	// TableHead has one row, HeadKey, with the active version.
	TableHead = "config_head"
	// TableVersions has one row per version, keyed by zero-padded number.
	TableVersions = "config_versions"
	// TableChanges has one row per change with its version, keyed by change id.
	TableChanges = "config_changes"
	// TableAudit is the audit trail, keyed by zero-padded number and change id.
	TableAudit = "audit"
	// HeadKey is the key of the only row of TableHead.
	HeadKey = "head"
)

// ObjectPrefix is the prefix of the name of a bundle in the object store; the
// rest of the name is the bundle's hash.
const ObjectPrefix = "config/"

// Sizes of bundles, in bytes.
const (
	// MaxEncodedBytes is the maximum size of a bundle's canonical encoding.
	MaxEncodedBytes = 16 << 20
	// MaxInlineBytes is the maximum size of a compressed bundle that is stored
	// in the version row itself; a larger one is stored in the object store. A
	// row holds 64 KB, and the base64 encoding in the row adds a third to the
	// size of the bundle.
	MaxInlineBytes = 40 << 10
)

// AuditAccepted is the action of an audit entry for an accepted change.
const AuditAccepted = "config.accept"

// versionDigits is the number of digits of the largest uint64. Keys are padded
// to it, so that they sort by number.
const versionDigits = 20

// Head identifies the active version. The zero Head is that of an empty chain.
type Head struct {
	Version uint64 `json:"version"`
	Hash    Hash   `json:"hash"`
}

// Version is one entry of the chain.
type Version struct {
	// Number is the number of the version; the first is 1.
	Number uint64 `json:"version"`
	// Hash is the hash of Bundle, Previous that of the preceding version.
	Hash     Hash `json:"hash"`
	Previous Hash `json:"previous"`
	// ChangeID is the id that the author chose for the change.
	ChangeID string `json:"change_id"`
	Author   string `json:"author"`
	// Time is when the change was accepted, by the clock of the router that
	// accepted it. It is not used for ordering.
	Time    time.Time `json:"time"`
	Comment string    `json:"comment,omitempty"`
	// RollbackTo is the version whose content a rollback restored, or 0.
	RollbackTo uint64 `json:"rollback_to,omitempty"`
	// Withdraw reports whether the author waived the check for withdrawals.
	Withdraw bool `json:"withdraw,omitempty"`
	// Bundle is the content. History does not return it.
	Bundle Bundle `json:"-"`
}

// AuditEntry is the row of the audit trail for a version.
type AuditEntry struct {
	Action string `json:"action"`
	Version
}

// storedVersion is the row of a version, with either the compressed bundle or the
// name of its object.
type storedVersion struct {
	Version
	Packed []byte `json:"packed,omitempty"`
	Object string `json:"object,omitempty"`
}

// changeRow is the row of a change id: the version that it was accepted as.
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

// pack returns the canonical encoding of a bundle, compressed with gzip.
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

// unpack decodes the output of pack and checks it against the hash. It limits the
// decompressed size, because a few damaged bytes can expand to gigabytes.
func unpack(packed []byte, hash Hash) (Bundle, error) {
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
	if actual := b.Hash(); actual != hash {
		return Bundle{}, ErrCorrupt.New("bundle has hash %s, not %s", actual, hash)
	}
	return b, nil
}

// encodeRow encodes a row of the chain as JSON. Rows have only fields that are
// always encodable, so encoding can't fail.
func encodeRow(row any) []byte {
	data, _ := json.Marshal(row)
	return data
}

func decodeRow(data []byte, row any) error {
	return ErrCorrupt.Wrap(json.Unmarshal(data, row))
}
