// Package sse reads and writes the subset of server-sent events that streamed
// chat responses use: the fields id and data, and comments as heartbeats.
package sse

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// ErrTooLong is the class of errors for a line or an event beyond the reader's
// limit.
var ErrTooLong = errs.Class("sse: too long")

// NoID is the id of an event that has none.
const NoID = -1

// Heartbeat is a comment. Readers skip it, but it shows that the connection is
// alive.
const Heartbeat = ": heartbeat\n\n"

// AppendEvent appends one event to dst and returns the extended slice. An id of
// NoID is left out. Data that contains newlines is written as several data
// lines.
func AppendEvent(dst []byte, id int, data []byte) []byte {
	if id != NoID {
		dst = append(dst, "id: "...)
		dst = strconv.AppendInt(dst, int64(id), 10)
		dst = append(dst, '\n')
	}
	// A raw newline within the data would end the event early, and readers
	// would skip the rest as unknown fields.
	for line := range bytes.SplitSeq(data, newline) {
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
	}
	return append(dst, '\n')
}

var newline = []byte{'\n'}

// ParseID reads the id of an event that AppendEvent wrote. It returns ok false
// if the id is missing or is not a decimal number of at most nine digits. It
// allocates nothing.
func ParseID(text []byte) (id int, ok bool) {
	const maxDigits = 9
	if len(text) == 0 || len(text) > maxDigits {
		return 0, false
	}
	for _, digit := range text {
		if digit < '0' || digit > '9' {
			return 0, false
		}
		id = id*10 + int(digit-'0')
	}
	return id, true
}
