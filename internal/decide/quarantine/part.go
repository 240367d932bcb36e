package quarantine

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
)

// ErrPart means that a text does not name a part of a prompt.
var ErrPart = errs.Class("prompt part")

// MaxParts is the number of parts of one prompt that are tracked. Of a longer prompt these are the
// first ones by a hash, so that requests with the same parts agree.
const MaxParts = 64

// maxPartID is the longest ID that is kept as it is, in bytes. Callers choose the IDs.
const maxPartID = 64

// Part is a part of prompts at a service. Prompts of any account may share it.
type Part struct {
	Service string
	// ID is the canonical form of the part's ID; see NewPart.
	ID string
}

// NewPart returns the part with an ID as stated by a caller. Hexadecimal IDs that differ only in case
// or in leading zeros are the same.
func NewPart(service, id string) Part {
	if isHex(id) {
		if id = strings.TrimLeft(strings.ToLower(id), "0"); id == "" {
			id = "0"
		}
	}
	if len(id) > maxPartID {
		sum := sha256.Sum256([]byte(id))
		id = "sha256:" + hex.EncodeToString(sum[:16])
	}
	return Part{Service: service, ID: id}
}

// NewParts returns the parts of a prompt, at most MaxParts.
func NewParts(service string, ids []string) []Part {
	out := make([]Part, len(ids))
	for i, id := range ids {
		out[i] = NewPart(service, id)
	}
	if len(out) <= MaxParts {
		return out
	}
	slices.SortFunc(out, func(a, b Part) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(a.ID), xxh3.HashString(b.ID)), strings.Compare(a.ID, b.ID))
	})
	out = slices.Compact(out)
	return out[:min(len(out), MaxParts)]
}

func isHex(text string) bool {
	for i := range len(text) {
		c := text[i] | 0x20
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return len(text) > 0
}

// String returns the part as SERVICE/ID.
func (p Part) String() string { return p.Service + "/" + p.ID }

// ParsePart is the inverse of String. Errors: ErrPart.
func ParsePart(text string) (Part, error) {
	service, id, ok := strings.Cut(text, "/")
	if !ok || service == "" || id == "" {
		return Part{}, ErrPart.New("%q is not SERVICE/ID", text)
	}
	return NewPart(service, id), nil
}
