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
// DefaultLimit because a process reads many streams at once and few events are
// long.
const bufferSize = 4 << 10

// Event is one event. Its slices are valid until the next call of Next.
type Event struct {
	// ID is the id field as sent; ParseID reads a number from it.
	ID []byte
	// Data is the event's data. Several data lines are joined by newlines.
	Data []byte
}

// Reader splits a stream into events. It reuses its buffers, so reading an
// event allocates nothing. It is not safe for concurrent use.
type Reader struct {
	// OnComment, if set, is called for each comment line.
	OnComment func()

	src     *bufio.Reader
	limit   int
	line    []byte
	id      []byte
	data    []byte
	hasData bool
}

// NewReader returns a Reader that rejects lines and events longer than limit
// bytes. Zero or less means DefaultLimit.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Reader{src: bufio.NewReaderSize(r, bufferSize), limit: limit}
}

// Next returns the next event that has data. It returns io.EOF at the end of
// the stream and ErrTooLong for a line or an event beyond the limit. An event
// truncated before its blank line is dropped, as the specification demands, so
// a partial event never reaches a caller. Whether a response is complete is
// known only from its end marker.
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
		if err := r.addLine(line); err != nil {
			return Event{}, err
		}
	}
}

// readLine returns a line without its ending. The slice is valid until the next
// read.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		chunk, err := r.src.ReadSlice('\n')
		if len(r.line)+len(chunk) > r.limit {
			return nil, ErrTooLong.New("line exceeds %d bytes", r.limit)
		}
		if err == nil && len(r.line) == 0 {
			return trimLineEnd(chunk), nil
		}
		r.line = append(r.line, chunk...)
		if err == nil {
			return trimLineEnd(r.line), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func trimLineEnd(line []byte) []byte {
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte{'\r'})
}

// addLine adds one line to the current event. Unknown fields are skipped.
func (r *Reader) addLine(line []byte) error {
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
		return ErrTooLong.New("event exceeds %d bytes", r.limit)
	}
	r.data = append(r.data, value...)
	return nil
}
