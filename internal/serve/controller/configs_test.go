package controller

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
)

const (
	firstBase  = "teams: [{name: t}]\nsites: [{name: s, region: r}]\n"
	secondBase = firstBase + "models: [{name: m, versions: [v1]}]\n"
	// unusableBase lacks the site of the tested router.
	unusableBase = "teams: [{name: t}]\nsites: [{name: other, region: r}]\n"
)

// aheadPeer is a router with an active version that counts the requests for it.
type aheadPeer struct {
	reply    ConfigReply
	requests int
}

// Config implements the RPC method Fleet.Config.
func (a *aheadPeer) Config(_ ConfigArgs, reply *ConfigReply) error {
	a.requests++
	*reply = a.reply
	return nil
}

func replyOf(version uint64, base string) ConfigReply {
	b := config.Bundle{Base: []byte(base)}
	return ConfigReply{Version: version, Hash: b.Hash(), Bundle: b.Encode()}
}

// newLaggingConfigs returns the controller of a router where version 1 is active, and which has
// received no announcement of the later version of the other router.
func newLaggingConfigs(t *testing.T, other *aheadPeer) *Configs {
	keys := func() []peer.FleetKey { return []peer.FleetKey{{ID: 1, Secret: []byte("0123456789abcdef")}} }
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	srv := peer.NewServer("other", keys, new(peer.Counters))
	require.NoError(t, srv.Register(FleetService, other))
	go srv.Serve(ln)
	t.Cleanup(func() {
		_ = ln.Close()
		srv.Close()
	})
	caller := peer.NewCaller("self", keys, new(peer.Counters))
	t.Cleanup(caller.Close)

	b := board.New("self")
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go b.Run(ctx)
	b.UpdateWait(func(s *board.State) {
		s.Routers["self"] = board.Router{Name: "self", ID: rendezvous.ID("self")}
		s.Routers["other"] = board.Router{
			Name: "other", ID: rendezvous.ID("other"), Control: ln.Addr().String(), ConfigVersion: other.reply.Version,
		}
	})
	store := platformtest.New()
	// Both routers are among the few that read the head. The store is down so that this router does
	// not read the head from it.
	store.SetDown(true)
	c := &Configs{
		Board: b, Chain: config.NewChain(store, store.Objects(), time.Now), Caller: caller,
		Self: "self", Site: "s", Log: log.New(io.Discard), Announce: func(membership.Item) {},
	}
	c.Provision()
	first := replyOf(1, firstBase)
	require.True(t, c.offer(first.Version, first.Hash, config.Bundle{Base: []byte(firstBase)}))
	return c
}

// Guards against an accepted change that becomes active at one router ten seconds or more after all
// others. This happens if the broadcast of the head, which is sent a limited number of times,
// doesn't reach the router: the next membership digest, which would show that it lacks the head,
// may be that far off. The version that each packet reports for its sender must be enough to start
// a fetch.
func TestRouterWithoutAnnouncementFetchesFromPeers(t *testing.T) {
	other := &aheadPeer{reply: replyOf(2, secondBase)}
	c := newLaggingConfigs(t, other)
	c.step(t.Context())
	require.Equal(t, uint64(2), c.Current(0).Version)
}

// Guards against fetching the same version once a second without end: the peers have a version that
// this router rejects, and their head was not announced to it.
func TestRejectedVersionIsNotFetchedAgain(t *testing.T) {
	other := &aheadPeer{reply: replyOf(2, unusableBase)}
	c := newLaggingConfigs(t, other)
	for range 5 {
		c.step(t.Context())
	}
	require.Equal(t, uint64(1), c.Current(0).Version)
	require.Equal(t, 1, other.requests)
}
