package faults

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/traffic"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
)

// viewScenario has three routers that request permits from each other, and whose views
// of the fleet or of the engines are wrong.
type viewScenario struct {
	*faultkit.Cluster
	t       *testing.T
	a, b, c *faultkit.Router
}

const (
	routerCount     = 3
	viewEngineCount = 6
	// chatsPerRouter is the number of chats started at a router.
	chatsPerRouter = 12
	// locateCalls is the number of calls that arrive at one router at once.
	locateCalls = 200
	// locateJitter is the maximum share by which jitter shortens a locate reply's time to live.
	locateJitter = 0.2
)

// inViewScenario runs f with three routers that see each other.
func inViewScenario(t *testing.T, o faultkit.Options, f func(s *viewScenario)) {
	inCluster(t, routerCount, o, func(t *testing.T, cl *faultkit.Cluster) {
		s := &viewScenario{Cluster: cl, t: t, a: cl.Routers[0], b: cl.Routers[1], c: cl.Routers[2]}
		all := s.boardEntries(s.a, s.b, s.c)
		for _, r := range cl.Routers {
			r.SetView(all...)
		}
		time.Sleep(warmUp)
		f(s)
	})
}

func (s *viewScenario) boardEntries(routers ...*faultkit.Router) []board.Router {
	var out []board.Router
	for _, r := range routers {
		out = append(out, r.BoardEntry())
	}
	return out
}

// setDifferentViews sets a different view at each router: in each, another router is missing.
func (s *viewScenario) setDifferentViews() {
	s.a.SetView(s.boardEntries(s.b)...)
	s.b.SetView(s.boardEntries(s.c)...)
	s.c.SetView(s.boardEntries(s.a)...)
}

// crashEngine crashes an engine and removes its VM, while the routers' VM lists still
// name it.
func (s *viewScenario) crashEngine() {
	for _, r := range s.Routers {
		r.HoldVMList(true)
	}
	s.Platform.DeleteVM(firstEngine)
	s.Oracle.Engine(firstEngine).Crash()
}

// killRouter kills router c, which router a still considers live.
func (s *viewScenario) killRouter() {
	s.c.Gate.Kill()
	s.b.SetView(s.boardEntries(s.a)...)
}

// startChatsAt starts chats whose callers have the given routers as seeds, in their
// order.
func (s *viewScenario) startChatsAt(all *sync.WaitGroup, name string, n, tokens int, routers ...*faultkit.Router) []*faultkit.Chat {
	var chats []*faultkit.Chat
	c, err := s.Client(routers...)
	require.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	for i := range n {
		got := new(faultkit.Chat)
		chats = append(chats, got)
		chat := fmt.Sprint(name, "-", i)
		all.Go(func() { *got = s.SendTurn(c, faultkit.ChatOptions{Chat: chat, Text: chat, Tokens: tokens}) })
		// One at a time, so that the account's rate limit does not refuse any.
		time.Sleep(time.Second)
	}
	return chats
}

type viewCell struct {
	fault       faultkit.Fault
	inject      func(s *viewScenario)
	description string
}

var locateCells = []viewCell{
	{faultkit.StaleVMList, func(s *viewScenario) { s.killRouter(); s.crashEngine() }, "replies name a dead router and a crashed engine: the caller uses the alternates"},
	{faultkit.ViewsDiffer, (*viewScenario).setDifferentViews, "each router misses another one: replies name routers that are not the owners"},
}

func viewTests() cellTests {
	tests := cellTests{}
	for _, c := range locateCells {
		tests.add(c.fault, faultkit.Locate, cellTest{
			guarantees:  []faultkit.Guarantee{faultkit.OwnResponse},
			description: "three routers: " + c.description,
			run:         func(t *testing.T) { runWrongLocate(t, c) },
		})
	}
	tests.add(faultkit.Surge, faultkit.Locate, cellTest{
		guarantees:  []faultkit.Guarantee{faultkit.OwnResponse},
		description: "200 locate calls at once: no call of the store, and varying times to live",
		run:         runLocateSurge,
	})
	return tests
}

// runWrongLocate guards against chats that are refused or truncated because their
// caller was sent to the wrong router. A locate reply may be wrong and must only cost
// efficiency.
func runWrongLocate(t *testing.T, c viewCell) {
	inViewScenario(t, faultkit.Options{Engines: viewEngineCount, Bundle: highRateBundle(t)}, func(s *viewScenario) {
		c.inject(s)
		// Routers recompute the accounts' shares after a change of view.
		time.Sleep(warmUp)
		require.NotZero(s.t, s.differingLocates(), "some locate replies are wrong")
		var all sync.WaitGroup
		chats := s.startChatsAt(&all, "at-a", chatsPerRouter, chatTokens, s.a, s.b)
		all.Wait()
		for _, chat := range chats {
			require.NoError(s.t, chat.Err)
		}
	})
}

// differingLocates returns the number of chats for which routers a and b name different
// routers.
func (s *viewScenario) differingLocates() (wrong int) {
	for i := range chatsPerRouter {
		chat := fmt.Sprint("at-a-", i)
		if s.locate(s.a, chat).Router != s.locate(s.b, chat).Router {
			wrong++
		}
	}
	return wrong
}

func (s *viewScenario) locate(r *faultkit.Router, chat string) wire.LocateResponse {
	loc, err := s.Locate(r.Address, chat)
	require.NoError(s.t, err)
	return loc
}

// runLocateSurge guards against callers that locate in one burst and locate again in one burst,
// because all replies have the same time to live, and against locate calls that call the store.
func runLocateSurge(t *testing.T) {
	inViewScenario(t, faultkit.Options{Engines: viewEngineCount, Bundle: highRateBundle(t)}, func(s *viewScenario) {
		calls := len(s.Platform.History())
		responses := make([]wire.LocateResponse, locateCalls)
		var all sync.WaitGroup
		for i := range responses {
			all.Go(func() { responses[i], _ = s.Locate(s.a.Address, fmt.Sprint("chat-", i)) })
		}
		all.Wait()
		require.Len(s.t, s.Platform.History(), calls, "locate makes no call of the store")
		ttls := make(map[int64]bool)
		for _, loc := range responses {
			require.NotEmpty(s.t, loc.Address)
			ttl := time.Duration(loc.TTLMS) * time.Millisecond
			require.LessOrEqual(s.t, ttl, traffic.DefaultLocateTTL)
			require.GreaterOrEqual(s.t, float64(ttl), (1-locateJitter)*float64(traffic.DefaultLocateTTL)-float64(time.Millisecond))
			ttls[loc.TTLMS] = true
		}
		require.Greater(s.t, len(ttls), locateCalls/2, "the times to live differ")
	})
}
