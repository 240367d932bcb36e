package forward

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/stretchr/testify/require"
)

// doubtsFixture is a RestartDoubts of a router that knows one engine.
type doubtsFixture struct {
	*RestartDoubts
	start    time.Time
	snapshot *catalog.Snapshot
	// openedAt is when the oldest open connection was opened; zero for none.
	openedAt time.Duration
	// running is the start of the engine that runs, and queryErr what a query for it fails with.
	running      int64
	queryErr     error
	queries      int
	queryTime    time.Duration
	multiVersion bool
}

func newDoubtsFixture() *doubtsFixture {
	f := &doubtsFixture{start: time.Now(), running: 1, queryTime: time.Millisecond}
	f.list(1, 1)
	f.RestartDoubts = NewRestartDoubts(DoubtsOptions{
		Clock: f.now, Snapshot: func() *catalog.Snapshot { return f.snapshot },
		Survives: func(_ string, before time.Duration) bool { return f.openedAt > 0 && f.openedAt < before },
		QueryStart: func(catalog.Engine) (StatedStart, error) {
			f.queries++
			openedAt := f.now()
			time.Sleep(f.queryTime)
			return StatedStart{Born: f.running, OpenedAt: openedAt}, f.queryErr
		},
		MultiVersion: func(string) bool { return f.multiVersion },
	})
	return f
}

func (f *doubtsFixture) now() time.Duration { return time.Hour + time.Since(f.start) }

// list makes the router know the engine as of now, with the start and revision of its entry.
func (f *doubtsFixture) list(born int64, revision uint64) {
	s := catalog.NewSnapshot()
	e := catalog.Engine{ID: "e", Service: "s", Version: "v1", Born: born, Revision: revision}
	s.Engines, _ = s.Engines.Apply(catalog.EngineUpdate{Full: true, Upto: revision, Present: []catalog.Engine{e}}, 0)
	s.EnginesAsOf = f.now()
	f.snapshot = s
}

func (f *doubtsFixture) engine() catalog.Engine { return f.snapshot.Engines.ByID["e"] }

// sleep waits and then until no query is in progress.
func sleep(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against an engine whose version is relied on although its process may be another one than that
// of its entry.
func TestLostConnectionPutsEngineInDoubtUntilProved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Queries in progress end before the test.
		defer sleep(time.Second)
		f := newDoubtsFixture()
		require.False(t, f.InDoubt(f.engine()))
		f.Lose("e", f.now())
		sleep(2 * lossSpread)
		require.True(t, f.InDoubt(f.engine()))
		sleep(10 * time.Millisecond)
		require.False(t, f.InDoubt(f.engine()), "it has stated the start of its entry")

		f.running = 2
		f.Lose("e", f.now())
		require.True(t, f.InDoubt(f.engine()))
		sleep(10 * entryDelay)
		f.list(1, 1)
		require.True(t, f.InDoubt(f.engine()), "it has stated another start, however late the entry is")
		require.True(t, f.Restarted(f.engine()))
		before := f.engine()
		f.list(2, 2)
		require.False(t, f.InDoubt(f.engine()))
		require.False(t, f.Restarted(f.engine()))
		require.True(t, f.InDoubt(before), "a choice made before the entry was replaced")
	})
}

// Guards against a stream that is not resumed although its engine has stated its start since it began, because
// connections of other streams are lost again and again.
func TestLaterLossLeavesEarlierConnectionProved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer sleep(time.Second)
		f := newDoubtsFixture()
		f.queryTime = 100 * time.Millisecond
		openedAt := f.now()
		f.Lose("e", openedAt)
		require.True(t, f.InDoubtAt(f.engine(), openedAt))
		for range 7 {
			sleep(20 * time.Millisecond)
			f.Lose("e", f.now())
		}
		require.True(t, f.InDoubt(f.engine()))
		require.False(t, f.InDoubtAt(f.engine(), openedAt))
		later := f.now()
		require.True(t, f.InDoubtAt(f.engine(), later), "the query was sent before")
		f.running = 2
		sleep(time.Second)
		require.True(t, f.InDoubtAt(f.engine(), later))
		require.False(t, f.InDoubtAt(f.engine(), openedAt), "it has ended since")
		f.list(2, 2)
		f.Connect("e", f.now(), false)
		require.False(t, f.InDoubtAt(f.engine(), later), "the entry is that of the new start")
	})
}

// Guards against queries for a start that the engine has just stated, on a connection that was opened later.
func TestStatedStartProvesConnectionsOpenedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer sleep(time.Second)
		f := newDoubtsFixture()
		f.multiVersion = true
		openedAt := f.now()
		sleep(time.Millisecond)
		f.Connect("e", f.now(), true)
		sleep(10 * time.Millisecond)
		require.Equal(t, 1, f.queries)
		f.Connect("e", openedAt, true)
		sleep(10 * time.Millisecond)
		require.Equal(t, 1, f.queries)
		f.Connect("e", f.now(), true)
		sleep(10 * time.Millisecond)
		require.Equal(t, 2, f.queries)
	})
}

