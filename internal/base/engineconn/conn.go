package engineconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection, if Options don't. Within a site
	// it takes about two milliseconds; a lost packet costs a second, in which another
	// engine would have answered.
	dialTimeout = 300 * time.Millisecond
	// unackedTimeout ends a connection whose other end acknowledges nothing.
	// A VM without power neither answers nor resets, and without this the
	// request would wait until its own time limit. It is shorter than the
	// second after which packets of a healthy but lossy link are sent the
	// third time.
	unackedTimeout = 1200 * time.Millisecond
	// Keep-alive probes find an engine that is gone while a request waits for
	// its answer, when nothing is unacknowledged.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// readBuffer holds the header of an answer and some events of a stream.
	readBuffer = 4 << 10
)

// Traffic counts the bytes of some requests and their answers, as they pass the
// connection.
type Traffic struct{ In, Out atomic.Int64 }

// conn is one connection to an engine.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// traffic counts the bytes of the request that has the connection; nil for none.
	traffic atomic.Pointer[Traffic]
	// opened is the boot time at which it was opened, idleSince of its return to the
	// pool.
	opened, idleSince time.Duration
	// keep is how long it may stay idle.
	keep time.Duration
	// reused means that an earlier request had it.
	reused bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if t := c.traffic.Load(); t != nil {
		t.In.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn. It counts first: the answer may be read before the writer
// goes on.
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

// abandon closes a connection whose request has no answer. Bytes that the other end has not
// acknowledged are dropped: the kernel would go on sending them, and an engine that is cut off would
// get the request seconds after everybody has given it up. Where all has arrived, an ordinary close
// tells the engine to stop its work, also if packets are lost.
func (c *conn) abandon() {
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok && c.unacknowledged(tcp) {
		// The error says that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// unacknowledged says whether bytes are under way, or can't be told not to be.
func (c *conn) unacknowledged(tcp *net.TCPConn) bool {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	queued, queryErr := 0, error(nil)
	err = raw.Control(func(fd uintptr) { queued, queryErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return err == nil && (queryErr != nil || queued > 0)
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialTCP opens a connection on which an end that is gone is noticed.
func dialTCP(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: limitUnacked,
	}
	return d.DialContext(ctx, network, address)
}

// dial opens a connection. Errors: ErrNotSent.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.opts.DialTimeout)
	defer cancel()
	raw, err := p.opts.Dial(ctx, "tcp4", address)
	if err != nil {
		return nil, ErrNotSent.Wrap(err)
	}
	c := &conn{Conn: raw, opened: p.opts.Clock()}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

func limitUnacked(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// clean says whether the idle connection is open and has nothing to read. An
// engine may have closed it, or sent bytes that belong to no request, such as a
// second answer to an earlier one.
func (c *conn) clean() bool {
	if c.reader.Buffered() > 0 {
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
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// keepFor reads how long an idle connection is kept by the other end, from a
// Keep-Alive header; zero means that it doesn't say.
func keepFor(header string) time.Duration {
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
