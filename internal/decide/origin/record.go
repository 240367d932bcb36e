// Package origin decides what a fleet remembers of streams that may be resumed: which version of the
// engines' software began each, and which routers keep that. It reads no clock and does no I/O.
//
// Events of two versions don't fit together, so that a stream may only continue at the version that
// began it. A caller may resume it at any router, also when the one that began it is gone.
package origin

import (
	"crypto/sha256"
	"time"
)

// Key identifies a stream by the client account and the ID of the request that brought its first
// event.
type Key [16]byte

// KeyOf returns the key of a stream.
func KeyOf(account, requestID string) Key {
	h := sha256.New()
	// The separator can't be part of a header's value.
	_, _ = h.Write([]byte(account + "\x00" + requestID))
	return Key(h.Sum(nil))
}

// Record states which version began a stream.
type Record struct {
	Key Key
	// Service and Version are those of the engine. An empty version is not known: the engine may have
	// been restarted with another one.
	Service, Version string
	// Engine and Born are the engine of a record without a version, and the time of the start that its entry
	// stated: if that start still runs, the version of the entry began the stream. Routers of earlier releases
	// state neither.
	Engine string
	Born   int64
	// Writer identifies the exchange that the record is of, and Seq orders its records: a request that
	// fails before its first event may be sent to an engine of another version.
	Writer uint64
	Seq    uint32
	// Ambiguous is set if two requests with the same ID began streams at different versions.
	Ambiguous bool
	// Left is for how long the record is kept, and Age how long ago it was written.
	Left, Age time.Duration
}

// Known reports whether the record states a version.
func (r Record) Known() bool { return r.Version != "" && !r.Ambiguous }

// Settled returns the record that replaces one without a version.
func (r Record) Settled(version string) Record {
	r.Seq, r.Version, r.Engine, r.Born = r.Seq+1, version, "", 0
	return r
}

// sameOrigin reports whether both records state the same version.
func (r Record) sameOrigin(o Record) bool {
	return r.Service == o.Service && r.Version == o.Version && r.Ambiguous == o.Ambiguous
}

// Merge returns what two records of the same stream state together, in any order. A later record of
// the same exchange replaces an earlier one. Records of different exchanges either agree, as when a
// stream was resumed, or the stream is ambiguous.
func Merge(a, b Record) Record {
	left := max(a.Left, b.Left)
	out := a
	switch {
	case a.Ambiguous:
	case b.Ambiguous:
		out = b
	case a.Writer == b.Writer:
		if b.Seq > a.Seq {
			out = b
		}
	case !a.sameOrigin(b):
		out.Ambiguous = true
	case b.Writer < a.Writer:
		out = b
	}
	out.Left, out.Age = left, max(a.Age, b.Age)
	return out
}
