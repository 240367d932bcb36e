package reach

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// tunnelTo returns the dialer's end of a tunnel whose other end a relay connects to an engine.
func tunnelTo(t *testing.T, engine func(*net.TCPConn)) (*tunnel, *Service) {
	ln := listen(t)
	go serveConns(ln, func(c net.Conn) { engine(c.(*net.TCPConn)) })
	f := newTestFleet(t, 2, 0)
	f.addresses = []string{ln.Addr().String()}
	c, err := f.routers[0].dialer.Relays.Connect(t.Context(), ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c.(*tunnel), f.routers[1].service
}

// Guards against a response without a length that looks complete though its engine's connection was
// reset, or though the tunnel broke.
func TestTunnelTellsHowTheConnectionEnded(t *testing.T) {
	long := strings.Repeat("x", 3*maxFrame+5)
	t.Run("closed", func(t *testing.T) {
		c, _ := tunnelTo(t, func(e *net.TCPConn) { _, _ = io.WriteString(e, long) })
		got, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, long, string(got))
	})
	t.Run("reset", func(t *testing.T) {
		c, _ := tunnelTo(t, func(e *net.TCPConn) {
			_, _ = io.WriteString(e, "part")
			_, _ = io.ReadFull(e, make([]byte, 1))
			_ = e.SetLinger(0)
		})
		_, err := io.ReadFull(c, make([]byte, 4))
		require.NoError(t, err)
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
		_, err = io.ReadAll(c)
		require.ErrorIs(t, err, syscall.ECONNRESET)
	})
	t.Run("broken", func(t *testing.T) {
		near, far := net.Pipe()
		c := newTunnel(near, "r", func() time.Duration { return 0 }, func() {})
		go func() {
			_, _ = far.Write([]byte{0, 4, 'p', 'a'})
			_ = far.Close()
		}()
		got, err := io.ReadAll(c)
		require.Equal(t, "pa", string(got))
		require.True(t, ErrTunnel.Has(err), "%v", err)
		require.NotErrorIs(t, err, io.EOF)
		require.NotErrorIs(t, err, io.ErrUnexpectedEOF)
	})
}

// Guards against an engine that goes on working after the caller has left: the end of the tunnel ends
// the connection to the engine.
func TestClosedTunnelClosesTheEngineConnection(t *testing.T) {
	ended := make(chan error, 1)
	c, _ := tunnelTo(t, func(e *net.TCPConn) {
		_, err := e.Read(make([]byte, 1))
		ended <- err
	})
	require.NoError(t, c.Close())
	select {
	case err := <-ended:
		require.Error(t, err)
	case <-time.After(waitTimeout):
		t.Fatal("the connection to the engine stays open")
	}
}

// Guards against a relay that keeps the connection to an engine, and the engine's work, because one direction of a
// closed tunnel waits: the engine sends without end, or reads nothing of a long request.
func TestClosedTunnelEndsWhileItsEngineIsBusy(t *testing.T) {
	request := make([]byte, 1<<20)
	for name, engine := range map[string]func(e *net.TCPConn) error{
		"sends without end": func(e *net.TCPConn) error {
			for {
				if _, err := e.Write(request); err != nil {
					return err
				}
			}
		},
		"reads nothing": func(e *net.TCPConn) error {
			raw, err := e.SyscallConn()
			for events := int16(0); err == nil && events&unix.POLLHUP == 0 && events&unix.POLLERR == 0; {
				err = raw.Control(func(fd uintptr) {
					polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
					_, _ = unix.Poll(polled, 10)
					events = polled[0].Revents
				})
			}
			return io.EOF
		},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			c, service := tunnelTo(t, func(e *net.TCPConn) { ended <- engine(e) })
			// The buffers on the way are full once a write has waited for this long.
			for err := error(nil); err == nil; {
				require.NoError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
				_, err = c.Conn.Write(request)
			}
			engineconn.Abort(c)
			select {
			case err := <-ended:
				require.Error(t, err)
			case <-time.After(waitTimeout):
				t.Fatal("the connection to the engine stays open")
			}
			require.Eventually(t, func() bool { return service.Stats().Tunnels == 0 }, waitTimeout, time.Millisecond)
		})
	}
}

// Guards against a tunnel that is used again though its relay stops, or bytes of a response are left.
func TestTunnelThatIsNotReusable(t *testing.T) {
	near, far := net.Pipe()
	now := time.Duration(0)
	c := newTunnel(near, "r", func() time.Duration { return now }, func() {})
	require.True(t, c.Reusable())
	go func() { _, _ = far.Write([]byte{0, 2, 'a', 'b', 0xff, 0xfe, 0, 1, 'c'}) }()
	_, err := io.ReadFull(c, make([]byte, 1))
	require.NoError(t, err)
	require.False(t, c.Reusable())
	_, err = io.ReadFull(c, make([]byte, 2))
	require.NoError(t, err)
	require.True(t, c.leaving)
	require.False(t, c.Reusable())

	old := newTunnel(near, "r", func() time.Duration { return now }, func() {})
	now += 2 * maxTunnelAge
	require.False(t, old.Reusable())
}

// Guards against a malformed request for an address.
func TestMalformedHelloIsRefused(t *testing.T) {
	for _, hello := range []string{"\x02\x01a", "\x01\xffa"} {
		near, far := net.Pipe()
		s := NewService()
		s.Log = log.New(io.Discard)
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Serve("r", far)
			_ = far.Close()
		}()
		_, _ = io.WriteString(near, hello)
		_, err := io.ReadAll(near)
		require.NoError(t, err)
		<-done
	}
}

func FuzzTunnelRead(f *testing.F) {
	f.Add([]byte{0, 1, 'a', 0, 0})
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(data)
			_ = far.Close()
		}()
		got, _ := io.ReadAll(newTunnel(near, "r", func() time.Duration { return 0 }, func() {}))
		require.LessOrEqual(t, len(got), len(data))
	})
}
