package controller

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
)

const (
	// statusPeriod is how often the owner asks an engine for its report.
	statusPeriod  = time.Second
	statusTimeout = 2 * time.Second
	// idsEvery is how many reports pass between two that name the requests.
	idsEvery = 3
)

// Engines watches the engines that this router owns.
type Engines struct {
	Board    *board.Board
	Upstream *upstream.Client
	// Admission is told of the engines' loads, Facts of their caches.
	Admission *admission.Admission
	Facts     *admission.Facts
	Log       *log.Logger

	mu sync.Mutex
	// watching ends the watchers, by the engine's id.
	watching map[uint64]context.CancelFunc
	// reports are the last ones, by the engine's name.
	reports map[string]heardReport
}

// heardReport is an engine's last report and when it came.
type heardReport struct {
	status wire.EngineStatus
	at     time.Time
	// polls counts the reports since this router began to watch.
	polls int
}

// Run watches until ctx ends.
func (g *Engines) Run(ctx context.Context) {
	g.mu.Lock()
	g.watching = make(map[uint64]context.CancelFunc)
	g.reports = make(map[string]heardReport)
	g.mu.Unlock()
	every(ctx, statusPeriod/2, g.step)
}

// step starts and ends watchers as ownership moves.
func (g *Engines) step(ctx context.Context) {
	snap := g.Board.Snapshot()
	owned := make(map[uint64]board.Engine)
	for _, e := range snap.Engines {
		if r, ok := snap.EngineOwner(e.ID); ok && r.Name == snap.Self {
			owned[e.ID] = e
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, stop := range g.watching {
		if _, ok := owned[id]; !ok {
			stop()
			delete(g.watching, id)
			g.forget(snap, id)
			g.Facts.Unfollow(id)
		}
	}
	for id, e := range owned {
		if g.watching[id] == nil {
			wctx, stop := context.WithCancel(ctx)
			g.watching[id] = stop
			go every(wctx, statusPeriod, func(ctx context.Context) { g.watch(ctx, e.Name) })
		}
	}
	g.Facts.Prune(snap)
}

// forget drops the report of an engine that is not watched any more.
func (g *Engines) forget(snap *board.Snapshot, id uint64) {
	for name := range g.reports {
		if e, ok := snap.Engines[name]; !ok || e.ID == id {
			delete(g.reports, name)
		}
	}
}

// watch asks one engine for its report and its cache events.
func (g *Engines) watch(ctx context.Context, name string) {
	e, ok := g.Board.Snapshot().Engines[name]
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	call := upstream.Call{Address: e.Address, Name: e.Name, Brief: g.brief(name)}
	st, err := g.Upstream.Status(ctx, call)
	if err != nil {
		g.Log.Debug("no report", "engine", name, "cause", err)
		return
	}
	restarted := g.remember(st)
	if call.Brief && !restarted {
		g.Admission.EngineState(&e, st)
	} else {
		g.Admission.EngineReport(&e, st)
	}
	g.Facts.Current(e.ID, st.Incarnation)
	g.note(e, st)
	if e.Kind == platform.KindEngine {
		g.follow(ctx, e, st.Incarnation)
	}
}

// brief says whether the next report may do without the requests' ids. They
// are most of it, and are needed only to find what the books don't know.
func (g *Engines) brief(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reports[name].polls%idsEvery != 0
}

// remember keeps a report and says whether it is of another incarnation than
// the one before.
func (g *Engines) remember(st wire.EngineStatus) (restarted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st.RequestIDs = nil
	last, known := g.reports[st.Name]
	g.reports[st.Name] = heardReport{status: st, at: time.Now(), polls: last.polls + 1}
	return known && last.status.Incarnation != st.Incarnation
}

// note puts the report on the board where it says something new.
func (g *Engines) note(e board.Engine, st wire.EngineStatus) {
	generation := e.Generation
	known := e.Known && e.Status.Incarnation == st.Incarnation && e.Leaving == (e.Leaving || st.Leaving) &&
		e.Status.Model == st.Model && e.Status.Version == st.Version
	if known {
		return
	}
	g.Board.Update(func(s *board.State) {
		now, ok := s.Engines[e.Name]
		if !ok || now.Generation != generation {
			return
		}
		now.Known = true
		now.Status = st
		now.Status.RequestIDs = nil
		now.Leaving = now.Leaving || st.Leaving
		s.Engines[e.Name] = now
	})
}

func (g *Engines) follow(ctx context.Context, e board.Engine, incarnation uint64) {
	next, err := g.Facts.Follow(e.ID)
	if err != nil {
		return
	}
	call := upstream.Call{Address: e.Address, Name: e.Name, Incarnation: incarnation}
	page, err := g.Upstream.Events(ctx, call, next)
	if err != nil {
		g.Log.Debug("no cache events", "engine", e.Name, "cause", err)
		return
	}
	g.Facts.Apply(e.ID, page.CacheEvents)
}
