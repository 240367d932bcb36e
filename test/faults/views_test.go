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

// views is a scenario: three routers that ask each other for permits, and
// whose views of the fleet or of the engines go wrong.
type views struct {
	*faultkit.World
	t       *testing.T
	a, b, c *faultkit.Router
}

const (
	viewRouters = 3
	viewEngines = 6
	// viewChats are started at each router.
	viewChats = 12
	// locates come at one router at one moment.
	locates = 200
	// locateJitter is the share of a locate answer's time to live that may
	// be taken off.
	locateJitter = 0.2
)

// inViews runs f with three routers that see each other.
func inViews(t *testing.T, o faultkit.Options, f func(s *views)) {
	inWorld(t, viewRouters, o, func(t *testing.T, w *faultkit.World) {
		s := &views{World: w, t: t, a: w.Routers[0], b: w.Routers[1], c: w.Routers[2]}
		all := s.seen(s.a, s.b, s.c)
		for _, r := range w.Routers {
			r.See(all...)
		}
		time.Sleep(warmUp)
		f(s)
	})
}

func (s *views) seen(routers ...*faultkit.Router) []board.Router {
	var out []board.Router
	for _, r := range routers {
		out = append(out, r.Seen())
	}
	return out
}

// apart gives each router another view: each misses one, in a circle.
func (s *views) apart() {
	s.a.See(s.seen(s.b)...)
	s.b.See(s.seen(s.c)...)
	s.c.See(s.seen(s.a)...)
}

// engineGone takes an engine's VM away and leaves it on the routers' lists.
func (s *views) engineGone() {
	for _, r := range s.Routers {
		r.HoldVMs(true)
	}
	s.Platform.DeleteVM(leaver)
	s.Oracle.Engine(leaver).Crash()
}

// routerGone kills a router that a goes on naming.
func (s *views) routerGone() {
	s.c.Gate.Kill()
	s.b.See(s.seen(s.a)...)
}

// sayAt starts chats whose callers ask the given routers, in their order.
func (s *views) sayAt(all *sync.WaitGroup, name string, n, tokens int, routers ...*faultkit.Router) []*faultkit.Chat {
	var chats []*faultkit.Chat
	c, err := s.Client(routers...)
	require.NoError(s.t, err)
	s.t.Cleanup(c.Close)
	for i := range n {
		got := new(faultkit.Chat)
		chats = append(chats, got)
		chat := fmt.Sprint(name, "-", i)
		all.Go(func() { *got = s.Say(c, faultkit.ChatOptions{Chat: chat, Text: chat, Tokens: tokens}) })
		// One at a time: the accounts' limits are not what is tested.
		time.Sleep(time.Second)
	}
	return chats
}

type viewCell struct {
	fault  faultkit.Fault
	strike func(s *views)
	does   string
}

var locateCells = []viewCell{
	{faultkit.VMsStale, func(s *views) { s.routerGone(); s.engineGone() }, "answers name a router and an engine that are gone: the caller goes on to the alternates"},
	{faultkit.ViewsDiff, (*views).apart, "each router misses another one: answers name routers that are not the owners"},
}

func viewProofs() proofs {
	p := proofs{}
	for _, c := range locateCells {
		p.add(c.fault, faultkit.Locate, proof{
			promises: []faultkit.Promise{faultkit.OwnAnswer},
			does:     "three routers: " + c.does,
			run:      func(t *testing.T) { runMislocated(t, c) },
		})
	}
	p.add(faultkit.Surge, faultkit.Locate, proof{
		promises: []faultkit.Promise{faultkit.OwnAnswer},
		does:     "200 locate calls at once: no call of the store, and times to live that spread",
		run:      runLocateSurge,
	})
	return p
}

// Symptom: a chat is refused or cut because its caller was sent to the wrong
// router.
// Sequence: one router's view goes wrong; callers ask it where to go, and go
// there.
// Cause: a locate answer is needed to be right, and not only good.
func runMislocated(t *testing.T, c viewCell) {
	inViews(t, faultkit.Options{Engines: viewEngines, Bundle: wideBundle(t)}, func(s *views) {
		c.strike(s)
		// Accounts get their shares anew after a change of view.
		time.Sleep(warmUp)
		require.NotZero(s.t, s.wrongAnswers(), "some answers are wrong")
		var all sync.WaitGroup
		chats := s.sayAt(&all, "at-a", viewChats, turnTokens, s.a, s.b)
		all.Wait()
		for _, chat := range chats {
			require.NoError(s.t, chat.Err)
		}
	})
}

// wrongAnswers counts the chats for which a names another router than b.
func (s *views) wrongAnswers() (wrong int) {
	for i := range viewChats {
		chat := fmt.Sprint("at-a-", i)
		if s.locate(s.a, chat).Router != s.locate(s.b, chat).Router {
			wrong++
		}
	}
	return wrong
}

func (s *views) locate(r *faultkit.Router, chat string) wire.Locate {
	loc, err := s.Locate(r.Address, chat)
	require.NoError(s.t, err)
	return loc
}

// Symptom: callers that asked in one burst come back in one; or the store has
// a call for each question.
// Sequence: many callers ask one router at the same moment.
// Cause: all answers have the same time to live, or the question is looked up.
func runLocateSurge(t *testing.T) {
	inViews(t, faultkit.Options{Engines: viewEngines, Bundle: wideBundle(t)}, func(s *views) {
		calls := len(s.Platform.History())
		answers := make([]wire.Locate, locates)
		var all sync.WaitGroup
		for i := range answers {
			all.Go(func() { answers[i], _ = s.Locate(s.a.Address, fmt.Sprint("chat-", i)) })
		}
		all.Wait()
		require.Len(s.t, s.Platform.History(), calls, "no call of the store")
		spread := make(map[int64]bool)
		for _, loc := range answers {
			require.NotEmpty(s.t, loc.Address)
			ttl := time.Duration(loc.TTLMS) * time.Millisecond
			require.LessOrEqual(s.t, ttl, traffic.DefaultLocateTTL)
			require.GreaterOrEqual(s.t, float64(ttl), (1-locateJitter)*float64(traffic.DefaultLocateTTL)-float64(time.Millisecond))
			spread[loc.TTLMS] = true
		}
		require.Greater(s.t, len(spread), locates/2, "the times to live spread")
	})
}
