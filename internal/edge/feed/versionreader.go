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

	// read holds the revisions of entries without a version that were read.
	read map[string]uint64
}

// Run reads versions when needed until the context is canceled.
func (v *VersionReader) Run(ctx context.Context) {
	for pause.For(ctx, versionReadInterval) {
		lacking := v.Board.Snapshot().Engines.WithoutVersion()
		if v.allRead(lacking) {
			continue
		}
		if err := v.readVersions(ctx); err != nil {
			v.Log.Warn("versions of engines not read", "cause", err)
			continue
		}
		v.read = lacking
	}
}

// allRead reports whether the store states no version for any of these entries.
func (v *VersionReader) allRead(lacking map[string]uint64) bool {
	for id, revision := range lacking {
		if v.read[id] < revision {
			return false
		}
	}
	return true
}

func (v *VersionReader) readVersions(ctx context.Context) error {
	readCtx, cancel := context.WithTimeout(ctx, versionReadTimeout)
	defer cancel()
	update, err := v.Store.ReadEngines(readCtx)
	if err != nil {
		return err
	}
	v.Board.PutVersions(ctx, update.Present)
	return nil
}
