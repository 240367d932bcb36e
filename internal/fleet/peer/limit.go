package peer

import "net"

// maxMessage bounds one message of a call or a reply, in bytes: more than twice a configuration of 10,000 routes.
// Package gob accepts messages of 1 GB, of which a router that is faulty may send any number.
const maxMessage = 4 << 20

// limitedConn is a connection for calls whose messages are bounded. A message of package gob begins with its length:
// one byte up to 127, otherwise the negated number of bytes that hold it and these bytes, most significant first.
type limitedConn struct {
	net.Conn
	// left is the number of bytes that are left of the current message.
	left uint64
	// length is the part of a length that was read, and lengthLeft the number of bytes that it lacks.
	length     uint64
	lengthLeft int
	err        error
}

// Read implements net.Conn. Errors: ErrTooLong.
func (c *limitedConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if c.err = c.check(p[:n]); c.err != nil {
		return 0, c.err
	}
	return n, err
}

// check follows the messages in the received bytes. Errors: ErrTooLong.
func (c *limitedConn) check(p []byte) error {
	for len(p) > 0 {
		if c.left > 0 {
			skipped := min(c.left, uint64(len(p)))
			c.left -= skipped
			p = p[skipped:]
			continue
		}
		if err := c.readLength(p[0]); err != nil {
			return err
		}
		p = p[1:]
	}
	return nil
}

// maxLengthBytes is the number of bytes of the longest length.
const maxLengthBytes = 8

// readLength reads the next byte of the length of a message. Errors: ErrTooLong.
func (c *limitedConn) readLength(b byte) error {
	switch {
	case c.lengthLeft > 0:
		c.length = c.length<<8 | uint64(b)
		c.lengthLeft--
	case b <= 0x7f:
		c.length = uint64(b)
	default:
		c.length, c.lengthLeft = 0, -int(int8(b))
		if c.lengthLeft > maxLengthBytes {
			return ErrTooLong.New("message with a length of %d bytes", c.lengthLeft)
		}
	}
	if c.lengthLeft > 0 {
		return nil
	}
	if c.length > maxMessage {
		return ErrTooLong.New("message of %d bytes", c.length)
	}
	c.left = c.length
	return nil
}
