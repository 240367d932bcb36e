package feed

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"github.com/stretchr/testify/require"
)

// BenchmarkStart measures the reply to a starting router, which contains the members, the
// configuration and all engines, at the sizes of existing and planned fleets. Run with -bench
// 'Start$' -benchmem. The sub-benchmark asked measures the time that the replying router spends on
// each router that starts, and the sub-benchmark starting the time that the starting router spends.
// Bytes are those of the net/rpc encoding on a new connection, without its header.
func BenchmarkStart(b *testing.B) {
	for _, size := range []struct{ routers, engines, routes int }{{8, 21, 60}, {89, 200, 600}, {295, 262, 1820}, {380, 850, 1820}} {
		name := fmt.Sprintf("routers=%d", size.routers)
		asked := newFullRelay(b, size.routers, size.engines, size.routes)
		var encoded []byte
		b.Run(name+"/asked", func(b *testing.B) {
			for b.Loop() {
				encoded = encodedReply(b, asked, newFakeRoster(Peer{Name: "new", Address: "new", Site: "site-0"}))
			}
			b.ReportMetric(float64(len(encoded)), "B-down/start")
		})
		b.Run(name+"/starting", func(b *testing.B) {
			for b.Loop() {
				applyReply(b, encoded, size.routers, size.engines, size.routes)
			}
		})
	}
}

// newFullRelay returns the relay of a router that holds the complete catalog and all members.
func newFullRelay(b *testing.B, routers, engines, routes int) *Relay {
	relay, _ := newTestRelay(engines, func() time.Duration { return time.Minute })
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	relay.Board = NewBoard(relay.Clock, time.Second)
	go relay.Board.Run(ctx)
	relay.Board.PutConfig(ctx, configOf(1, routes), catalog.EvacuationUpdate{}, time.Minute)
	relay.Board.PutEngines(ctx, manyEngines(engines), time.Minute, time.Hour)
	roster := newFakeRoster(Peer{Name: "asked", Address: "asked", Site: "site-0"})
	for _, p := range manyPeers(routers - 1) {
		roster.HandleRosterRequest(membership.RosterRequest{From: 1, Rows: []membership.Member{aliveMember(p)}})
	}
	require.Len(b, roster.live(), routers)
	relay.Roster = roster
	return relay
}

// aliveMember returns the membership entry of a live router.
func aliveMember(p Peer) membership.Member {
	return newFakeRoster(p).RosterRequest("anybody").Rows[0]
}

// encodedReply returns the encoded reply to a starting router.
func encodedReply(b *testing.B, asked *Relay, starting *fakeRoster) []byte {
	var reply PullReply
	var out bytes.Buffer
	require.NoError(b, asked.Pull(PullArgs{From: "new", Wait: pullWait, Roster: starting.RosterRequest("asked")}, &reply))
	require.NoError(b, gob.NewEncoder(&out).Encode(reply))
	return out.Bytes()
}

// applyReply decodes and applies the encoded reply.
func applyReply(b *testing.B, encoded []byte, routers, engines, routes int) {
	var reply PullReply
	require.NoError(b, gob.NewDecoder(bytes.NewReader(encoded)).Decode(&reply))
	roster := newFakeRoster(Peer{Name: "new", Address: "new", Site: "site-0"})
	roster.RosterRequest("asked")
	roster.HandleRosterReply("asked", reply.Roster)
	update, err := reply.Config.unpack()
	require.NoError(b, err)
	config, ok := update.Apply(nil)
	require.True(b, ok)
	all, err := reply.AllEngines.unpack()
	require.NoError(b, err)
	set, _ := catalog.NewEngineSet().Apply(all, 0)
	require.Len(b, config.Routes, routes)
	require.Len(b, set.ByID, engines)
	require.Len(b, roster.live(), routers+1)
}
