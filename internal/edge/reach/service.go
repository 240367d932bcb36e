package reach

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"
)

const (
	// relayDialTimeout bounds a connection that is opened for another router. That router tries the
	// next one meanwhile.
	relayDialTimeout = 200 * time.Millisecond
	// helloTimeout bounds the wait for the request for an address.
	helloTimeout = time.Second
	// maxAddress is the maximum length of an address, in bytes.
	maxAddress = 64
)

// Service opens connections to engines for routers that can't reach them. It never uses a tunnel
// itself, so that a request passes through two routers at most.
type Service struct {
	Table  *Table
	Direct engineconn.DialFunc
	// Takes reports whether an engine that takes requests is registered with the address.
	Takes func(address string) bool
	// ReachesOthers is Dialer.ReachesOthers.
	ReachesOthers func(address string) bool
	// MaxTunnels returns how many tunnels this router may serve at once.
	MaxTunnels func() int
	Log        *log.Logger

	mu      sync.Mutex
	leaving bool
	// changed is closed when the router begins to leave.
	changed chan struct{}
	// tunnels counts the open tunnels and those that are being opened, open the open ones by router,
	// and total all that were connected to an engine.
	tunnels int
	open    map[string]int
	total   int64
}

// NewService returns a Service. Its exported fields must be set before the first tunnel.
func NewService() *Service {
	return &Service{changed: make(chan struct{}), open: make(map[string]int)}
}

// RelayStats describes what a router relays for others.
type RelayStats struct {
	// Tunnels is the number of open tunnels, and Total that of all since the start.
	Tunnels int   `json:"tunnels"`
	Total   int64 `json:"total"`
	// For counts the open tunnels by router.
	For map[string]int `json:"for"`
}

// Stats returns what this router relays now.
func (s *Service) Stats() RelayStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := RelayStats{Tunnels: s.tunnels, Total: s.total, For: make(map[string]int, len(s.open))}
	for from, n := range s.open {
		out.For[from] = n
	}
	return out
}

// Leave refuses further tunnels and announces at the open ones that they take no further request.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving {
		s.leaving = true
		close(s.changed)
	}
}

// reserve makes room for a tunnel and reports whether this router takes it.
func (s *Service) reserve() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving || s.tunnels >= s.MaxTunnels() {
		return false
	}
	s.tunnels++
	return true
}

// release ends a reservation.
func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tunnels--
}

// begin counts a tunnel that is connected to an engine.
func (s *Service) begin(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total++
	s.open[from]++
	if s.open[from] == 1 {
		s.Log.Info("relaying for a router", "for", from)
	}
}

func (s *Service) end(from string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[from]--
	if s.open[from] == 0 {
		delete(s.open, from)
		s.Log.Info("relaying for a router ended", "for", from)
	}
}

// Serve serves a tunnel that another router has opened; it is a peer.StreamHandler.
func (s *Service) Serve(from string, c net.Conn) {
	address, err := readHello(c)
	if err != nil {
		s.Log.Debug("tunnel not opened", "for", from, "cause", err)
		return
	}
	if !s.reserve() {
		writeReply(c, replyBusy)
		return
	}
	defer s.release()
	engine, reply := s.connect(address)
	if engine == nil {
		writeReply(c, reply)
		return
	}
	if !writeReply(c, reply) {
		_ = engine.Close()
		return
	}
	s.begin(from)
	defer s.end(from)
	s.copyBoth(c, engine)
}

func readHello(c net.Conn) (address string, err error) {
	if err := c.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return "", err
	}
	var head [2]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return "", err
	}
	if head[0] != tunnelVersion || head[1] > maxAddress {
		return "", ErrTunnel.New("version %d, address of %d bytes", head[0], head[1])
	}
	name := make([]byte, head[1])
	if _, err := io.ReadFull(c, name); err != nil {
		return "", err
	}
	return string(name), c.SetReadDeadline(time.Time{})
}

func writeReply(c net.Conn, r reply) bool {
	_, err := c.Write([]byte{byte(r)})
	return err == nil
}

