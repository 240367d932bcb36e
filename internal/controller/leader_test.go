package controller

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/board"
	"damaskrouter.example/damaskrouter/internal/orders"
	"damaskrouter.example/damaskrouter/internal/standin"
	"damaskrouter.example/damaskrouter/internal/upstream"
	"damaskrouter.example/damaskrouter/internal/wire"
)

// Symptom: engines stay on their old version, and the leader takes its orders
// for given. Sequence: a pool's engines check who orders them, and the leader
// has no token, a wrong one, or theirs. Cause: the token is not sent, or its
// refusal is not read as one.
func TestOrderToken(t *testing.T) {
	cases := map[string]struct{ engine, leader, version string }{
		"right":      {"secret", "secret", "2.1"},
		"none":       {"secret", "", "2.0"},
		"wrong":      {"secret", "guess", "2.0"},
		"not wanted": {"", "secret", "2.1"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			e := standin.NewEngine(standin.EngineOptions{Name: "e1", Model: "m", Version: "2.0", OrderToken: tc.engine})
			t.Cleanup(e.Close)
			srv := httptest.NewServer(e.Handler())
			t.Cleanup(srv.Close)
			client := upstream.New(upstream.Options{OrderToken: tc.leader})
			t.Cleanup(client.Close)
			l := &Leader{Board: boardWith(t, "e1", strings.TrimPrefix(srv.URL, "http://")), Upstream: client, Log: log.New(io.Discard)}
			s := &sender{leader: l}
			err := s.Send(t.Context(), "e1", wire.Order{Kind: wire.OrderVersion, Value: "2.1", Fence: 3})
			taken := tc.version == "2.1"
			require.Equal(t, taken, err == nil, err)
			require.Equal(t, !taken, orders.ErrRefused.Has(err))
			require.Equal(t, tc.version, e.Status().Version)
			require.Equal(t, uint64(3), s.order.Fence)
		})
	}
}

// boardWith returns a board that knows one engine.
func boardWith(t *testing.T, name, address string) *board.Board {
	b := board.New("self")
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go b.Run(ctx)
	b.UpdateWait(func(s *board.State) {
		s.Engines[name] = board.Engine{Name: name, Address: address}
	})
	return b
}
