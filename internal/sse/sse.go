// Package sse reads and writes server-sent events, as far as streamed chat
// answers need them: the fields id and data, one data line per event, and
// comments as heartbeats.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/zeebo/errs"
)

// Errors of this package.
var (
	// ErrTooLong is returned for a line beyond the reader's bound.
	ErrTooLong = errs.Class("sse: line too long")
	// ErrSyntax is returned for a field this package does not know how to read.
	ErrSyntax = errs.Class("sse: syntax")
)

// NoID is the ID of an event that carries none.
const NoID = -1

// DefaultMaxLine bounds one line, in bytes.
const DefaultMaxLine = 1 << 20

// Event is one event or, when Comment is set, one heartbeat.
type Event struct {
	// ID is the event's number, or NoID.
	ID int
	// Data is valid until the next call of Next.
	Data []byte
	// Comment is set for a comment line; Data is then empty.
	Comment bool
}

// Reader reads events from a stream.
type Reader struct {
	br   *bufio.Reader
	data []byte
}

// NewReader returns a Reader whose lines are bounded to maxLine bytes;
// zero means DefaultMaxLine.
func NewReader(r io.Reader, maxLine int) *Reader {
	if maxLine <= 0 {
		maxLine = DefaultMaxLine
	}
	return &Reader{br: bufio.NewReaderSize(r, maxLine)}
}

// Next returns the next event or comment. A stream that ends between events
// gives io.EOF; one that ends inside an event gives io.ErrUnexpectedEOF, so
// that half an event is never taken for a whole one.
func (r *Reader) Next() (Event, error) {
	ev := Event{ID: NoID}
	started := false
	for {
		line, err := r.line(started)
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if started {
				return ev, nil
			}
			continue
		}
		if line[0] == ':' {
			if !started {
				return Event{ID: NoID, Comment: true}, nil
			}
			continue
		}
		started = true
		if err := r.field(&ev, line); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) line(inEvent bool) ([]byte, error) {
	line, err := r.br.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		return nil, ErrTooLong.New("over %d bytes", r.br.Size())
	}
	if err == io.EOF && (inEvent || len(line) > 0) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (r *Reader) field(ev *Event, line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		r.data = append(r.data[:0], value...)
		ev.Data = r.data
	case "id":
		n, err := strconv.Atoi(string(value))
		if err != nil || n < 0 {
			return ErrSyntax.New("id %q", value)
		}
		ev.ID = n
	}
	return nil
}

// AppendEvent appends one event to dst. An id of NoID is left out.
func AppendEvent(dst []byte, id int, data []byte) []byte {
	if id != NoID {
		dst = append(dst, "id: "...)
		dst = strconv.AppendInt(dst, int64(id), 10)
		dst = append(dst, '\n')
	}
	dst = append(dst, "data: "...)
	dst = append(dst, data...)
	return append(dst, '\n', '\n')
}

// Heartbeat is a comment: readers skip it, but it shows that the connection lives.
const Heartbeat = ": heartbeat\n\n"
