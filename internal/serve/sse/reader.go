package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// DefaultLimit bounds one line and one event, in bytes.
const DefaultLimit = 1 << 20

// bufferSize is the size of a stream's read buffer, in bytes. It is far below
// the limit, since a process reads many streams and few events are long.
const bufferSize = 4 << 10

// Event is one event. Its slices are valid until the next call of Next.
type Event struct {
	// ID is the field as it was sent; ParseID reads a number from it.
	ID []byte
	// Data is the event's data; several data lines are joined by newlines.
	Data []byte
}

// Reader splits a stream into events. It reuses its buffers, so that an event
// costs no allocation. It is not safe for concurrent use.
type Reader struct {
	// OnComment, if set, is called for each comment line.
	OnComment func()

	r       *bufio.Reader
	limit   int
	line    []byte
	id      []byte
	data    []byte
	hasData bool
}

// NewReader returns a Reader whose lines and events are bounded to limit bytes;
// zero means DefaultLimit.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Reader{r: bufio.NewReaderSize(r, bufferSize), limit: limit}
}

// Next returns the next event that has data. At the end of the stream it
// returns io.EOF; an event cut off before its blank line is dropped, as the
// specification demands, so half an event never reaches a caller. Whether the
// answer is whole, only its end marker tells.
func (r *Reader) Next() (Event, error) {
	r.id = r.id[:0]
	r.data = r.data[:0]
	r.hasData = false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 && r.hasData {
			return Event{ID: r.id, Data: r.data}, nil
		}
		if err := r.field(line); err != nil {
			return Event{}, err
		}
	}
}

// readLine returns a line without its ending; the slice is valid until the
// next read.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.r.ReadSlice('\n')
		if len(r.line)+len(part) > r.limit {
			return nil, ErrTooLong.New("line beyond %d bytes", r.limit)
		}
		if err == nil && len(r.line) == 0 {
			return trimEnd(part), nil
		}
		r.line = append(r.line, part...)
		if err == nil {
			return trimEnd(r.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func trimEnd(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// field takes in one line. Unknown fields are skipped.
func (r *Reader) field(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "":
		if hasColon && r.OnComment != nil {
			r.OnComment()
		}
	case "id":
		r.id = append(r.id[:0], value...)
	case "data":
		return r.addData(value)
	}
	return nil
}

func (r *Reader) addData(value []byte) error {
	if r.hasData {
		r.data = append(r.data, '\n')
	}
	r.hasData = true
	if len(r.data)+len(value) > r.limit {
		return ErrTooLong.New("event beyond %d bytes", r.limit)
	}
	r.data = append(r.data, value...)
	return nil
}
