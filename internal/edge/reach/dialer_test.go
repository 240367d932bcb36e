package reach

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

const waitTimeout = 10 * time.Second

// testRouter is a router that dials engines and relays for others. Streams between routers are
// loopback connections without authentication.
type testRouter struct {
	fleet   *testFleet
	peer    feed.Peer
	dialer  *Dialer
	service *Service

	mu sync.Mutex
	// cut is the error of direct connections, by address; the key "" is that of all.
	cut map[string]error
	// lost and back count the changes of paths, and silent the engines found silent.
	lost, back, silent int
	dead               bool
}

// testFleet is several routers and engines that echo what they are sent.
type testFleet struct {
	t         *testing.T
	routers   []*testRouter
	addresses []string
}

func newTestFleet(t *testing.T, routers, engines int) *testFleet {
	f := &testFleet{t: t}
	for range engines {
		ln := listen(t)
		f.addresses = append(f.addresses, ln.Addr().String())
		go serveConns(ln, func(c net.Conn) { _, _ = io.Copy(c, c) })
	}
	for i := range routers {
		f.addRouter(i)
	}
	return f
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

func serveConns(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			serve(c)
		}()
	}
}

func (f *testFleet) addRouter(i int) {
	ctx, cancel := context.WithCancel(f.t.Context())
	f.t.Cleanup(cancel)
	r := &testRouter{fleet: f, cut: make(map[string]error), peer: feed.Peer{Name: fmt.Sprintf("r%d", i), Site: "x"}}
	start := time.Now()
	clock := func() time.Duration { return time.Hour + time.Since(start) }
	table := NewTable(clock)
	r.dialer = &Dialer{
		Table: table, Direct: r.direct, Clock: clock, Context: ctx, Log: log.New(io.Discard),
		Addresses: func() []string { return f.addresses },
		PathLost:  func(string) { r.count(&r.lost) },
		PathBack:  func(string) { r.count(&r.back) },
		Silent:    func(string) { r.count(&r.silent) },
		Relays:    &Relays{Self: r.peer, Live: f.live, Open: f.open, Clock: clock},
	}
	r.service = NewService()
	r.service.Table, r.service.Direct, r.service.ReachesOthers, r.service.Log = table, r.direct, r.dialer.ReachesOthers, log.New(io.Discard)
	r.service.Takes = func(address string) bool { return address != "unknown" }
	r.service.MaxTunnels = func() int { return 100 }
	ln := listen(f.t)
	r.peer.Address = ln.Addr().String()
	go serveConns(ln, func(c net.Conn) {
		if !r.isDead() {
			r.service.Serve("caller", c)
		}
	})
	f.routers = append(f.routers, r)
}

func (f *testFleet) live() []feed.Peer {
	var out []feed.Peer
	for _, r := range f.routers {
		out = append(out, r.peer)
	}
	return out
}

func (f *testFleet) open(ctx context.Context, to feed.Peer) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp4", to.Address)
}

func (r *testRouter) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

func (r *testRouter) isDead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dead
}

var errRefused = &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}

// errSilent makes direct connections hang.
var errSilent = errors.New("silent")

func (r *testRouter) setCut(err error, addresses ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.cut)
	for _, a := range addresses {
		r.cut[a] = err
	}
}

func (r *testRouter) direct(ctx context.Context, network, address string) (net.Conn, error) {
	r.mu.Lock()
	cut := r.cut[""]
	if r.cut[address] != nil {
		cut = r.cut[address]
	}
	r.mu.Unlock()
	if errors.Is(cut, errSilent) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if cut != nil {
		return nil, cut
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// dial opens a connection from the first router and exchanges a message over it.
func (f *testFleet) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), DialTimeout)
	defer cancel()
	c, err := f.routers[0].dialer.Dial(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	f.t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("ping"))
	require.NoError(f.t, err)
	buf := make([]byte, 4)
	_, err = io.ReadFull(c, buf)
	require.NoError(f.t, err)
	require.Equal(f.t, "ping", string(buf))
	return c, nil
}

// Guards against a router that serves nobody while its own paths to all engines are lost, whether
// connections are refused or hang.
func TestLostPathIsRelayed(t *testing.T) {
	for _, cut := range []error{errRefused, errSilent} {
		t.Run(cut.Error(), func(t *testing.T) {
			f := newTestFleet(t, 3, 3)
			f.routers[0].setCut(cut, "")
			for _, a := range f.addresses {
				_, err := f.dial(a)
				require.NoError(t, err)
			}
			require.Eventually(t, func() bool {
				return f.routers[0].dialer.Table.Count(f.addresses) == Counts{Failing: 3, Lost: 3}
			}, waitTimeout, time.Millisecond)
			f.routers[0].setCut(nil)
			go f.routers[0].dialer.Run(t.Context())
			require.Eventually(t, func() bool { return f.routers[0].dialer.Table.Mode(f.addresses[0]) == Direct }, waitTimeout, time.Millisecond)
		})
	}
}

// Guards against an engine that is taken for unreachable here although it has ended: the other
// routers, which reach other engines, can't connect to it either.
func TestEndedEngineIsNotALostPath(t *testing.T) {
	f := newTestFleet(t, 3, 2)
	ended := listen(t)
	_ = ended.Close()
	f.addresses = append(f.addresses, ended.Addr().String())
	_, err := f.dial(ended.Addr().String())
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.True(t, f.routers[0].dialer.Table.KnownDown(ended.Addr().String()))
	require.Equal(t, Counts{Failing: 1}, f.routers[0].dialer.Table.Count(f.addresses))
}

