package feed

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/zeebo/errs"
)

// Errors of a Store.
var (
	// ErrHistoryLost means that changes since the given version are not to be
	// had any more; the whole must be read.
	ErrHistoryLost = errs.Class("store: history lost")
	// ErrMalformed means that the store holds something that can't be read.
	ErrMalformed = errs.Class("store: malformed")
)

// ConfigRead is what operators have written as of a version of the store: the newest
// configuration, and the evacuations.
type ConfigRead struct {
	// Config is nil if there is none yet, or none newer than asked for.
	Config      *catalog.Config
	Evacuations catalog.EvacuationUpdate
	Upto        uint64
}

// nothing says whether the read brought nothing new.
func (r ConfigRead) nothing() bool {
	return r.Config == nil && !r.Evacuations.Full && len(r.Evacuations.Changes) == 0
}

// Store is where operators write the configuration and engines register
// themselves. Errors: ErrHistoryLost,
// ErrMalformed, platform.ErrUnavailable.
type Store interface {
	// ReadConfig returns the configuration and all evacuations.
	ReadConfig(ctx context.Context) (ConfigRead, error)
	// WatchConfig returns as soon as the configuration, or an evacuation, is newer
	// than the store's version since, or after wait.
	WatchConfig(ctx context.Context, since uint64, wait time.Duration) (ConfigRead, error)
	// ReadEngines returns all engines.
	ReadEngines(ctx context.Context) (catalog.EngineUpdate, error)
	// WatchEngines returns as soon as an engine's entry is newer than the
	// store's version since, or after wait.
	WatchEngines(ctx context.Context, since uint64, wait time.Duration) (catalog.EngineUpdate, error)
}