func TestOlderConnectionProvesThatTheEngineWasNotRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Queries in progress end before the test.
		defer sleep(time.Second)
		f := newDoubtsFixture()
		f.openedAt = f.now()
		sleep(time.Second)
		f.Lose("e", f.now())
		sleep(2 * lossSpread)
		require.False(t, f.InDoubt(f.engine()))
		require.Zero(t, f.queries)

		// A connection opened after the last sign of life of the lost one may be to the new process.
		aliveAt := f.now()
		sleep(time.Second)
		f.openedAt = f.now()
		f.running = 2
		f.Lose("e", aliveAt)
		sleep(time.Second)
		require.True(t, f.InDoubt(f.engine()))
	})
}

// Guards against an engine that gets no resumed streams for good, since it does not state its start.
func TestDoubtEndsWithAYoungerListOfEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Queries in progress end before the test.
		defer sleep(time.Second)
		f := newDoubtsFixture()
		f.queryErr = errors.New("no report")
		f.Lose("e", f.now())
		for range 10 {
			sleep(entryDelay)
			require.True(t, f.InDoubt(f.engine()), "the list of engines is from before the loss")
		}
		require.LessOrEqual(t, f.queries, maxQueries)
		f.list(1, 1)
		require.False(t, f.InDoubt(f.engine()))
		f.list(0, 2)
		f.Lose("e", f.now())
		require.False(t, f.InDoubt(f.engine()), "engines without a start get a new ID at each")
	})
}

// Guards against an engine that was restarted while the router had no connection to it.
func TestFirstConnectionIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Queries in progress end before the test.
		defer sleep(time.Second)
		f := newDoubtsFixture()
		f.running = 2
		f.Connect("e", f.now(), false)
		require.False(t, f.InDoubt(f.engine()), "only streams need certainty")
		f.Verify(f.engine())
		require.True(t, f.InDoubt(f.engine()))

		f = newDoubtsFixture()
		const seconds = 10
		for range 100 * seconds {
			f.Connect("e", f.now(), true)
			sleep(10 * time.Millisecond)
		}
		require.LessOrEqual(t, f.queries, beginQueryBurst+beginQueriesPerSecond*seconds+1, "one version serves")
		f.multiVersion = true
		f.queries = 0
		for range 10 {
			f.Connect("e", f.now(), true)
			sleep(10 * time.Millisecond)
		}
		require.Equal(t, 10, f.queries)

		f = newDoubtsFixture()
		f.running = 2
		f.Connect("e", f.now(), false)
		sleep(2 * entryDelay)
		f.list(1, 1)
		f.Verify(f.engine())
		require.False(t, f.InDoubt(f.engine()), "the list of engines is younger")
	})
}

// Guards against a query for each first connection of each router: a start that a connection of another
// router proves needs none, until one loses a connection or several versions serve.
func TestStartProvenByAnotherRouterNeedsNoQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer sleep(time.Second)
		f := newDoubtsFixture()
		f.list(7, 1)
		f.running = 7
		var others feed.EngineLoad
		f.Others = func() map[string]feed.EngineLoad { return map[string]feed.EngineLoad{"e": others} }
		begin := func() int {
			before := f.queries
			f.Connect("e", f.now(), true)
			sleep(10 * time.Millisecond)
			return f.queries - before
		}
		require.Equal(t, 1, begin(), "nobody has a connection")
		others = feed.EngineLoad{Proven: 1}
		require.Zero(t, begin())
		others.LostBorn = 7
		require.Equal(t, 1, begin(), "a router has lost its connection to this start")
		others.LostBorn = 6
		require.Zero(t, begin(), "to the one before")
		f.multiVersion = true
		require.Equal(t, 1, begin())

		f.multiVersion = false
		f.Connect("e", f.now(), true)
		others.LostBorn = 7
		before := f.queries
		f.VerifyBegin(f.engine())
		sleep(10 * time.Millisecond)
		require.Equal(t, 1, f.queries-before, "the loss became known after the connection was opened")
	})
}

// Guards against proofs of a start by connections that may be to the next one.
func TestConnectionProvesStartOnceTheListIsYounger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newDoubtsFixture()
		f.list(7, 1)
		report := func() feed.EngineLoad {
			sleep(2 * proofInterval)
			f.list(7, 1)
			return f.AddTo(map[string]feed.EngineLoad{"e": {InFlight: 1}})["e"]
		}
		require.Equal(t, feed.EngineLoad{InFlight: 1}, report(), "no connection")
		f.openedAt = f.now()
		require.Equal(t, feed.EngineLoad{InFlight: 1}, report(), "as young as the list")
		sleep(entryDelay)
		require.Equal(t, feed.EngineLoad{InFlight: 1, Proven: 1}, report())
		f.Lose("e", f.now())
		require.Equal(t, feed.EngineLoad{InFlight: 1, LostBorn: 7}, report())
		sleep(2 * entryDelay)
		require.Equal(t, feed.EngineLoad{InFlight: 1, Proven: 1}, report(), "the list shows no other start")

		f.openedAt = f.now()
		f.running = 7
		require.Equal(t, feed.EngineLoad{InFlight: 1}, report())
		f.multiVersion = true
		f.Connect("e", f.now(), true)
		sleep(2 * proofInterval)
		require.Equal(t, feed.EngineLoad{InFlight: 1, Proven: 1}, f.AddTo(map[string]feed.EngineLoad{"e": {InFlight: 1}})["e"], "the engine has stated its start")

		f.list(0, 2)
		require.Equal(t, feed.EngineLoad{InFlight: 1}, f.AddTo(map[string]feed.EngineLoad{"e": {InFlight: 1}})["e"], "states no start")
	})
}
