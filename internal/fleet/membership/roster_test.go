package membership

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func rosterMember(i int) Member {
	return Member{
		Name: fmt.Sprintf("router-%d", i), ID: uint64(i+1) * 0x9e3779b97f4a7c15, Site: "x",
		Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), HTTP: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
	}
}

func rosterFleet(n int) []*Detector {
	var out []*Detector
	for i := range n {
		out = append(out, New(rosterMember(i), DefaultOptions(), rand.New(rand.NewSource(int64(i)))))
	}
	return out
}

// exchange runs one exchange over a link and returns the number of rows sent in each direction.
func exchange(from, to *Detector, l *RosterLink) (up, down int) {
	request := from.RosterRequest(l)
	reply := to.HandleRosterRequest(request)
	from.HandleRosterReply(l, reply)
	return len(request.Rows), len(reply.Rows)
}

func requireAlive(t require.TestingT, d *Detector, n int) {
	alive := 0
	for _, m := range d.Members() {
		if m.State == StateAlive {
			alive++
		}
	}
	require.Equal(t, n, alive, d.Self().Name)
}

// After 300 routers started at once, gossip packets took 25 seconds to spread all rows, and
// meanwhile budgets, loads and the duty to read the store were divided wrongly. Exchanges along
// a call tree of two levels must spread all rows within one round per level up and down, and
// send each row to each router about once.
func TestRowsReachAllRoutersInFewExchanges(t *testing.T) {
	for _, n := range []int{8, 89, 295} {
		fleet := rosterFleet(n)
		links := make([]RosterLink, n)
		rows := 0
		parent := func(i int) int {
			if i%5 != i {
				return i % 5
			}
			return 0
		}
		for range 4 {
			for i := n - 1; i > 0; i-- {
				up, down := exchange(fleet[i], fleet[parent(i)], &links[i])
				rows += up + down
			}
		}
		for _, d := range fleet {
			requireAlive(t, d, n)
		}
		require.LessOrEqual(t, rows, n*(n+8), "%d routers", n)
		up, down := exchange(fleet[n-1], fleet[parent(n-1)], &links[n-1])
		require.Zero(t, up+down, "no row is sent twice")
	}
}

// Rows learned through exchanges must not be gossiped as well: with 300 routers this used up
// each router's piggyback rate limit of 2,000 bytes per second for minutes.
func TestExchangedRowsNotGossiped(t *testing.T) {
	fleet := rosterFleet(40)
	var l RosterLink
	for i := 1; i < 40; i++ {
		fleet[0].HandleRosterRequest(fleet[i].RosterRequest(&RosterLink{}))
	}
	exchange(fleet[1], fleet[0], &l)
	requireAlive(t, fleet[1], 40)
	require.Len(t, fleet[1].queue.entries, 0)
}

// A death that only one router detects must reach the others through exchanges, the parent
// included. Otherwise callers are still directed to a dead router.
func TestDeathReachesAllRouters(t *testing.T) {
	fleet := rosterFleet(4)
	links := make([]RosterLink, 4)
	for range 2 {
		for i := 3; i > 0; i-- {
			exchange(fleet[i], fleet[0], &links[i])
		}
	}
	dead := fleet[1].rows[fleet[3].self.ID]
	fleet[1].transition(dead, dead.Incarnation, StateDead)
	exchange(fleet[1], fleet[0], &links[1])
	exchange(fleet[2], fleet[0], &links[2])
	for _, d := range fleet[:3] {
		requireAlive(t, d, 3)
	}
}

