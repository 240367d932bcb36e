package reach

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// A tunnel is a stream between two routers that carries the bytes of one connection to an engine. The
// dialer writes a request for the address, and the relay replies with a byte. From then on the dialer
// writes the bytes for the engine as they are, and the relay writes frames: a length of two bytes and
// as many bytes of the engine. Frames tell the end of the engine's connection from the end of the
// tunnel: a response without a length is complete at the former only.
const (
	// tunnelVersion is the first byte of the request.
	tunnelVersion = 1
	// maxFrame is the maximum number of bytes in a frame. The lengths above it are marks.
	maxFrame = 4 << 10
	// markClosed means that the engine has closed its connection, markReset that the connection broke.
	markClosed = 0
	markReset  = 0xffff
	// markLeaving means that the relay will stop: the tunnel takes no further request.
	markLeaving = 0xfffe

	// maxTunnelAge is the age from which a tunnel takes no further request.
	maxTunnelAge = 30 * time.Minute
)

// ErrTunnel means that the way through another router broke. It says nothing about the engine.
var ErrTunnel = errs.Class("reach: tunnel")

// reply is the relay's answer to the request for an address.
type reply byte

const (
	// replyConnected means that the connection to the engine is open.
	replyConnected reply = iota
	// replyCutOff means that the relay reaches no engine that it has tried.
	replyCutOff
	// replyEngineDown means that the relay can't reach the engine but reaches others.
	replyEngineDown
	// replyUnknown means that the relay knows no engine with the address that takes requests.
	replyUnknown
	// replyBusy means that the relay takes no further tunnels at the moment.
	replyBusy
	// replyNoPath means that the relay has lost its own path to the engine but reaches others.
	replyNoPath
)

func (r reply) String() string {
	names := []string{"connected", "cut off as well", "engine down", "unknown engine", "busy", "no path to the engine"}
	if int(r) < len(names) {
		return names[r]
	}
	return "undefined reply"
}

// rawStream is what a stream offers in addition to net.Conn.
type rawStream interface {
	syscall.Conn
	SetLinger(seconds int) error
}

// tunnel is the dialer's end of a tunnel.
type tunnel struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of unread bytes of the current frame. end is the result of all further reads.
	left int
	end  error
	// leaving is set once the relay has announced that it will stop.
	leaving  bool
	openedAt time.Duration
	clock    Clock
	// relay is the name of the router that relays.
	relay string
	// closed is called at the first Close.
	closed    func()
	closeOnce sync.Once
}

func newTunnel(c net.Conn, relay string, clock Clock, closed func()) *tunnel {
	return &tunnel{Conn: c, reader: bufio.NewReaderSize(c, maxFrame), relay: relay, clock: clock, openedAt: clock(), closed: closed}
}

// Via returns the name of the router that relays.
func (t *tunnel) Via() string { return t.relay }

// Close implements net.Conn.
func (t *tunnel) Close() error {
	t.closeOnce.Do(t.closed)
	return t.Conn.Close()
}

// Read implements net.Conn. It returns io.EOF if the engine has closed its connection, ECONNRESET if
// that connection broke, and ErrTunnel if the tunnel did.
func (t *tunnel) Read(b []byte) (int, error) {
	for t.left == 0 && t.end == nil {
		t.readMark()
	}
	if t.end != nil {
		return 0, t.end
	}
	n, err := t.reader.Read(b[:min(len(b), t.left)])
	t.left -= n
	if err != nil && n == 0 {
		t.end = t.broken(err)
		return 0, t.end
	}
	return n, nil
}

// readMark reads the length of the next frame, or a mark.
func (t *tunnel) readMark() {
	var length [2]byte
	if _, err := io.ReadFull(t.reader, length[:]); err != nil {
		t.end = t.broken(err)
		return
	}
	switch n := binary.BigEndian.Uint16(length[:]); n {
	case markClosed:
		t.end = io.EOF
	case markReset:
		t.end = syscall.ECONNRESET
	case markLeaving:
		t.leaving = true
	default:
		t.left = int(n)
	}
}

// broken returns the error of a tunnel that broke. It hides the cause from errors.Is: the end of a
// tunnel is not that of the engine's connection.
func (t *tunnel) broken(err error) error { return ErrTunnel.New("through %s: %v", t.relay, err) }

// Write implements net.Conn.
func (t *tunnel) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	if err != nil {
		return n, t.broken(err)
	}
	return n, nil
}

// Reusable reports whether the tunnel takes a further request. It must not be called during a Read.
func (t *tunnel) Reusable() bool {
	return t.end == nil && t.left == 0 && t.reader.Buffered() == 0 && !t.leaving && t.clock()-t.openedAt <= maxTunnelAge
}

// SyscallConn implements syscall.Conn.
func (t *tunnel) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := t.Conn.(rawStream); ok {
		return raw.SyscallConn()
	}
	return nil, ErrTunnel.New("no socket")
}

// SetLinger sets how Close treats data that the relay has not acknowledged.
func (t *tunnel) SetLinger(seconds int) error {
	if raw, ok := t.Conn.(rawStream); ok {
		return raw.SetLinger(seconds)
	}
	return nil
}

// frameWriter writes the relay's end of a tunnel. It is not safe for concurrent use.
type frameWriter struct{ w io.Writer }

// frame writes n bytes that are in buf after room for the length.
func (f frameWriter) frame(buf []byte, n int) error {
	binary.BigEndian.PutUint16(buf, uint16(n))
	_, err := f.w.Write(buf[:frameHeader+n])
	return err
}

func (f frameWriter) mark(mark uint16) error {
	var b [frameHeader]byte
	binary.BigEndian.PutUint16(b[:], mark)
	_, err := f.w.Write(b[:])
	return err
}

// frameHeader is the size of a frame's length, in bytes.
const frameHeader = 2
