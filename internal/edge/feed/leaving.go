package feed

import (
	"context"
	"slices"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/charmbracelet/log"
)

// LeavingRecorder records engines that have announced in responses that they will stop, and shares
// the announcements with the other routers, together with what earlier eras of the store recorded.
// They travel with the load reports, which connect all live routers also while the store is
// unavailable: a store that is away can't tell routers that an engine leaves. Routers of earlier releases neither send nor pass them on.
type LeavingRecorder struct {
	Board *Board
	Loads *Loads
	Clock Clock
	Log   *log.Logger
}

// Record records announcements and returns once snapshots contain them. source and name tell where
// they come from, for the log.
func (l *LeavingRecorder) Record(ctx context.Context, starts []catalog.LeavingStart, source, name string) {
	snapshot, now := l.Board.Snapshot(), l.Clock()
	fresh := slices.DeleteFunc(slices.Clone(starts), func(start catalog.LeavingStart) bool {
		return !snapshot.NeedsLeaving(start, now)
	})
	if len(fresh) == 0 {
		return
	}
	added := l.Board.PutLeaving(ctx, fresh)
	if len(added) == 0 {
		return
	}
	l.Loads.LeavingChanged(l.Clock())
	for _, start := range added {
		l.Log.Info("engine announced leaving", "engine", start.ID, "born", start.Born, "refutable", start.Refutable, source, name)
	}
}

// AddTo adds the known announcements that other routers need to the loads of this router.
func (l *LeavingRecorder) AddTo(loads map[string]EngineLoad) map[string]EngineLoad {
	for _, start := range l.Board.Snapshot().SharedLeaving(l.Clock()) {
		load := loads[start.ID]
		load.addStart(start)
		loads[start.ID] = load
	}
	return loads
}