// connect opens a connection to the engine at the address.
func (s *Service) connect(address string) (net.Conn, reply) {
	if !s.Takes(address) {
		return nil, replyUnknown
	}
	if s.Table.Mode(address) == Relayed {
		if s.ReachesOthers(address) {
			return nil, replyNoPath
		}
		return nil, replyCutOff
	}
	ctx, cancel := context.WithTimeout(context.Background(), relayDialTimeout)
	defer cancel()
	engine, err := s.Direct(ctx, "tcp4", address)
	if err == nil {
		s.Table.Reached(address)
		return engine, replyConnected
	}
	s.Table.Failed(address)
	if s.ReachesOthers(address) {
		return nil, replyEngineDown
	}
	return nil, replyCutOff
}

// copyBoth copies in both directions until either end is closed. If the other router closes the
// tunnel, the connection to the engine is closed too, and most engines then stop the execution.
func (s *Service) copyBoth(c, engine net.Conn) {
	done := make(chan struct{})
	var writing atomic.Bool
	go func() {
		defer close(done)
		copyUp(c, engine, &writing)
		engineconn.Abort(engine)
	}()
	s.copyDown(c, engine, done, &writing)
	_ = c.Close()
	// A write to an engine that reads nothing would not end by itself.
	engineconn.Abort(engine)
	<-done
}

// stallCheck is how long a write to an engine waits before it is checked whether the tunnel is still open.
const stallCheck = 100 * time.Millisecond

// copyUp copies what the other router sends to the engine until either end is closed. While the engine reads
// nothing, nothing is read from the tunnel either, whose end would go unnoticed. writing is set while the engine has not
// taken all that was read.
func copyUp(c, engine net.Conn, writing *atomic.Bool) {
	buf := make([]byte, maxFrame)
	for {
		n, err := c.Read(buf)
		writing.Store(n > 0)
		for rest := buf[:n]; len(rest) > 0; {
			// An error means that the connection is closed, which the write finds.
			_ = engine.SetWriteDeadline(time.Now().Add(stallCheck))
			written, writeErr := engine.Write(rest)
			rest = rest[written:]
			if writeErr != nil && (!errors.Is(writeErr, os.ErrDeadlineExceeded) || hungUp(c)) {
				return
			}
		}
		writing.Store(false)
		if err != nil {
			return
		}
	}
}

// hungUp reports whether the kernel knows that the other end has closed or reset a connection, also before the
// data that has arrived until then is read.
func hungUp(c net.Conn) bool {
	events, err := engineconn.Poll(c, unix.POLLRDHUP)
	return err == nil && events != 0 || errors.Is(err, net.ErrClosed)
}

// endMark returns the mark for the end of the engine's connection, as a read has returned it. The connection broke if
// another call on the socket got the error, or if the engine has not taken all that the other router has sent.
func endMark(c, engine net.Conn, writing bool) uint16 {
	unread, err := engineconn.Poll(c, unix.POLLIN)
	if writing || err == nil && unread != 0 || engineconn.WasReset(engine) {
		return markReset
	}
	return markClosed
}

// copyDown writes what the engine sends as frames.
func (s *Service) copyDown(c, engine net.Conn, done <-chan struct{}, writing *atomic.Bool) {
	var mu sync.Mutex
	frames := frameWriter{c}
	go func() {
		select {
		case <-done:
		case <-s.changed:
			mu.Lock()
			defer mu.Unlock()
			_ = frames.mark(markLeaving)
		}
	}()
	buf := make([]byte, frameHeader+maxFrame)
	for {
		n, err := engine.Read(buf[frameHeader:])
		mu.Lock()
		writeErr := error(nil)
		switch {
		case n > 0:
			writeErr = frames.frame(buf, n)
		case errors.Is(err, io.EOF):
			writeErr = frames.mark(endMark(c, engine, writing.Load()))
		default:
			writeErr = frames.mark(markReset)
		}
		mu.Unlock()
		if writeErr != nil || err != nil {
			return
		}
	}
}
