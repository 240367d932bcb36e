package flow

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/gate"
	"damaskrouter.example/damaskrouter/internal/decide/room"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// fakeFleet is a set of routers that call each other in memory, on a fake clock.
type fakeFleet struct {
	origin  time.Time
	live    []feed.Peer
	owners  map[string]*Owner
	clients map[string]*Client
	mu      sync.Mutex
	silent  map[string]bool
	// deaf routers execute calls but their replies are lost, and slow ones reply after a delay.
	deaf     map[string]bool
	slow     map[string]time.Duration
	reported map[string]ReportedLoad
	// outOfService holds the engines that take no more requests.
	outOfService map[string]bool
}

var errUnreachable = errors.New("cut")

func (f *fakeFleet) clock() time.Duration { return time.Hour + time.Since(f.origin) }

func (f *fakeFleet) call(ctx context.Context, to feed.Peer, method string, args, reply any) error {
	f.mu.Lock()
	silent, deaf, slow := f.silent[to.Name], f.deaf[to.Name], f.slow[to.Name]
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return errUnreachable
	}
	service := &Service{Owner: f.owners[to.Name]}
	if method == ReleaseMethod {
		return service.Release(args.(ReleaseArgs), reply.(*Empty))
	}
	err := service.Ask(args.(SlotRequest), reply.(*Answer))
	if deaf {
		<-ctx.Done()
		return errUnreachable
	}
	time.Sleep(slow)
	return err
}

// runInFleet runs a test with three routers, of which one owns the gate of the engine "e".
func runInFleet(t *testing.T, test func(f *fakeFleet, owner string, others []string)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fakeFleet{
			origin: time.Now(), owners: map[string]*Owner{}, clients: map[string]*Client{},
			silent: map[string]bool{}, deaf: map[string]bool{}, slow: map[string]time.Duration{},
			reported: map[string]ReportedLoad{}, outOfService: map[string]bool{},
		}
		for _, name := range []string{"a", "b", "c"} {
			f.live = append(f.live, feed.Peer{Name: name})
		}
		var running sync.WaitGroup
		for _, p := range f.live {
			o := NewOwner(f.clock, func(engine string) ReportedLoad { return f.reported[engine] }, func(engine string) bool { return f.outOfService[engine] })
			f.owners[p.Name] = o
			running.Go(func() { o.Run(ctx) })
			f.clients[p.Name] = NewClient(Options{
				Self: p.Name, Owner: o, Clock: f.clock, Call: f.call, Log: log.New(io.Discard),
				Live: func() []feed.Peer { return f.live }, Engines: func() int { return 1 },
			})
		}
		owner, _ := OwnerOf("e", SelectOwners(f.live, 1))
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

func newRequest(slots int, maxWait time.Duration) SlotRequest {
	return SlotRequest{Engine: "e", Places: slots, Weight: 1, MaxWait: maxWait, Lease: 30 * time.Second, Hold: time.Second}
}

// Guards against sending several requests to an engine with one slot when routers see the free slot
// at the same moment: all of them request the slot from the same owner, which counts the slots that
// it has granted.
func TestOneSlotIsNotGrantedTwice(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		ctx := context.Background()
		first, _, err := f.clients[others[0]].Acquire(ctx, newRequest(1, time.Second), callMargin)
		require.NoError(t, err)
		granted := make(chan *Permit, 1)
		go func() {
			p, _, err := f.clients[others[1]].Acquire(ctx, newRequest(1, time.Second), callMargin)
			require.NoError(t, err)
			granted <- p
		}()
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, granted)
		_, reply, err := f.clients[owner].Acquire(ctx, newRequest(1, 10*time.Millisecond), callMargin)
		require.True(t, ErrRefused.Has(err))
		require.Positive(t, reply.Wait)
		f.clients[others[0]].Release(first)
		time.Sleep(10 * time.Millisecond)
		require.Len(t, granted, 1)
		require.Equal(t, 1, f.owners[owner].Load().Leases)
	})
}

