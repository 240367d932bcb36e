// Package sse reads and writes server-sent events, as far as streamed chat
// answers need them: the fields id and data, and comments as heartbeats.
package sse

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// ErrTooLong is returned for a line or an event beyond the reader's bound.
var ErrTooLong = errs.Class("sse: too long")

// NoID is the id of an event that carries none.
const NoID = -1

// Heartbeat is a comment: readers skip it, but it shows that the connection lives.
const Heartbeat = ": heartbeat\n\n"

// AppendEvent appends one event to dst. An id of NoID is left out. Data must
// be one line.
func AppendEvent(dst []byte, id int, data []byte) []byte {
	if id != NoID {
		dst = append(dst, "id: "...)
		dst = strconv.AppendInt(dst, int64(id), 10)
		dst = append(dst, '\n')
	}
	// A line break within the data would end the event early, and the rest of
	// it would be read as fields that nobody knows.
	for line := range bytes.SplitSeq(data, newline) {
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}

var newline = []byte{'\n'}

// ParseID reads the id of an event that AppendEvent wrote; ok is false where it
// is missing or not a number of at most nine digits. It allocates nothing.
func ParseID(b []byte) (id int, ok bool) {
	const maxDigits = 9
	if len(b) == 0 || len(b) > maxDigits {
		return 0, false
	}
	for _, d := range b {
		if d < '0' || d > '9' {
			return 0, false
		}
		id = id*10 + int(d-'0')
	}
	return id, true
}
