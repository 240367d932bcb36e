package reach

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
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

// tcpPair returns the two ends of a connection.
func tcpPair(t *testing.T) (near, far *net.TCPConn) {
	ln := listen(t)
	c, err := net.Dial("tcp4", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	accepted, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return c.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against an answer without a length that looks complete behind a relay, though its engine's connection was reset
// and a write got the error, or was closed before the engine had taken the request.
func TestRelayTellsAResetThatAnotherCallHasSeen(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(t *testing.T, c, engine, far *net.TCPConn)
		want error
	}{
		"closed": {func(_ *testing.T, _, _, far *net.TCPConn) { _ = far.Close() }, io.EOF},
		"reset, seen by a write": {func(t *testing.T, _, engine, far *net.TCPConn) {
			_ = far.SetLinger(0)
			_ = far.Close()
			require.Eventually(t, func() bool { return engineconn.WasReset(engine) }, waitTimeout, time.Millisecond)
			_, err := engine.Write([]byte("x"))
			require.Error(t, err)
		}, syscall.ECONNRESET},
		"closed before the request was taken": {func(t *testing.T, c, _, far *net.TCPConn) {
			_, err := c.Write([]byte("rest of the request"))
			require.NoError(t, err)
			_ = far.Close()
		}, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			dialer, relay := tcpPair(t)
			engine, far := tcpPair(t)
			test.end(t, dialer, engine, far)
			go func() {
				NewService().copyDown(relay, engine, nil, new(atomic.Bool))
				_ = relay.Close()
			}()
			c := newTunnel(dialer, "r", func() time.Duration { return 0 }, func() {})
			_, err := c.Read(make([]byte, 1))
			require.ErrorIs(t, err, test.want)
		})
	}
}

// Guards against the same while the relay writes what the engine does not take.
func TestRelayTellsThatTheEngineHasNotTakenTheRequest(t *testing.T) {
	near, far := net.Pipe()
	engine, engineEnd := net.Pipe()
	var writing atomic.Bool
	go copyUp(far, engine, &writing)
	_, err := near.Write([]byte("request"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return endMark(far, engine, writing.Load()) == markReset }, waitTimeout, time.Millisecond)
	_, err = io.ReadFull(engineEnd, make([]byte, len("request")))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return endMark(far, engine, writing.Load()) == markClosed }, waitTimeout, time.Millisecond)
	_ = near.Close()
}
