package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/testseed"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damaskrouter.example/damaskrouter/internal/platform"
)

const ttl = DefaultTTL

func half() float64 { return 0.5 }

// node is a machine with a clock of its own and its one call to the store.
type node struct {
	*Machine
	offset time.Duration
	call   Action
	// reply is set once the call has reached the store.
	reply Event
}

// cluster is a few nodes around one row, with global time.
type cluster struct {
	now     time.Duration
	row     Record
	version int64
	nodes   []*node
	late    []Write
	fence   uint64
}

func newCluster(offsets ...time.Duration) *cluster {
	c := &cluster{}
	for i, offset := range offsets {
		name := fmt.Sprint("r", i)
		n := &node{Machine: NewMachine(name, name, ttl, half), offset: offset}
		n.note(c.at(n), RankChanged{Rank: i})
		c.nodes = append(c.nodes, n)
	}
	return c
}

func (c *cluster) at(n *node) time.Duration { return c.now + n.offset }

func (c *cluster) step(n *node, e Event) {
	n.call, n.reply = nil, nil
	if actions := n.Step(c.at(n), e); len(actions) > 0 {
		n.call = actions[0]
	}
}

func (c *cluster) apply(w Write) Event {
	if w.IfVersion != c.version {
		return WriteConflict{Record: c.row, Version: c.version}
	}
	c.row = w.Record
	c.version++
	return WriteDone{Version: c.version}
}

// arrive lets the node's call reach the store.
func (c *cluster) arrive(n *node) {
	if n.call == nil || n.reply != nil {
		return
	}
	if w, ok := n.call.(Write); ok {
		n.reply = c.apply(w)
		return
	}
	n.reply = ReadDone{Record: c.row, Version: c.version}
}

// answer lets the reply reach the node.
func (c *cluster) answer(n *node) {
	if n.reply != nil {
		c.step(n, n.reply)
	}
}

// lose drops the reply, or the call if it has not arrived; it may come late.
func (c *cluster) lose(n *node, comesLate bool) {
	w, isWrite := n.call.(Write)
	if n.call == nil {
		return
	}
	if isWrite && comesLate {
		c.late = append(c.late, w)
	}
	if isWrite {
		c.step(n, ReplyLost{})
		return
	}
	c.step(n, Failed{})
}

// run lets the given nodes work without faults for a span of time.
func (c *cluster) run(span time.Duration, nodes ...*node) {
	const tick = 50 * time.Millisecond
	for end := c.now + span; c.now < end; c.now += tick {
		for _, n := range nodes {
			c.begin(n)
			for n.call != nil {
				c.arrive(n)
				c.answer(n)
			}
		}
	}
}

func (c *cluster) holders() []int {
	var out []int
	for i, n := range c.nodes {
		if _, err := n.Valid(c.at(n)); err == nil {
			out = append(out, i)
		}
	}
	return out
}

type failer interface {
	require.TestingT
	Helper()
}

// check asserts that at most one holder is valid, and that fences grow.
func (c *cluster) check(t failer) {
	t.Helper()
	holders := c.holders()
	require.LessOrEqual(t, len(holders), 1, "valid at once: %v", holders)
	for _, i := range holders {
		grant, _ := c.nodes[i].Valid(c.at(c.nodes[i]))
		require.GreaterOrEqual(t, grant.Fence, c.fence)
		c.fence = grant.Fence
	}
}

