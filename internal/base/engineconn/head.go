package engineconn

import (
	"bufio"
	"bytes"
	"io"

	"damaskrouter.example/damaskrouter/internal/base/httpcheck"
)

// awaitHeader waits for the header of the next response, and checks each line of it as it arrives: net/http, which reads
// the header then, accepts more than HTTP does. Nothing is taken from the reader. Errors: httpcheck.Error, ErrTooLong, those of Read.
func (c *conn) awaitHeader() error {
	var head httpcheck.Head
	for at := 0; ; {
		line, err := c.peekLine(at)
		if err != nil {
			return err
		}
		at += len(line)
		done, err := head.Line(bytes.TrimSuffix(line[:len(line)-1], []byte("\r")))
		if done || err != nil {
			return err
		}
	}
}

// peekLine returns the line that begins at an offset in the reader, with its end. Errors: ErrTooLong, those of Read.
func (c *conn) peekLine(at int) ([]byte, error) {
	for searched := at; ; {
		// As many bytes as are buffered can always be returned.
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.IndexByte(buffered[searched:], '\n'); end >= 0 {
			return buffered[at : searched+end+1], nil
		}
		searched = len(buffered)
		switch {
		case searched >= maxHeader:
			return nil, errHeaderTooLong()
		case searched == c.reader.Size():
			c.enlargeBuffer()
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

// enlargeBuffer doubles the buffer for a header that does not fit.
func (c *conn) enlargeBuffer() {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c), 2*c.reader.Size())
	_, _ = c.reader.Peek(len(buffered))
}

// resetBuffer undoes enlargeBuffer. The buffer must be empty.
func (c *conn) resetBuffer() {
	if c.reader.Size() > readBufferSize {
		c.reader = bufio.NewReaderSize(c, readBufferSize)
	}
}
