package flow

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// fakeFleet is some routers that call one another in memory, on a fake clock.
type fakeFleet struct {
	origin time.Time
	live   []feed.Peer
	owners map[string]*Owner
	askers map[string]*Asker
	mu     sync.Mutex
	silent map[string]bool
	known  map[string]Known
	// leaving are the engines that take no more requests.
	leaving map[string]bool
}

var errCut = errors.New("cut")

func (f *fakeFleet) clock() time.Duration { return time.Hour + time.Since(f.origin) }

func (f *fakeFleet) call(ctx context.Context, to feed.Peer, method string, args, reply any) error {
	f.mu.Lock()
	silent := f.silent[to.Name]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errCut
	}
	service := &Service{Owner: f.owners[to.Name]}
	if method == ReleaseMethod {
		return service.Release(args.(ReleaseArgs), reply.(*Nothing))
	}
	return service.Ask(args.(Ask), reply.(*Answer))
}

// inFleet runs a test with some routers, of which one owns the gate of the engine "e".
func inFleet(t *testing.T, test func(f *fakeFleet, owner string, others []string)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fakeFleet{
			origin: time.Now(), owners: map[string]*Owner{}, askers: map[string]*Asker{},
			silent: map[string]bool{}, known: map[string]Known{}, leaving: map[string]bool{},
		}
		for _, name := range []string{"a", "b", "c"} {
			f.live = append(f.live, feed.Peer{Name: name})
		}
		var running sync.WaitGroup
		for _, p := range f.live {
			o := NewOwner(f.clock, func(engine string) Known { return f.known[engine] }, func(engine string) bool { return f.leaving[engine] })
			f.owners[p.Name] = o
			running.Go(func() { o.Run(ctx) })
			f.askers[p.Name] = NewAsker(Options{
				Self: p.Name, Owner: o, Clock: f.clock, Call: f.call, Log: log.New(io.Discard),
				Live: func() []feed.Peer { return f.live }, Engines: func() int { return 1 },
			})
		}
		owner, _ := OwnerOf("e", Owners(f.live, 1))
		var others []string
		for _, p := range f.live {
			if p.Name != owner.Name {
				others = append(others, p.Name)
			}
		}
		test(f, owner.Name, others)
		time.Sleep(time.Minute)
		cancel()
		running.Wait()
	})
}

func askFor(places int, maxWait time.Duration) Ask {
	return Ask{Engine: "e", Places: places, Weight: 1, MaxWait: maxWait, Lease: 30 * time.Second, Hold: time.Second}
}

// Symptom: an engine with one place is sent several requests. Sequence: routers see the free
// place at the same moment. Cause handled: they ask the same owner, which counts.
func TestOnePlaceOneRequest(t *testing.T) {
	inFleet(t, func(f *fakeFleet, owner string, others []string) {
		ctx := context.Background()
		first, _, err := f.askers[others[0]].Ask(ctx, askFor(1, time.Second))
		require.NoError(t, err)
		granted := make(chan *Permit, 1)
		go func() {
			p, _, err := f.askers[others[1]].Ask(ctx, askFor(1, time.Second))
			require.NoError(t, err)
			granted <- p
		}()
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, granted)
		_, answer, err := f.askers[owner].Ask(ctx, askFor(1, 10*time.Millisecond))
		require.True(t, ErrRefused.Has(err))
		require.Positive(t, answer.Wait)
		f.askers[others[0]].Release(first)
		time.Sleep(10 * time.Millisecond)
		require.Len(t, granted, 1)
		require.Equal(t, 1, f.owners[owner].Load().Leases)
	})
}

