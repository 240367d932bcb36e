package feed

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/stretchr/testify/require"
)

// knownWithin is the time within which all routers must know a suspect. It is a fraction of the
// time between two attempts of a caller.
const knownWithin = 100 * time.Millisecond

// replacedWithin is the time within which a router that does not reply is replaced as the source of
// the catalog, and with it of suspects.
const replacedWithin = 1500 * time.Millisecond

func testSuspect(name string) quarantine.Suspect {
	c := quarantine.Content{Account: "first", Target: "/" + name}
	return quarantine.Suspect{Fingerprint: c.Fingerprint(), Hint: c.Hint(), Account: "first", Route: "r"}
}

// recordEnd records at a router that an engine ended under a request.
func (n *fakeNode) recordEnd(f *fakeFleet, engine string, s quarantine.Suspect) {
	n.suspects.RecordEnd(quarantine.End{Engine: engine, At: f.clock()}, []quarantine.Cut{{Request: s}})
}

func (n *fakeNode) ends(s quarantine.Suspect) int {
	return len(n.suspects.View().Status(s.Hint, s.Fingerprint).Ends)
}

func (f *fakeFleet) requireEnds(t *testing.T, s quarantine.Suspect, want int, except ...string) {
	t.Helper()
	for name, n := range f.nodes {
		if len(except) > 0 && name == except[0] {
			continue
		}
		require.Equal(t, want, n.ends(s), name)
	}
}

// Guards against a request that ends an engine for each router, because a router does not learn of
// the engines that ended at others in time.
func TestSuspectsReachAllRoutersAtOnce(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		q := testSuspect("q")
		i := 0
		for _, n := range f.nodes {
			n.recordEnd(f, fmt.Sprint("e", i), q)
			i++
			time.Sleep(knownWithin)
			f.requireEnds(t, q, i)
		}
	})
}

// Guards against routers that lack a suspect because the one that told them restarted, because they
// just started themselves, or because they were cut off for a while.
func TestSuspectsSurviveRestartsAndCuts(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, s *fakeStore) {
		q, first := testSuspect("q"), f.firstRouter()
		var cut string
		for name := range f.nodes {
			if name != first {
				cut = name
			}
		}
		f.cut.Store(cut, true)
		for name, n := range f.nodes {
			if name != first && name != cut {
				n.recordEnd(f, "e1", q)
				break
			}
		}
		time.Sleep(replacedWithin)
		f.requireEnds(t, q, 1, cut)
		f.nodes[cut].recordEnd(f, "e2", q)
		var peer Peer
		for _, p := range f.live {
			if p.Name == first {
				peer = p
			}
		}
		f.stop(first)
		time.Sleep(time.Second)
		f.restart(peer, s)
		time.Sleep(3 * time.Second)
		f.requireEnds(t, q, 1, cut)
		f.cut.Delete(cut)
		time.Sleep(3 * time.Second)
		f.requireEnds(t, q, 2)
	})
}

// Guards against a request that stays suspect at routers other than the one where it was completed.
func TestClearedSuspectsAreClearedEverywhere(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		q := testSuspect("q")
		for _, n := range f.nodes {
			n.recordEnd(f, "e1", q)
			break
		}
		time.Sleep(knownWithin)
		for _, n := range f.nodes {
			require.True(t, n.suspects.Clear(q.Key()))
			break
		}
		time.Sleep(knownWithin)
		f.requireEnds(t, q, 0)
	})
}

// Guards against exchanges that go on although all routers know the same.
func TestKnownSuspectsAreNotSentAgain(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		for i := range 100 {
			for _, n := range f.nodes {
				n.recordEnd(f, "e1", testSuspect(fmt.Sprint(i)))
				break
			}
		}
		time.Sleep(time.Second)
		quiet := f.calls.Load()
		time.Sleep(10 * time.Second)
		withSuspects := f.calls.Load() - quiet
		for name, n := range f.nodes {
			parent, ok := n.follower.loadsParent()
			if !ok {
				continue
			}
			require.Empty(t, n.follower.suspectExchange.Request(parent.Name, n.suspects, f.clock()).Records, name)
		}
		// Each router pulls about seven times a second.
		require.Less(t, withSuspects, int64(len(f.nodes)*10*10))
	})
}

// Guards against a storm of pulls while many engines end: each change must not cost each router a call.
func TestManyChangesCauseFewCalls(t *testing.T) {
	runFleet(t, sameStore, func(f *fakeFleet, _ *fakeStore) {
		const seconds = 3
		before := f.calls.Load()
		for i := range seconds * 200 {
			for _, n := range f.nodes {
				n.recordEnd(f, fmt.Sprint("e", i), testSuspect(fmt.Sprint(i)))
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		perSecond := float64(f.calls.Load()-before) / seconds / float64(len(f.nodes))
		// A router pulls and, for suspects, calls two others at most, each at suspectsInterval.
		require.Less(t, perSecond, 3*float64(time.Second/suspectsInterval))
		time.Sleep(time.Second)
		for name, n := range f.nodes {
			require.Len(t, n.suspects.Entries(), seconds*200, name)
		}
	})
}

// Guards against large messages to routers of an earlier release, which ignore suspects and never
// confirm them.
func TestEarlierReleasesAreSentNoSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := func() time.Duration { return time.Hour }
		relay, args := newTestRelay(10, clock)
		relay.Suspects.RecordEnd(quarantine.End{Engine: "e1", At: time.Hour}, []quarantine.Cut{{Request: testSuspect("q")}})
		var reply PullReply
		require.NoError(t, relay.Pull(args, &reply))
		require.Nil(t, reply.Suspects)
		args.Suspects = &suspects.Args{}
		require.NoError(t, relay.Pull(args, &reply))
		require.Len(t, reply.Suspects.Records, 1)
	})
}