// Guards against slots that stay idle after a caller left while its request was waiting, or before
// the owner's reply arrived: a slot granted to it is released.
func TestSlotIsReleasedAfterCallerLeft(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		first, _, err := f.clients[others[0]].Acquire(context.Background(), newRequest(1, time.Second), callMargin)
		require.NoError(t, err)
		for _, name := range []string{owner, others[1]} {
			ctx, leave := context.WithCancel(context.Background())
			time.AfterFunc(50*time.Millisecond, leave)
			_, _, err = f.clients[name].Acquire(ctx, newRequest(1, 3*time.Second), callMargin)
			require.True(t, ErrCanceled.Has(err))
		}
		f.clients[others[0]].Release(first)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, Load{Gates: 1}, f.owners[owner].Load())
	})
}

// Guards against requests of a service that all hang while an owner is frozen: a call is given up
// shortly after the request's maximum wait, and the owner is not called again for a while. Such
// requests are sent without a slot.
func TestUnresponsiveOwnerIsNotAskedForAWhile(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		f.silent[owner] = true
		client := f.clients[others[0]]
		start := f.clock()
		_, _, err := client.Acquire(context.Background(), newRequest(1, 100*time.Millisecond), callMargin)
		require.True(t, ErrOwnerUnreachable.Has(err))
		require.LessOrEqual(t, f.clock()-start, 100*time.Millisecond+callMargin)
		start = f.clock()
		_, _, err = client.Acquire(context.Background(), newRequest(1, 100*time.Millisecond), callMargin)
		require.True(t, ErrOwnerUnreachable.Has(err))
		require.Zero(t, f.clock()-start)
		f.mu.Lock()
		f.silent[owner] = false
		f.mu.Unlock()
		time.Sleep(ownerCooldown)
		_, _, err = client.Acquire(context.Background(), newRequest(1, 100*time.Millisecond), callMargin)
		require.NoError(t, err)
	})
}

// Guards against requests that are late because the owner of a gate is slow: they don't wait for a reply
// that takes longer than they can spare, others don't call the owner for a while, and the slot that was
// granted too late is free again.
func TestSlowOwnerIsNotWaitedFor(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		f.slow[owner] = 150 * time.Millisecond
		client := f.clients[others[0]]
		start := f.clock()
		_, _, err := client.Acquire(context.Background(), newRequest(1, 20*time.Millisecond), 30*time.Millisecond)
		require.True(t, ErrOwnerUnreachable.Has(err))
		require.Equal(t, 50*time.Millisecond, f.clock()-start)
		start = f.clock()
		_, _, err = client.Acquire(context.Background(), newRequest(1, 20*time.Millisecond), 30*time.Millisecond)
		require.True(t, ErrOwnerUnreachable.Has(err))
		require.Zero(t, f.clock()-start)
		time.Sleep(slowCooldown)
		require.Zero(t, f.owners[owner].Load().Leases)
		f.mu.Lock()
		f.slow[owner] = 0
		f.mu.Unlock()
		_, _, err = client.Acquire(context.Background(), newRequest(1, 20*time.Millisecond), 30*time.Millisecond)
		require.NoError(t, err)
	})
}

// Guards against slots that stay taken while the link from an owner is cut one way: it grants them, and
// its replies are lost.
func TestSlotGrantedInLostReplyIsReleased(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		f.deaf[owner] = true
		_, _, err := f.clients[others[0]].Acquire(context.Background(), newRequest(1, 20*time.Millisecond), 30*time.Millisecond)
		require.True(t, ErrOwnerUnreachable.Has(err))
		time.Sleep(2 * releaseDelay)
		require.Zero(t, f.owners[owner].Load().Leases)
	})
}

// Guards against callers that have left and keep their place in the queue of another router's gate.
func TestCallerThatLeavesFreesItsPlaceInTheQueue(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		client := f.clients[others[0]]
		permit, _, err := client.Acquire(context.Background(), newRequest(1, time.Second), callMargin)
		require.NoError(t, err)
		ctx, leave := context.WithCancel(context.Background())
		go func() {
			time.Sleep(100 * time.Millisecond)
			leave()
		}()
		_, _, err = client.Acquire(ctx, newRequest(1, 3*time.Second), callMargin)
		require.True(t, ErrCanceled.Has(err))
		time.Sleep(50 * time.Millisecond)
		require.Zero(t, f.owners[owner].Load().Waiting)
		client.Release(permit)
	})
}