// Symptom: an engine runs half empty. Sequence: a caller leaves while its request waits for a
// place, or the owner's answer comes after the caller has left. Cause handled: the place that
// comes of it is given back.
func TestPlaceOfACallerWhoHasLeftIsGivenBack(t *testing.T) {
	inFleet(t, func(f *fakeFleet, owner string, others []string) {
		first, _, err := f.askers[others[0]].Ask(context.Background(), askFor(1, time.Second))
		require.NoError(t, err)
		for _, name := range []string{owner, others[1]} {
			ctx, leave := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, leave)
			_, _, err = f.askers[name].Ask(ctx, askFor(1, 3*time.Second))
			require.True(t, ErrLeft.Has(err))
		}
		f.askers[others[0]].Release(first)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, Load{Gates: 1}, f.owners[owner].Load())
	})
}

// Symptom: all requests of a service hang for as long as an owner is frozen. Sequence: the
// owner of an engine's gate stands still. Cause handled: an ask is given up a short time after
// its wait, and the owner not asked again for a while; the request goes without asking.
func TestSilentOwnerIsNotAskedForAWhile(t *testing.T) {
	inFleet(t, func(f *fakeFleet, owner string, others []string) {
		f.silent[owner] = true
		asker := f.askers[others[0]]
		began := f.clock()
		_, _, err := asker.Ask(context.Background(), askFor(1, 100*time.Millisecond))
		require.True(t, ErrNoOwner.Has(err))
		require.LessOrEqual(t, f.clock()-began, 100*time.Millisecond+callMargin)
		began = f.clock()
		_, _, err = asker.Ask(context.Background(), askFor(1, 100*time.Millisecond))
		require.True(t, ErrNoOwner.Has(err))
		require.Zero(t, f.clock()-began)
		f.mu.Lock()
		f.silent[owner] = false
		f.mu.Unlock()
		time.Sleep(suspectFor)
		_, _, err = asker.Ask(context.Background(), askFor(1, 100*time.Millisecond))
		require.NoError(t, err)
	})
}

// Symptom: an engine holds twice its places after a router came or went. Sequence: the gate
// has a new owner, which has granted nothing; reports tell of leases and of requests without.
// Cause handled: what is reported beyond a gate's own leases takes places too.
func TestNewOwnerCountsWhatReportsTell(t *testing.T) {
	inFleet(t, func(f *fakeFleet, owner string, others []string) {
		f.known["e"] = Known{Unasked: 2, Leased: 3}
		_, _, err := f.askers[others[0]].Ask(context.Background(), askFor(5, 20*time.Millisecond))
		require.True(t, ErrRefused.Has(err))
		p, _, err := f.askers[others[0]].Ask(context.Background(), askFor(6, 20*time.Millisecond))
		require.NoError(t, err)
		// Its own lease is heard of next; it does not count twice.
		f.known["e"] = Known{Unasked: 2, Leased: 4}
		_, _, err = f.askers[others[1]].Ask(context.Background(), askFor(7, 20*time.Millisecond))
		require.NoError(t, err)
		f.askers[others[0]].Release(p)
	})
}

// Symptom: in a surge each caller is refused once and then served late. Sequence: a request is
// refused by the owner of its engine's gate, and comes back at another router. Cause handled:
// the owner knows it again, and lets it wait behind those that can be on time.
func TestOwnerKnowsARequestThatComesBack(t *testing.T) {
	inFleet(t, func(f *fakeFleet, owner string, others []string) {
		running, _, err := f.askers[owner].Ask(context.Background(), askFor(1, 0))
		require.NoError(t, err)
		question := askFor(1, 10*time.Millisecond)
		question.Subject, question.Attempt, question.Slack = 7, 1, 300*time.Millisecond
		_, answer, err := f.askers[others[0]].Ask(context.Background(), question)
		require.True(t, ErrRefused.Has(err))
		require.False(t, answer.Late)
		time.Sleep(time.Second)
		order := make(chan uint64, 2)
		wait := func(router string, attempt, subject uint64) {
			question := askFor(1, 10*time.Second)
			question.Subject, question.Attempt, question.Slack = subject, attempt, 300*time.Millisecond
			p, answer, err := f.askers[router].Ask(context.Background(), question)
			require.NoError(t, err)
			require.Equal(t, attempt == 2, answer.Late)
			order <- attempt
			time.Sleep(time.Second)
			f.askers[router].Release(p)
		}
		go wait(others[1], 2, 7)
		time.Sleep(10 * time.Millisecond)
		go wait(others[0], 3, 8)
		time.Sleep(10 * time.Millisecond)
		f.askers[owner].Release(running)
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 3, <-order)
		require.EqualValues(t, 2, <-order)
	})
}

