package engineconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// defaultDialTimeout bounds the opening of a connection, unless Options
	// sets another bound. Within a site it takes about two milliseconds; a lost
	// packet costs a second, in which another engine would have responded.
	defaultDialTimeout = 300 * time.Millisecond
	// silenceLimit ends a connection on which the peer has acknowledged nothing for so long. A VM
	// without power neither responds nor resets the connection, and a sound one may stand still for a
	// second or two. What was sent to it can't be sent elsewhere, so nothing is gained by an earlier
	// end.
	silenceLimit = 5 * time.Second
	// repeatableSilenceLimit is the same while a connection carries a request that can go to another
	// engine. On a lossy link, packets are sent for the third time after about a second.
	repeatableSilenceLimit = 1200 * time.Millisecond
	// Keep-alive probes detect a dead engine while a request waits for its response and all sent data
	// has been acknowledged. As TCP_USER_TIMEOUT is set, it decides how long they may remain
	// unanswered, and not their count.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// readBufferSize fits the header of a response and some events of a stream, in
	// bytes.
	readBufferSize = 4 << 10
)

// Traffic counts the bytes of requests (Out) and their responses (In) as they
// pass the connection.
type Traffic struct{ In, Out atomic.Int64 }

// conn is one connection to an engine.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// traffic counts the bytes of the current request; nil if they are not
	// counted.
	traffic atomic.Pointer[Traffic]
	// openedAt and idleSince are the readings of the boot clock when the connection
	// was opened and when it was last returned to the pool.
	openedAt, idleSince time.Duration
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// readErr is why a read has failed, or nil. Without one, an error is about the bytes that were received.
	readErr error
	// endAge is how long ago at most the end of the connection had arrived when a read returned it; zero if that is not
	// known.
	endAge time.Duration
	// headerLeft is how many bytes may be read before the body of a response; negative while a body is read.
	headerLeft int64
	// reused is set if an earlier request used the connection.
	reused bool
	// silenceLimit is the limit that is set; zero if it is that of a new connection.
	silenceLimit time.Duration
}

// Read implements net.Conn. Errors: ErrTooLong before the body of a response.
func (c *conn) Read(b []byte) (int, error) {
	if c.headerLeft == 0 {
		return 0, errHeaderTooLong()
	}
	if c.headerLeft > 0 {
		b = b[:min(int64(len(b)), c.headerLeft)]
	}
	n, err := c.Conn.Read(b)
	if c.headerLeft > 0 {
		c.headerLeft -= int64(n)
	}
	if t := c.traffic.Load(); t != nil {
		t.In.Add(int64(n))
	}
	if errors.Is(err, io.EOF) && c.via() == "" && WasReset(c.Conn) {
		// A write, or a look for data, got the error.
		err = syscall.ECONNRESET
	}
	if errors.Is(err, io.EOF) {
		c.endAge = sinceLastData(c.Conn)
	}
	if err != nil {
		c.readErr = err
	}
	return n, err
}

func errHeaderTooLong() error {
	return ErrTooLong.New("more than %d bytes before the body of a response", maxHeader)
}

// Write implements net.Conn. It counts before it writes, since the response may
// be read before the writing goroutine continues.
func (c *conn) Write(b []byte) (int, error) {
	t := c.traffic.Load()
	if t == nil {
		return c.Conn.Write(b)
	}
	t.Out.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	t.Out.Add(int64(n - len(b)))
	return n, err
}

// via returns the router that relays the connection, or an empty string.
func (c *conn) via() string {
	if r, ok := c.Conn.(interface{ Via() string }); ok {
		return r.Via()
	}
	return ""
}

// abort closes a connection whose request has no response.
func (c *conn) abort() { Abort(c.Conn) }

// lingerer is a connection that can be reset.
type lingerer interface{ SetLinger(seconds int) error }