// Symptom: two routers give orders at once. Sequence: as each case tells.
// Cause: a holder that counts its lease from too late, believes a reply that
// it never got, or compares clocks.
func TestAtMostOneHolder(t *testing.T) {
	cases := map[string]func(*testing.T, *cluster, *node, *node){
		"paused past its TTL, then thawed": func(t *testing.T, c *cluster, a, b *node) {
			c.run(2*ttl, b)
			require.Equal(t, []int{1}, c.holders())
			c.run(ttl, a, b)
			require.Equal(t, []int{1}, c.holders())
		},
		"paused between sending a renewal and its reply": func(t *testing.T, c *cluster, a, b *node) {
			for c.step(a, Tick{}); a.call == nil; c.step(a, Tick{}) {
				c.now += 100 * time.Millisecond
			}
			c.arrive(a)
			c.run(2*ttl, b)
			c.answer(a)
			c.check(t)
			require.Equal(t, []int{1}, c.holders())
		},
		"a renewal comes late, after the take-over": func(t *testing.T, c *cluster, a, b *node) {
			c.now += ttl / 2
			c.step(a, Tick{})
			c.lose(a, true)
			c.run(2*ttl, b)
			require.IsType(t, WriteConflict{}, c.apply(c.late[0]))
			require.Equal(t, []int{1}, c.holders())
		},
		"a retry finds that the first attempt arrived": func(t *testing.T, c *cluster, a, b *node) {
			c.now += ttl / 2
			c.step(a, Tick{})
			first := a.call.(Write)
			c.lose(a, false)
			c.arrive(a)
			c.answer(a)
			c.apply(first)
			b.note(c.at(b), RankChanged{Rank: 0})
			c.run(100*time.Millisecond, b)
			c.now += 2 * time.Second
			c.begin(a)
			c.arrive(a)
			c.answer(a)
			for range 200 {
				c.run(50*time.Millisecond, b)
				c.check(t)
			}
		},
		"reply of a take lost": func(t *testing.T, c *cluster, a, b *node) {
			c.run(ttl-time.Second, b)
			for range 400 {
				if _, isWrite := b.call.(Write); isWrite {
					break
				}
				c.arrive(b)
				c.answer(b)
				if b.call == nil {
					c.now += 50 * time.Millisecond
					c.step(b, Tick{})
				}
			}
			c.arrive(b)
			c.lose(b, false)
			require.Empty(t, c.holders(), "not before it has been read back")
			c.arrive(b)
			c.answer(b)
			require.Equal(t, []int{1}, c.holders())
		},
		"store down": func(t *testing.T, c *cluster, a, b *node) {
			for range 400 {
				c.now += 50 * time.Millisecond
				for _, n := range c.nodes {
					c.step(n, Tick{})
					if n.call != nil {
						c.step(n, Failed{})
					}
				}
				c.check(t)
			}
			require.Empty(t, c.holders())
			c.run(3*ttl, a, b)
			require.Len(t, c.holders(), 1)
		},
		"planned stop": func(t *testing.T, c *cluster, a, b *node) {
			c.step(a, Released{})
			require.Empty(t, c.holders())
			c.run(ttl, a, b)
			require.Equal(t, []int{1}, c.holders(), "no need to wait for the TTL")
		},
	}
	for name, play := range cases {
		t.Run(name, func(t *testing.T) {
			c := newCluster(0, 1000*time.Hour)
			a, b := c.nodes[0], c.nodes[1]
			c.run(time.Second, a, b)
			require.Equal(t, []int{0}, c.holders())
			play(t, c, a, b)
			c.check(t)
		})
	}
}

// Symptom: two routers give orders at once. Sequence: any schedule of pauses,
// late and lost messages, with clocks any distance apart. Cause: whatever the
// cases above do not reach.
func TestAtMostOneHolderProperty(t *testing.T) {
	held, taken := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		offset := rapid.Int64Range(0, int64(time.Hour))
		c := newCluster(time.Duration(offset.Draw(t, "a")), time.Duration(offset.Draw(t, "b")), time.Duration(offset.Draw(t, "c")))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for range 400 {
			c.chance(rng.Uint32())
			c.check(t)
		}
		if c.fence > 0 {
			held++
		}
		if c.fence > 1 {
			taken++
		}
	})
	require.Positive(t, held)
	t.Logf("schedules with a holder: %d, with a take-over seen: %d", held, taken)
}