// Symptom: places stay taken for good. Sequence: a router dies with leases. Cause handled:
// they end when it is known to be gone.
func TestLeasesOfADeadRouterEnd(t *testing.T) {
	inFleet(t, func(f *fakeFleet, owner string, others []string) {
		_, _, err := f.askers[others[0]].Ask(context.Background(), askFor(1, time.Second))
		require.NoError(t, err)
		f.owners[owner].Gone(others[0])
		_, _, err = f.askers[others[1]].Ask(context.Background(), askFor(1, 0))
		require.NoError(t, err)
	})
}

// Symptom: the memory of an owner grows with each router that dies under load. Sequence: a
// router's ask waits, and the router dies, or gives the ask up and says so. Cause: the ask left the
// gate without a verdict, for which the call waited on for good. Handled: each ask has one end.
func TestAsksOfADeadRouterEnd(t *testing.T) {
	inFleet(t, func(f *fakeFleet, owner string, others []string) {
		first, _, err := f.askers[owner].Ask(context.Background(), askFor(1, time.Second))
		require.NoError(t, err)
		for _, end := range []func(Ask){
			func(Ask) { f.owners[owner].Gone(others[0]) },
			func(a Ask) { f.owners[owner].Release(a.Engine, a.ID) },
		} {
			a := askFor(1, 5*time.Second)
			a.ID, a.From = others[0]+"#1", others[0]
			ended := make(chan Answer, 1)
			go func() { ended <- f.owners[owner].Ask(context.Background(), a) }()
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, 1, f.owners[owner].Load().Waiting)
			end(a)
			time.Sleep(time.Millisecond)
			require.Equal(t, Answer{}, <-ended)
			require.Zero(t, f.owners[owner].Load().Waiting)
		}
		f.askers[owner].Release(first)
	})
}

// All routers that see the same others agree on the owner, and one that goes takes few
// engines along.
func TestOwnersAreFewAndStable(t *testing.T) {
	var live []feed.Peer
	for i := range 40 {
		live = append(live, feed.Peer{Name: string(rune('A' + i)), Link: uint64(10 + i%4)})
	}
	owners := Owners(live, 60)
	require.Len(t, owners, 15)
	for _, o := range owners {
		require.GreaterOrEqual(t, o.Link, uint64(12), "the best links own gates")
	}
	moved := 0
	for i := range 60 {
		engine := string(rune('a' + i))
		before, _ := OwnerOf(engine, owners)
		after, _ := OwnerOf(engine, owners[1:])
		if before != after {
			moved++
			require.Equal(t, owners[0], before)
		}
	}
	require.Less(t, moved, 15)
	_, ok := OwnerOf("e", nil)
	require.False(t, ok)
}

// Guards against gates whose owners' links are filled by the questions of a surge: routers with weak
// links own none while there are others, and some do where there are none.
func TestWeakLinksOwnNoGates(t *testing.T) {
	var live []feed.Peer
	for i := range 40 {
		live = append(live, feed.Peer{Name: string(rune('A' + i)), Link: 10})
	}
	require.Len(t, Owners(live, 60), 15)
	for i := range 5 {
		live[8*i].Link = 200
	}
	owners := Owners(live, 60)
	require.Len(t, owners, 5)
	for _, o := range owners {
		require.EqualValues(t, 200, o.Link)
	}
	require.Len(t, Owners(live[1:10], 60), leastOwners)
}
