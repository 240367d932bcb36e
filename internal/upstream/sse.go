package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// sseBuffer is the size of a stream's read buffer, in bytes.
const sseBuffer = 4 << 10

// sseEvent is one event. Its slices are valid until the next read.
type sseEvent struct {
	id   []byte
	data []byte
}

// sseReader splits a body into server-sent events. It reuses its buffers, so
// that a chunk costs no allocation.
type sseReader struct {
	r       *bufio.Reader
	max     int
	line    []byte
	id      []byte
	data    []byte
	hasData bool
}

func newSSEReader(r io.Reader, limit int) *sseReader {
	return &sseReader{r: bufio.NewReaderSize(r, sseBuffer), max: limit}
}

// next returns the next event that has data. At the end of the body it
// returns io.EOF; an event cut off before its blank line is dropped, as the
// specification demands, so half an event never reaches a caller.
func (s *sseReader) next() (sseEvent, error) {
	s.id = s.id[:0]
	s.data = s.data[:0]
	s.hasData = false
	for {
		line, err := s.readLine()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 && s.hasData {
			return sseEvent{id: s.id, data: s.data}, nil
		}
		if err := s.field(line); err != nil {
			return sseEvent{}, err
		}
	}
}

// readLine returns a line without its ending; the slice is valid until the
// next read.
func (s *sseReader) readLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.r.ReadSlice('\n')
		if len(s.line)+len(part) > s.max {
			return nil, ErrTooLarge.New("line beyond %d bytes", s.max)
		}
		if err == nil && len(s.line) == 0 {
			return trimEnd(part), nil
		}
		s.line = append(s.line, part...)
		if err == nil {
			return trimEnd(s.line), nil
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

// field takes in one line. Comments and unknown fields are skipped.
func (s *sseReader) field(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		s.id = append(s.id[:0], value...)
	case "data":
		return s.addData(value)
	}
	return nil
}

func (s *sseReader) addData(value []byte) error {
	if s.hasData {
		s.data = append(s.data, '\n')
	}
	s.hasData = true
	if len(s.data)+len(value) > s.max {
		return ErrTooLarge.New("event beyond %d bytes", s.max)
	}
	s.data = append(s.data, value...)
	return nil
}