// Guards against slots that stand idle while requests wait at the gate: an engine that states free slots
// gets more requests, up to the bound that the sender states, and without statements as many as before.
func TestEngineThatStatesFreeSlotsGetsMore(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		client := f.clients[others[0]]
		most := func(mostPlaces int, load gate.EngineLoad) (held int) {
			f.owners[owner].mu.Lock()
			delete(f.owners[owner].gates, "e")
			f.owners[owner].mu.Unlock()
			req := newRequest(2, time.Minute)
			req.MostPlaces = mostPlaces
			var wg sync.WaitGroup
			for range 60 {
				wg.Go(func() {
					permit, _, err := client.Acquire(context.Background(), req, time.Second)
					if err != nil {
						return
					}
					held = max(held, f.owners[owner].Load().Leases)
					time.Sleep(time.Second)
					permit.Load = load
					client.Release(permit)
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
			return held
		}
		idle := gate.EngineLoad{Running: 1, Slots: 6}
		require.Equal(t, 4, most(4, idle))
		require.Equal(t, 2, most(0, idle), "a router of an earlier release")
		require.Equal(t, 2, most(4, gate.EngineLoad{}), "no statement")
		require.Equal(t, 2, most(4, gate.EngineLoad{Running: 6, Slots: 6}), "no free slot")
	})
}

// Guards against memory that the owner of a gate doesn't count although the request states it, and against
// one that a request of an earlier release, which states nothing, takes away.
func TestOwnerGrantsWhatFitsIntoTheMemory(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		held := func(memory int, need room.Need) int {
			f.owners[owner].mu.Lock()
			delete(f.owners[owner].gates, "e")
			f.owners[owner].mu.Unlock()
			for i := range 20 {
				req := newRequest(16, 0)
				req.Memory, req.Need = memory, need
				if i == 10 {
					req.Memory, req.Need = 0, room.Need{}
				}
				_, _, _ = f.clients[others[0]].Acquire(context.Background(), req, time.Second)
			}
			return f.owners[owner].Load().Leases
		}
		need := room.Need{Own: 100, Output: 20, Most: 20, Parts: []room.Part{{ID: 1, Tokens: 300}}}
		require.Equal(t, 5, held(900, need), "the part is held once, by all")
		_, reply, err := f.clients[others[0]].Acquire(context.Background(), SlotRequest{Engine: "e", Places: 16, Memory: 900, Need: need}, time.Second)
		require.True(t, ErrRefused.Has(err))
		require.True(t, reply.NoMemory)
		require.Equal(t, 16, held(0, need), "the configuration states no memory")
		require.Equal(t, 16, held(900, room.Need{}), "nothing is known of requests")
	})
}

// Guards against an engine that gets twice as many requests as it has slots after a router came or
// went: a new owner has granted nothing, so reported requests beyond its own leases must occupy
// slots.
func TestNewOwnerCountsReportedRequests(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		f.reported["e"] = ReportedLoad{Unleased: 2, Leased: 3}
		_, _, err := f.clients[others[0]].Acquire(context.Background(), newRequest(5, 20*time.Millisecond), callMargin)
		require.True(t, ErrRefused.Has(err))
		p, _, err := f.clients[others[0]].Acquire(context.Background(), newRequest(6, 20*time.Millisecond), callMargin)
		require.NoError(t, err)
		// The reports now include the gate's own lease, which must not count twice.
		f.reported["e"] = ReportedLoad{Unleased: 2, Leased: 4}
		_, _, err = f.clients[others[1]].Acquire(context.Background(), newRequest(7, 20*time.Millisecond), callMargin)
		require.NoError(t, err)
		f.clients[others[0]].Release(p)
	})
}

