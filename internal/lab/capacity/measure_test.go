package capacity_test

import (
	"context"
	"math/rand/v2"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

func newFleet(b *testing.B, s capacity.Size) *capacity.Fleet {
	f, err := capacity.New(s)
	require.NoError(b, err)
	return f
}

// benchContext returns a context that ends with the benchmark.
func benchContext(b *testing.B) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	return ctx
}

// perSize runs f for each of capacity.Sizes.
func perSize(b *testing.B, f func(*testing.B, *capacity.Fleet)) {
	for _, s := range capacity.Sizes() {
		b.Run(s.String(), func(b *testing.B) { f(b, newFleet(b, s)) })
	}
}

// processorTime returns the total user and system time of this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapInUse returns the bytes in use after a collection.
func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapSize returns the bytes of heap that the result of build keeps alive.
func heapSize(build func() any) float64 {
	before := heapInUse()
	v := build()
	after := heapInUse()
	runtime.KeepAlive(v)
	return after - before
}

func fleetKeys() []peer.FleetKey {
	return []peer.FleetKey{{ID: 1, Secret: []byte("0123456789abcdef")}}
}

// newAdmission returns the admission of one router. Its caller can reach the
// routers whose control addresses are real.
func newAdmission(b *testing.B, bd *board.Board, self string, cnt *peer.Counters) *admission.Admission {
	caller := peer.NewCaller(self, fleetKeys, cnt)
	b.Cleanup(caller.Close)
	r, _ := bd.Snapshot().Router(self)
	a := admission.New(admission.Options{
		Board: bd, Caller: caller, Self: self, Instance: r.Instance, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	b.Cleanup(a.Close)
	return a
}

// reportAll passes the reports of all engines that the router owns to its admission.
func reportAll(f *capacity.Fleet, a *admission.Admission, snap *board.Snapshot, running int) {
	for _, e := range capacity.Owned(snap) {
		a.EngineReport(&e, f.Status(e, running))
	}
}

// serve serves an RPC service over a real connection and returns a function that
// calls its methods. cnt counts the bytes of the calling side.
func serve(b *testing.B, name string, service any, cnt *peer.Counters) (call func(method string, args, reply any)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = ln.Close() })
	srv := peer.NewServer(self, fleetKeys, new(peer.Counters))
	require.NoError(b, srv.Register(name, service))
	go srv.Serve(ln)
	b.Cleanup(srv.Close)
	caller := peer.NewCaller("asker", fleetKeys, cnt)
	b.Cleanup(caller.Close)
	t := peer.Target{Name: self, Address: ln.Addr().String()}
	return func(method string, args, reply any) {
		require.NoError(b, caller.Call(context.Background(), t, name+"."+method, args, reply))
	}
}
