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
	// statusPeriod is the time between two requests for an engine's report.
	statusPeriod  = time.Second
	statusTimeout = 2 * time.Second
	// requestIDsEvery is n if every n-th report lists the IDs of the engine's requests.
	requestIDsEvery = 3
)

// Engines polls the engines that this router owns for reports and cache events.
type Engines struct {
	Board    *board.Board
	Upstream *upstream.Client
	// Admission receives the engines' loads, Facts the events of their caches.
	Admission *admission.Admission
	Facts     *admission.CacheIndex
	Log       *log.Logger

	mu sync.Mutex
	// watchers are the functions that stop the watchers, by engine ID.
	watchers map[uint64]context.CancelFunc
	// reports are the last reports by engine name.
	reports map[string]receivedReport
}

// receivedReport is an engine's last report and the time when it was received.
type receivedReport struct {
	status wire.EngineStatus
	at     time.Time
	// polls is the number of reports received since this router began to watch the engine.
	polls int
}

// Run polls the owned engines until ctx ends.
func (g *Engines) Run(ctx context.Context) {
	g.mu.Lock()
	g.watchers = make(map[uint64]context.CancelFunc)
	g.reports = make(map[string]receivedReport)
	g.mu.Unlock()
	runPeriodically(ctx, statusPeriod/2, g.step)
}

// step starts and stops watchers when the ownership of engines changes.
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
	for id, cancel := range g.watchers {
		if _, ok := owned[id]; !ok {
			cancel()
			delete(g.watchers, id)
			g.deleteReport(snap, id)
			g.Facts.Unfollow(id)
		}
	}
	for id, e := range owned {
		if g.watchers[id] == nil {
			wctx, cancel := context.WithCancel(ctx)
			g.watchers[id] = cancel
			go runPeriodically(wctx, statusPeriod, func(ctx context.Context) { g.watch(ctx, e.Name) })
		}
	}
	g.Facts.Prune(snap)
}

// deleteReport deletes the report of an engine that is no longer watched, and those of engines that
// are not in the snapshot.
func (g *Engines) deleteReport(snap *board.Snapshot, id uint64) {
	for name := range g.reports {
		if e, ok := snap.Engines[name]; !ok || e.ID == id {
			delete(g.reports, name)
		}
	}
}

// watch requests one engine's report and its cache events.
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
		g.Log.Debug("engine report not received", "engine", name, "cause", err)
		return
	}
	restarted := g.storeReport(st)
	if call.Brief && !restarted {
		g.Admission.EngineState(&e, st)
	} else {
		g.Admission.EngineReport(&e, st)
	}
	g.Facts.SetIncarnation(e.ID, st.Incarnation)
	g.updateBoard(e, st)
	if e.Kind == platform.KindEngine {
		g.fetchEvents(ctx, e, st.Incarnation)
	}
}

// brief reports whether the next report may omit the request IDs. They are most of a report and are
// needed only to find requests that the permit ledgers don't contain.
func (g *Engines) brief(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reports[name].polls%requestIDsEvery != 0
}

// storeReport stores a report and reports whether the engine's incarnation differs from that of its
// previous report.
func (g *Engines) storeReport(st wire.EngineStatus) (restarted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	st.RequestIDs = nil
	previous, known := g.reports[st.Name]
	g.reports[st.Name] = receivedReport{status: st, at: time.Now(), polls: previous.polls + 1}
	return known && previous.status.Incarnation != st.Incarnation
}

// updateBoard writes the report to the board if it changes the engine's incarnation, model, version
// or draining state.
func (g *Engines) updateBoard(e board.Engine, st wire.EngineStatus) {
	generation := e.Generation
	unchanged := e.Reported && e.Status.Incarnation == st.Incarnation && e.Leaving == (e.Leaving || st.Leaving) &&
		e.Status.Model == st.Model && e.Status.Version == st.Version
	if unchanged {
		return
	}
	g.Board.Update(func(s *board.State) {
		current, ok := s.Engines[e.Name]
		if !ok || current.Generation != generation {
			return
		}
		current.Reported = true
		current.Status = st
		current.Status.RequestIDs = nil
		current.Leaving = current.Leaving || st.Leaving
		s.Engines[e.Name] = current
	})
}

func (g *Engines) fetchEvents(ctx context.Context, e board.Engine, incarnation uint64) {
	next, err := g.Facts.Follow(e.ID)
	if err != nil {
		return
	}
	call := upstream.Call{Address: e.Address, Name: e.Name, Incarnation: incarnation}
	page, err := g.Upstream.Events(ctx, call, next)
	if err != nil {
		g.Log.Debug("cache events not received", "engine", e.Name, "cause", err)
		return
	}
	g.Facts.Apply(e.ID, page.CacheEvents)
}