// A suspicion must stay local: if exchanges carried it, every router would probe the suspect and
// spread the suspicion.
func TestSuspicionNotExchanged(t *testing.T) {
	fleet := rosterFleet(3)
	links := make([]RosterLink, 3)
	for range 2 {
		for i := 2; i > 0; i-- {
			exchange(fleet[i], fleet[0], &links[i])
		}
	}
	suspect := fleet[1].rows[fleet[2].self.ID]
	fleet[1].transition(suspect, suspect.Incarnation, StateSuspect)
	exchange(fleet[1], fleet[0], &links[1])
	requireAlive(t, fleet[0], 3)
	// A live router that was declared dead learns of it in an exchange, and its refutation
	// spreads.
	fleet[1].transition(suspect, suspect.Incarnation, StateDead)
	exchange(fleet[1], fleet[0], &links[1])
	exchange(fleet[2], fleet[0], &links[2])
	exchange(fleet[2], fleet[0], &links[2])
	exchange(fleet[1], fleet[0], &links[1])
	for _, d := range fleet {
		requireAlive(t, d, 3)
	}
}

// When the root of the call tree restarts as a new instance and gets the table from one router,
// the others must compare digests with it. Otherwise each sends it the whole table, about a
// megabyte of rows in total.
func TestRestartedRouterNotSentWholeTableByEach(t *testing.T) {
	const n = 40
	fleet := rosterFleet(n)
	links := make([]RosterLink, n)
	round := func() (rows int) {
		for i := n - 1; i > 0; i-- {
			up, down := exchange(fleet[i], fleet[0], &links[i])
			rows += up + down
		}
		return rows
	}
	round()
	round()
	fleet[1].transition(fleet[1].rows[fleet[0].self.ID], 1, StateDead)
	round()
	restarted := rosterMember(0)
	restarted.ID = 4711
	fleet[0] = New(restarted, DefaultOptions(), rand.New(rand.NewSource(1)))
	exchange(fleet[0], fleet[1], &RosterLink{})
	rows := round() + round() + round()
	for _, d := range fleet {
		requireAlive(t, d, n)
	}
	require.Less(t, rows, n*2*2*n/DigestBuckets, "at most the rows of two buckets in each direction")
}

// Exchanges between random routers, with lost requests and replies and false reports of death,
// must lead to the same table everywhere.
func TestTablesConvergeDespiteLostExchanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 12
		fleet := rosterFleet(n)
		links := map[[2]int]*RosterLink{}
		link := func(a, b int) *RosterLink {
			if links[[2]int{a, b}] == nil {
				links[[2]int{a, b}] = &RosterLink{}
			}
			return links[[2]int{a, b}]
		}
		pick := rapid.IntRange(0, n-1)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			a, b := pick.Draw(t, "a"), pick.Draw(t, "b")
			if a == b {
				continue
			}
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0: // The reply is lost.
				fleet[b].HandleRosterRequest(fleet[a].RosterRequest(link(a, b)))
				fleet[a].RosterRequestFailed(link(a, b))
			case 1: // The request is lost.
				fleet[a].RosterRequest(link(a, b))
				fleet[a].RosterRequestFailed(link(a, b))
			case 2:
				if r := fleet[a].rows[fleet[b].self.ID]; r != nil && r.State == StateAlive {
					fleet[a].transition(r, r.Incarnation, StateDead)
				}
			default:
				exchange(fleet[a], fleet[b], link(a, b))
			}
		}
		for range 6 {
			for i := 1; i < n; i++ {
				exchange(fleet[i], fleet[0], link(i, 0))
			}
		}
		for _, d := range fleet {
			requireAlive(t, d, n)
			require.Equal(t, fleet[0].digest().Members, d.digest().Members)
		}
	})
}

func BenchmarkRosterExchange(b *testing.B) {
	fleet := rosterFleet(380)
	links := make([]RosterLink, 380)
	for i := 1; i < 380; i++ {
		exchange(fleet[i], fleet[0], &links[i])
	}
	exchange(fleet[1], fleet[0], &links[1])
	b.Run("nothing new", func(b *testing.B) {
		for b.Loop() {
			exchange(fleet[1], fleet[0], &links[1])
		}
	})
	b.Run("a router that starts", func(b *testing.B) {
		for b.Loop() {
			d := New(rosterMember(1), DefaultOptions(), rand.New(rand.NewSource(1)))
			exchange(d, fleet[0], &RosterLink{})
		}
	})
}
