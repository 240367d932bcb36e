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
	// unusableBase lacks the router's own site.
	unusableBase = "teams: [{name: t}]\nsites: [{name: other, region: r}]\n"
)

// ahead is a router that has a version in force and counts who asks for it.
type ahead struct {
	reply ConfigReply
	asked int
}

// Config answers as Fleet does.
func (a *ahead) Config(_ ConfigArgs, reply *ConfigReply) error {
	a.asked++
	*reply = a.reply
	return nil
}

func replyOf(version uint64, base string) ConfigReply {
	b := config.Bundle{Base: []byte(base)}
	return ConfigReply{Version: version, Hash: b.Hash(), Bundle: b.Encode()}
}

// missed is a router with version 1 in force which has not heard that another
// one has a later version.
func missed(t *testing.T, other *ahead) *Configs {
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
	// Both are among the few routers that read the head; the store is down, so
	// that it is not learned there.
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

// Symptom: an accepted change is in force everywhere but at one router, for
// ten seconds and more.
// Sequence: the routers that spread the new head have sent it as often as they
// may before it reached this one; its next digest is far off.
// Cause: only a head that was heard of led to a fetch, although every packet
// says which version its sender has in force.
func TestRouterThatMissedTheHeadFollowsItsPeers(t *testing.T) {
	other := &ahead{reply: replyOf(2, secondBase)}
	c := missed(t, other)
	c.step(t.Context())
	require.Equal(t, uint64(2), c.Current(0).Version)
}

// Symptom: a router fetches the same version once a second, for ever.
// Sequence: its peers have a version that it can't use; it has not heard of
// the head, asks for it, refuses it and asks again.
func TestVersionThatIsRefusedIsNotFetchedAgain(t *testing.T) {
	other := &ahead{reply: replyOf(2, unusableBase)}
	c := missed(t, other)
	for range 5 {
		c.step(t.Context())
	}
	require.Equal(t, uint64(1), c.Current(0).Version)
	require.Equal(t, 1, other.asked)
}
