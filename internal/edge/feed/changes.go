package feed

import (
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/charmbracelet/log"
)

// sourceStore is the logged source of changes that this router read from the store itself.
const sourceStore = "store"

// logEngineChanges logs a return of the store, and each engine that started draining, became doubtful
// or was removed. source is sourceStore or the router that reported the changes.
func logEngineChanges(l *log.Logger, source string, changes catalog.EngineChanges) {
	if r := changes.Return; r != nil {
		l.Warn("store returned from an older copy", "source", source, "era", r.To, "era_before", r.From, "engines_revision", r.Read,
			"revision_before", r.Known, "engines", r.Listed, "awaited", r.Missing, "kept_leaving", r.Kept)
	}
	for _, e := range changes.Draining {
		l.Info("engine draining", "engine", e.ID, "revision", e.Revision, "source", source)
	}
	for _, r := range changes.Doubtful {
		l.Info("engine entry missing; engine stays in service as doubtful", "engine", r.ID, "revision", r.Revision, "source", source)
	}
	for _, r := range changes.Removed {
		l.Info("engine entry removed", "engine", r.ID, "revision", r.Revision, "source", source)
	}
}

// logEvacuations logs each change that starts or ends the evacuation of a site.
func logEvacuations(l *log.Logger, msg string, changes []catalog.Evacuation, fields ...any) {
	for _, change := range changes {
		l.Info(msg, append([]any{"site", change.Site, "active", change.Active, "revision", change.Revision}, fields...)...)
	}
}
