package feed

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/charmbracelet/log"
)

const (
	// versionReadInterval is how often a router looks whether it lacks versions, and versionReadTimeout
	// bounds the read of the engines.
	versionReadInterval = 500 * time.Millisecond
	versionReadTimeout  = time.Second
)

// VersionReader reads the versions of the engines from the store if the entries came from a router of
// an earlier release, which does not pass them on. Without them, no stream could be resumed.
type VersionReader struct {
	Board *Board
	Store interface {
		ReadEngines(ctx context.Context) (catalog.EngineUpdate, error)
	}
	Log *log.Logger
}

// Run reads versions when needed until the context is canceled.
func (v *VersionReader) Run(ctx context.Context) {
	for pause.For(ctx, versionReadInterval) {
		if v.Board.Snapshot().Engines.LacksVersions() {
			v.read(ctx)
		}
	}
}

func (v *VersionReader) read(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, versionReadTimeout)
	defer cancel()
	update, err := v.Store.ReadEngines(readCtx)
	if err != nil {
		v.Log.Warn("versions of engines not read", "cause", err)
		return
	}
	v.Board.PutVersions(ctx, update.Present)
}