// Guards against a surge in which each request is refused once and then served late: the owner
// recognizes a retry sent through another router, and serves it after requests that can still be on
// time.
func TestOwnerServesLateRetryLast(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		running, _, err := f.clients[owner].Acquire(context.Background(), newRequest(1, 0), callMargin)
		require.NoError(t, err)
		req := newRequest(1, 10*time.Millisecond)
		req.Subject, req.Attempt, req.Slack = 7, 1, 300*time.Millisecond
		_, reply, err := f.clients[others[0]].Acquire(context.Background(), req, callMargin)
		require.True(t, ErrRefused.Has(err))
		require.False(t, reply.Late)
		time.Sleep(time.Second)
		order := make(chan uint64, 2)
		wait := func(router string, attempt, subject uint64) {
			req := newRequest(1, 10*time.Second)
			req.Subject, req.Attempt, req.Slack = subject, attempt, 300*time.Millisecond
			p, reply, err := f.clients[router].Acquire(context.Background(), req, callMargin)
			require.NoError(t, err)
			require.Equal(t, attempt == 2, reply.Late)
			order <- attempt
			time.Sleep(time.Second)
			f.clients[router].Release(p)
		}
		go wait(others[1], 2, 7)
		time.Sleep(10 * time.Millisecond)
		go wait(others[0], 3, 8)
		time.Sleep(10 * time.Millisecond)
		f.clients[owner].Release(running)
		time.Sleep(5 * time.Second)
		require.EqualValues(t, 3, <-order)
		require.EqualValues(t, 2, <-order)
	})
}

// Guards against slots that stay occupied for good after a router dies with leases.
func TestLeasesOfDeadRouterEnd(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		_, _, err := f.clients[others[0]].Acquire(context.Background(), newRequest(1, time.Second), callMargin)
		require.NoError(t, err)
		f.owners[owner].RouterGone(others[0])
		_, _, err = f.clients[others[1]].Acquire(context.Background(), newRequest(1, 0), callMargin)
		require.NoError(t, err)
	})
}

// Guards against memory that grows with each router that dies under load: if a dead router's
// waiting request, or one that its sender aborted, left the gate without a decision, the call for
// it would wait forever.
func TestQueuedRequestsOfDeadRouterEnd(t *testing.T) {
	runInFleet(t, func(f *fakeFleet, owner string, others []string) {
		first, _, err := f.clients[owner].Acquire(context.Background(), newRequest(1, time.Second), callMargin)
		require.NoError(t, err)
		for _, end := range []func(SlotRequest){
			func(SlotRequest) { f.owners[owner].RouterGone(others[0]) },
			func(a SlotRequest) { f.owners[owner].Release(LeaseRef{Engine: a.Engine, ID: a.ID}) },
		} {
			req := newRequest(1, 5*time.Second)
			req.ID, req.From = others[0]+"#1", others[0]
			ended := make(chan Answer, 1)
			go func() { ended <- f.owners[owner].Acquire(context.Background(), req) }()
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, 1, f.owners[owner].Load().Waiting)
			end(req)
			time.Sleep(time.Millisecond)
			require.Equal(t, Answer{}, <-ended)
			require.Zero(t, f.owners[owner].Load().Waiting)
		}
		f.clients[owner].Release(first)
	})
}

// Guards against a change of owners that moves many engines: all routers with the same view agree
// on the owners, and the loss of one moves only its own engines.
func TestOwnerLossMovesFewEngines(t *testing.T) {
	var live []feed.Peer
	for i := range 40 {
		live = append(live, feed.Peer{Name: string(rune('A' + i)), Link: uint64(10 + i%4)})
	}
	owners := SelectOwners(live, 60)
	require.Len(t, owners, 15)
	for _, o := range owners {
		require.GreaterOrEqual(t, o.Link, uint64(12), "only routers with the best links own gates")
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

// Guards against late grants in a surge because the requests for slots saturate the links of gate
// owners: routers with weak links own no gates as long as there are enough others, and some do if
// there are not.
func TestRoutersWithWeakLinksOwnNoGates(t *testing.T) {
	var live []feed.Peer
	for i := range 40 {
		live = append(live, feed.Peer{Name: string(rune('A' + i)), Link: 10})
	}
	require.Len(t, SelectOwners(live, 60), 15)
	for i := range 5 {
		live[8*i].Link = 200
	}
	owners := SelectOwners(live, 60)
	require.Len(t, owners, 5)
	for _, o := range owners {
		require.EqualValues(t, 200, o.Link)
	}
	require.Len(t, SelectOwners(live[1:10], 60), minOwners)
}