// chance plays one step of a random schedule.
func (c *cluster) chance(step uint32) {
	n := c.nodes[step%3]
	step /= 3
	kind, size := step%16, time.Duration(step/16%64)
	switch {
	case kind < 5:
		c.now += size * ttl / 128
	case kind < 12:
		c.begin(n)
		c.arrive(n)
		c.answer(n)
	case kind == 12:
		c.begin(n)
	case kind == 13:
		c.arrive(n)
	case kind == 14:
		c.lose(n, size%2 == 0)
	case len(c.late) > 0:
		c.apply(c.late[int(size)%len(c.late)])
	}
}

// begin gives the node a tick and leaves its call under way.
func (c *cluster) begin(n *node) {
	if n.call == nil {
		c.step(n, Tick{})
	}
}

// rowTable is a table service with one row, which counts its calls.
type rowTable struct {
	platform.Table
	mu            sync.Mutex
	row           platform.Row
	down          bool
	reads, writes int
}

// set starts or ends an outage, and returns the calls since the last set.
func (t *rowTable) set(down bool) (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reads, writes = t.reads, t.writes
	t.down, t.reads, t.writes = down, 0, 0
	return reads, writes
}

func (t *rowTable) Get(context.Context, platform.Use, string, string) (platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.down {
		return platform.Row{}, platform.ErrUnavailable.New("down")
	}
	if t.row.Version == 0 {
		return platform.Row{}, platform.ErrNotFound.New("none")
	}
	return t.row, nil
}

func (t *rowTable) Commit(_ context.Context, _ platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if t.down {
		return nil, platform.ErrUnavailable.New("down")
	}
	if writes[0].IfVersion != t.row.Version {
		return nil, &platform.ConflictError{Current: t.row}
	}
	t.row = platform.Row{Table: Table, Key: Key, Value: writes[0].Value, Version: t.row.Version + 1}
	return []platform.Row{t.row}, nil
}

// Symptom: the lease alone uses up the store's budget, or nobody leads for
// long. Sequence: 380 routers run, the leader vanishes, the store goes down
// and comes back. Cause: everybody reads the row.
func TestRunnerCostAndFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routers = 380
		table := &rowTable{}
		start := time.Now()
		clock := func() time.Duration { return time.Since(start) }
		rng := rand.New(rand.NewPCG(1, 1))
		var runners []*Runner
		var stops []context.CancelFunc
		for i := range routers {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			seeded := rand.New(rand.NewPCG(rng.Uint64(), 1))
			r := NewRunner(table, fmt.Sprint("r", i), fmt.Sprint("t", i), ttl, clock, seeded.Float64)
			r.SetRank(i)
			go r.Run(ctx)
			runners, stops = append(runners, r), append(stops, cancel)
		}
		leaders := func() (out []int) {
			for i, r := range runners {
				if _, err := r.Valid(); err == nil {
					out = append(out, i)
				}
			}
			return out
		}
		wait := func(n int) time.Duration {
			from := clock()
			for len(leaders()) != n {
				require.Less(t, clock()-from, time.Minute)
				time.Sleep(10 * time.Millisecond)
			}
			return clock() - from
		}
		time.Sleep(time.Second)
		require.Equal(t, []int{0}, leaders())
		table.set(false)
		const rest = 1000
		time.Sleep(rest * time.Second)
		reads, writes := table.set(false)
		t.Logf("at rest: %.2f reads and %.2f writes a second", float64(reads)/rest, float64(writes)/rest)
		require.Less(t, reads, 2*rest)
		require.Less(t, writes, rest)
		stops[0]()
		wait(0)
		t.Logf("leader vanished; nobody led for %v", wait(1))
		table.set(true)
		t.Logf("store down; the leader stopped after %v", wait(0))
		time.Sleep(time.Minute)
		table.set(false)
		t.Logf("store back; a leader after %v", wait(1))
		left := leaders()[0]
		runners[left].Release()
		for i := left + 1; i < routers; i++ {
			runners[i].SetRank(i - left - 1)
		}
		t.Logf("leader released; the next one after %v", wait(1))
	})
}