// Guards against the word of one router that has lost the path to the engine as well: another one
// reaches it.
func TestOneRouterAloneDoesNotDecideThatAnEngineIsDown(t *testing.T) {
	f := newTestFleet(t, 3, 3)
	for _, i := range []int{0, 1} {
		f.routers[i].setCut(errRefused, f.addresses[0])
	}
	for range 5 {
		_, err := f.dial(f.addresses[0])
		require.NoError(t, err)
	}
}

// Guards against blaming engines, and asking routers in a circle, while nobody reaches them.
func TestNobodyReachesTheEngines(t *testing.T) {
	for _, cut := range []error{errRefused, errSilent} {
		t.Run(cut.Error(), func(t *testing.T) {
			f := newTestFleet(t, 5, 3)
			for _, r := range f.routers {
				r.setCut(cut, "")
			}
			// The time-out of a request, which a silent cut exceeds, would hide the result.
			_, err := f.routers[0].dialer.Dial(t.Context(), "tcp4", f.addresses[0])
			require.True(t, ErrNoRelay.Has(err), "%v", err)
			for _, r := range f.routers[1:] {
				f.routers[0].dialer.Relays.record(r.peer, errCutOff.New("test"))
			}
			require.Empty(t, f.routers[0].dialer.Relays.candidates())
			_, err = f.routers[0].dialer.Dial(t.Context(), "tcp4", f.addresses[0])
			require.True(t, ErrNoRelay.Has(err), "%v", err)
			for _, r := range f.routers {
				require.Zero(t, r.service.Stats().Total)
				require.Zero(t, r.lost)
			}
		})
	}
}

// Guards against a router that never relays for itself: without others a refused connection is held
// against the engine while this router reaches another one.
func TestSingleRouterBlamesTheEngine(t *testing.T) {
	f := newTestFleet(t, 1, 2)
	f.routers[0].setCut(errRefused, f.addresses[0])
	_, err := f.dial(f.addresses[0])
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	require.False(t, ErrNoRelay.Has(err))
}

// Guards against relaying to an address at which no engine takes requests.
func TestRelayConnectsOnlyToEnginesThatTakeRequests(t *testing.T) {
	f := newTestFleet(t, 2, 1)
	_, err := f.routers[0].dialer.Relays.Connect(t.Context(), "unknown")
	require.True(t, ErrNoRelay.Has(err), "%v", err)
}

// Guards against a tunnel through a router that has lost its own path: a request must not pass through
// a third router.
func TestRelayUsesNoTunnelItself(t *testing.T) {
	f := newTestFleet(t, 3, 3)
	for _, i := range []int{0, 1} {
		f.routers[i].setCut(errRefused, "")
		f.routers[i].dialer.Table.Lost(f.addresses[0])
	}
	for range 5 {
		_, err := f.dial(f.addresses[0])
		require.NoError(t, err)
	}
	require.Zero(t, f.routers[1].service.Stats().Total)
	require.EqualValues(t, 5, f.routers[2].service.Stats().Total)
}

// Guards against requests that are sent through a router that stops.
func TestLeavingRelayTakesNoTunnels(t *testing.T) {
	f := newTestFleet(t, 2, 2)
	f.routers[0].setCut(errRefused, "")
	c, err := f.dial(f.addresses[0])
	require.NoError(t, err)
	require.True(t, c.(*tunnel).Reusable())
	f.routers[1].service.Leave()
	go func() { _, _ = c.Read(make([]byte, 1)) }()
	_, err = f.dial(f.addresses[0])
	require.True(t, ErrNoRelay.Has(err), "%v", err)
}

func TestBusyRelayIsNotAskedForAWhile(t *testing.T) {
	f := newTestFleet(t, 2, 2)
	f.routers[0].setCut(errRefused, "")
	f.routers[1].service.MaxTunnels = func() int { return 0 }
	_, err := f.dial(f.addresses[0])
	require.True(t, ErrNoRelay.Has(err))
	require.Empty(t, f.routers[0].dialer.Relays.candidates())
}

// Guards against one router that relays for all while others reach the engines too.
func TestTunnelsAreSpread(t *testing.T) {
	f := newTestFleet(t, 5, 2)
	f.routers[0].setCut(errRefused, "")
	// A router that has not relayed yet is asked first in one of thirteen cases at least.
	for i := range 300 {
		c, err := f.dial(f.addresses[i%2])
		require.NoError(t, err)
		_ = c.Close()
	}
	for _, r := range f.routers[1:] {
		require.Positive(t, r.service.Stats().Total)
	}
}

// Guards against an entry for each address that ever stalled, since engines get new addresses.
func TestStallsAreForgotten(t *testing.T) {
	now := time.Minute
	d := &Dialer{Clock: func() time.Duration { return now }}
	for i := range 1000 {
		address := fmt.Sprint("10.0.0.1:", i)
		require.True(t, d.mayCheckStall(address))
		require.False(t, d.mayCheckStall(address))
		now += stallInterval / 2
	}
	require.LessOrEqual(t, len(d.stalls), 2)
}
