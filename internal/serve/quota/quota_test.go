package quota

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/stretchr/testify/require"
)

func keys() []peer.FleetKey { return []peer.FleetKey{{ID: 1, Secret: []byte("0123456789abcdef")}} }

// newRouters starts routers whose boards list each other and one account.
func newRouters(t *testing.T, a config.Account, names ...string) map[string]*Quota {
	out := make(map[string]*Quota)
	boards := make(map[string]*board.Board)
	views := make(map[string]board.Router)
	for i, name := range names {
		b := board.New(name)
		go b.Run(t.Context())
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		counters := new(peer.Counters)
		caller := peer.NewCaller(name, keys, counters)
		q := New(Options{Board: b, Caller: caller, Self: name, Instance: uint64(i + 1), Rand: rand.New(rand.NewPCG(1, 1))})
		srv := peer.NewServer(name, keys, counters)
		require.NoError(t, srv.Register(ServiceName, q.Service()))
		go srv.Serve(ln)
		t.Cleanup(func() { _ = ln.Close(); srv.Close(); caller.Close() })
		out[name], boards[name] = q, b
		views[name] = board.Router{Name: name, ID: rendezvous.ID(name), Instance: uint64(i + 1), Control: ln.Addr().String()}
	}
	doc := &config.Document{Sites: []config.Site{{Name: "s", Region: "r"}}, Accounts: []config.Account{a}}
	effective, err := config.NewEffective(doc, nil, "s")
	require.NoError(t, err)
	for name, b := range boards {
		b.UpdateWait(func(s *board.State) { s.Config, s.Routers = effective, views })
		out[name].Sync(b.Snapshot())
	}
	return out
}

// Guards against refusing an account far below its rate. Many requests arrive
// at once at a router without tokens of the account; each waits for the owner's
// reply, whose tokens other requests may use up first. A request must not stop
// waiting after a few replies without enough tokens for all.
func TestBurstWithinRateNotRefused(t *testing.T) {
	a := config.Account{Name: "a", RequestsPerSecond: 5000}
	for name, q := range newRouters(t, a, "r1", "r2", "r3") {
		var refused atomic.Int32
		var all sync.WaitGroup
		for range 100 {
			all.Go(func() {
				done, err := q.Take(context.Background(), &a)
				if err != nil {
					refused.Add(1)
					return
				}
				done()
			})
		}
		all.Wait()
		require.Zero(t, refused.Load(), name)
	}
}

func TestRateLimitEnforced(t *testing.T) {
	a := config.Account{Name: "a", RequestsPerSecond: 0.001, Burst: 5}
	q := newRouters(t, a, "r1")["r1"]
	taken := 0
	for range 20 {
		_, err := q.Take(t.Context(), &a)
		if err == nil {
			taken++
			continue
		}
		e := apierr.From(err)
		require.Equal(t, apierr.CodeRateLimited, e.Code)
		require.Equal(t, apierr.RanNo, e.Ran)
		require.Positive(t, e.RetryAfter)
	}
	require.LessOrEqual(t, taken, 5)
	require.Positive(t, taken)
}

func TestConcurrencyLimitEnforcedAndReleased(t *testing.T) {
	a := config.Account{Name: "a", Concurrency: 2}
	q := newRouters(t, a, "r1")["r1"]
	first, err := q.Take(t.Context(), &a)
	require.NoError(t, err)
	_, err = q.Take(t.Context(), &a)
	require.NoError(t, err)
	_, err = q.Take(t.Context(), &a)
	require.Equal(t, apierr.CodeConcurrencyLimited, apierr.From(err).Code)
	first()
	first()
	_, err = q.Take(t.Context(), &a)
	require.NoError(t, err)
}