// Abort closes a connection to an engine whose request has no response. If the peer has not
// acknowledged all data, the rest is discarded and the connection reset:
// otherwise the kernel would keep sending, and an engine that was unreachable
// would receive the request seconds after it was aborted. If all data has
// arrived, an ordinary close signals the engine to stop the execution, even if
// packets are lost.
func Abort(c net.Conn) {
	if l, ok := c.(lingerer); ok && hasUnackedData(c) {
		// An error means that the connection is already closed.
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}

// hasUnackedData reports whether the peer has yet to acknowledge data. It also
// returns true if the kernel can't tell for an open connection.
func hasUnackedData(c net.Conn) bool {
	queued, queryErr := 0, error(nil)
	err := control(c, func(fd int) { queued, queryErr = unix.IoctlGetInt(fd, unix.SIOCOUTQ) })
	return err == nil && (queryErr != nil || queued > 0)
}

// control calls f with the socket of a connection, beside a read or write that may be in progress. Errors:
// errors.ErrUnsupported if the connection has none, net.ErrClosed.
func control(c net.Conn, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DialTCP opens a TCP connection that detects a dead peer.
func DialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	return DialFrom(nil)(ctx, network, address)
}

// DialFrom returns DialTCP for connections from an IP address, or from any if it is nil.
func DialFrom(ip net.IP) DialFunc {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	if ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d.DialContext
}

// dial opens a connection. Errors: ErrNotSent.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, "tcp4", address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	c := &conn{Conn: raw, openedAt: p.opts.Clock(), headerLeft: -1}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return setSilenceLimit(raw, silenceLimit)
}

func setSilenceLimit(raw syscall.RawConn, limit time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// limitSilence sets how long the peer may acknowledge nothing during the next request.
func (c *conn) limitSilence(repeatable bool) {
	limit := silenceLimit
	if repeatable {
		limit = repeatableSilenceLimit
	}
	if c.silenceLimit == limit || c.silenceLimit == 0 && limit == silenceLimit {
		return
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	// An error means that the connection is closed, which the request will find.
	if err == nil && setSilenceLimit(raw, limit) == nil {
		c.silenceLimit = limit
	}
}

// reusable reports whether the idle connection is open and has no data to read.
// The engine may have closed it, or sent bytes that belong to no request, such
// as a second response to an earlier one.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if r, ok := c.Conn.(interface{ Reusable() bool }); ok && !r.Reusable() {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		quiet = isQuiet(int(fd))
		return true
	})
	return err == nil && quiet
}

// open reports whether the peer has not closed the connection, as far as the kernel knows. It returns
// false if there is data to read, behind which the end may be.
func (c *conn) open() bool {
	_, err := c.peek()
	return errors.Is(err, unix.EAGAIN)
}

// hasData reports whether there is data to read on a direct connection that is idle.
func (c *conn) hasData() bool {
	if c.via() != "" {
		// Data in a tunnel may be a mark of the relay.
		return false
	}
	n, err := c.peek()
	return err == nil && n > 0
}

// peek looks for a byte to read, and leaves it there. It returns EAGAIN if there is none yet, and zero at
// the end. Unlike a read, it does not wait for one that is in progress.
func (c *conn) peek() (n int, err error) {
	var peekErr error
	err = control(c.Conn, func(fd int) { n, peekErr = peekSocket(fd) })
	return n, errors.Join(err, peekErr)
}

// WasReset reports whether the kernel knows that a connection has broken, at the end of which its peer may not have closed
// it: the kernel reports an error to one call only, and to a read after that as the end of the stream.
func WasReset(c net.Conn) bool {
	events, err := Poll(c, 0)
	return err == nil && events&(unix.POLLHUP|unix.POLLERR) != 0
}

// sinceLastData returns how long ago the last data of the peer arrived; zero if the kernel does not tell. The end of a
// connection itself is no data, and acknowledgements of keep-alive probes follow it.
func sinceLastData(c net.Conn) (age time.Duration) {
	// An error means that the kernel does not tell.
	_ = control(c, func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return age
}

// Poll returns which of the events of poll(2) the socket of a connection has now, besides POLLHUP and POLLERR. It takes
// neither data nor an error from the socket.
func Poll(c net.Conn, events int16) (int16, error) {
	var polled [1]unix.PollFd
	var pollErr error
	err := control(c, func(fd int) {
		polled[0] = unix.PollFd{Fd: int32(fd), Events: events}
		_, pollErr = unix.Poll(polled[:], 0)
	})
	return polled[0].Revents, errors.Join(err, pollErr)
}

// isQuiet reports whether a socket is open and has no data to read.
func isQuiet(fd int) bool {
	_, err := peekSocket(fd)
	return errors.Is(err, unix.EAGAIN)
}

func peekSocket(fd int) (n int, err error) {
	var buf [1]byte
	n, _, err = unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n, err
}

// parseKeepAlive returns the timeout of a Keep-Alive header, for which the peer
// keeps an idle connection open. It returns zero if the header has no valid
// timeout.
func parseKeepAlive(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second
	}
	return 0
}
