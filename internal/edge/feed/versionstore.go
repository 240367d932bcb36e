package feed

import (
	"context"
	"encoding/json"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
)

// versionsKey is the key of the row, in contactsTable, that holds the versions of the engines' software
// that have served lately, as JSON by service.
const versionsKey = "versions"

// VersionsKeeper stores which versions have served lately while this router reads the store. Without
// it, no router would know after a loss of all of them whether streams of other versions than those
// that are left may be resumed.
type VersionsKeeper struct {
	Table platform.Table
	Reads func() bool
	// Era is that of QuarantineKeeper.
	Era func() (era catalog.Era, returned bool)
	// History returns the versions by service, and whether there were no others. Adopt adds versions.
	History func() (versions map[string][]string, complete bool)
	Adopt   func(versions map[string][]string)
	// Stored is called with the versions that the row holds.
	Stored func(versions map[string][]string)
	// FirstStart is set if the fleet starts for the first time. Unless the row shows that this is not so, there were
	// no streams before.
	FirstStart bool
	Clock      Clock
	Log        *log.Logger
}

// Run stores the versions when needed until the context is canceled.
func (k *VersionsKeeper) Run(ctx context.Context) {
	k.row().run(ctx, k.Clock, func(err error) { k.Log.Warn("versions not stored", "cause", err) })
}

func (k *VersionsKeeper) row() *rowKeeper {
	return &rowKeeper{
		key: versionsKey, table: k.Table, reads: k.Reads, storeEra: k.Era, urgent: k.incomplete, prompt: true,
		load: k.load, value: k.value, holds: k.holds,
	}
}

// incomplete reports whether streams may be refused for want of the stored versions. A fleet that starts for the first time
// has no streams yet.
func (k *VersionsKeeper) incomplete() bool {
	_, complete := k.History()
	return !complete && !k.FirstStart
}

// load adopts the stored versions. A row that can't be read says nothing, and one that is missing only that the fleet may
// indeed start for the first time.
func (k *VersionsKeeper) load(value []byte, _ time.Duration) {
	if value == nil {
		if k.FirstStart {
			k.Adopt(nil)
		}
		return
	}
	versions, err := decodeVersions(value)
	if err != nil {
		k.Log.Warn("stored versions not read", "cause", err)
		return
	}
	k.Adopt(versions)
}

// holds reports the versions of the row. One that can't be read has been logged.
func (k *VersionsKeeper) holds(value []byte) {
	if versions, err := decodeVersions(value); err == nil {
		k.Log.Info("versions stored", "versions", versions)
		k.Stored(versions)
	}
}

// decodeVersions returns the versions of a row.
func decodeVersions(value []byte) (versions map[string][]string, err error) {
	err = json.Unmarshal(value, &versions)
	return versions, err
}

// value returns the versions as stored. An incomplete history does not replace a complete one.
func (k *VersionsKeeper) value() ([]byte, bool) {
	versions, complete := k.History()
	if !complete || len(versions) == 0 {
		return nil, false
	}
	// Marshaling strings can't fail; the keys of a map are sorted.
	value, _ := json.Marshal(versions)
	return value, true
}
