package feed

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
)

// quarantineKey is the key of the row, in contactsTable, that holds the requests and the parts of
// prompts in quarantine as JSON.
const quarantineKey = "quarantine"

// maxStoredQuarantines and maxStoredBytes bound the row, which the store limits to 64 KB. If there is more
// in quarantine, what entered it last is stored.
const (
	maxStoredQuarantines = 200
	maxStoredBytes       = 60 << 10
)

// storedQuarantine is a request or a part in quarantine as stored. It has no times: those of a clock that
// counts from the boot of a VM mean nothing to another one. A quarantine that is read back starts
// anew.
type storedQuarantine struct {
	Fingerprint string   `json:"fingerprint"`
	Hint        uint32   `json:"hint"`
	Account     string   `json:"account"`
	Route       string   `json:"route"`
	Generation  uint32   `json:"generation"`
	Engines     []string `json:"engines"`
	Lapsed      uint32   `json:"lapsed"`
	// Born holds the time of the start of each of Engines that ended; see quarantine.EngineStart. Routers
	// of earlier releases store none.
	Born []int64 `json:"born,omitempty"`
	// Part is the part as SERVICE/ID, and PartAccount its account; empty for a request. For a part the
	// fingerprint is one that no request has: routers of earlier releases take it for a request, and its
	// account for one with a request in quarantine.
	Part        string `json:"part,omitempty"`
	PartAccount string `json:"part_account,omitempty"`
}

// newStoredQuarantine returns what is stored of an entry.
func newStoredQuarantine(e quarantine.Entry) storedQuarantine {
	out := storedQuarantine{
		Fingerprint: e.Fingerprint.String(), Hint: e.Hint, Account: e.Account, Route: e.Route,
		Generation: e.Generation, Engines: e.Engines(), Lapsed: e.Lapsed,
	}
	if slices.ContainsFunc(e.Ends, func(end quarantine.End) bool { return end.Born != 0 }) {
		for _, end := range e.Ends {
			out.Born = append(out.Born, end.Born)
		}
	}
	if e.Key().IsPart() {
		out.Fingerprint = quarantine.Content{Target: "prompt part " + e.Part.String()}.Fingerprint().String()
		out.Part, out.PartAccount, out.Account = e.Part.String(), e.Account, ""
	}
	return out
}

// entry returns the entry, with a quarantine that begins now. Errors: quarantine.ErrFingerprint,
// quarantine.ErrPart.
func (s storedQuarantine) entry(now time.Duration) (quarantine.Entry, error) {
	e := quarantine.Entry{
		Suspect:    quarantine.Suspect{Hint: s.Hint, Account: s.Account, Route: s.Route},
		Generation: s.Generation, Lapsed: s.Lapsed, Quarantined: true, QuarantinedAt: now, ChangedAt: now,
	}
	for i, engine := range s.Engines {
		end := quarantine.End{Engine: engine, At: now}
		if i < len(s.Born) {
			end.Born = s.Born[i]
		}
		e.Ends = append(e.Ends, end)
	}
	var err error
	if s.Part != "" {
		e.Account = s.PartAccount
		e.Part, err = quarantine.ParsePart(s.Part)
		return e, err
	}
	e.Fingerprint, err = quarantine.ParseFingerprint(s.Fingerprint)
	return e, err
}

// QuarantineKeeper stores what is in quarantine while this router reads the store. All routers share
// it, but none would know it after all have lost power, and each request would end three more engines,
// each part four.
type QuarantineKeeper struct {
	Table    platform.Table
	Suspects *suspects.Set
	Reads    func() bool
	// Era returns the era of the store, and whether this router has followed a return of the store
	// from an older copy. It is nil for a store that never returns.
	Era   func() (era catalog.Era, returned bool)
	Clock Clock
	Log   *log.Logger
}

// Run stores the quarantine when needed until the context is canceled.
func (k *QuarantineKeeper) Run(ctx context.Context) {
	k.row().run(ctx, k.Clock, func(err error) { k.Log.Warn("quarantine not stored", "cause", err) })
}

func (k *QuarantineKeeper) row() *rowKeeper {
	era := k.Era
	if era == nil {
		era = func() (catalog.Era, bool) { return catalog.Era{}, false }
	}
	value := func() ([]byte, bool) { return encodeQuarantines(k.Suspects.Entries()), true }
	return &rowKeeper{key: quarantineKey, table: k.Table, reads: k.Reads, storeEra: era, missing: encodeQuarantines(nil), load: k.load, value: value}
}

// load takes over the stored quarantine. A value that cannot be decoded is replaced.
func (k *QuarantineKeeper) load(value []byte, now time.Duration) {
	if value == nil {
		return
	}
	entries, err := decodeQuarantines(value, now)
	if err != nil {
		k.Log.Warn("stored quarantine not read", "cause", err)
	}
	k.Suspects.Merge(entries, "")
}

// encodeQuarantines encodes the entries that are in quarantine.
func encodeQuarantines(entries []quarantine.Entry) []byte {
	entries = slices.DeleteFunc(slices.Clone(entries), func(e quarantine.Entry) bool { return !e.Quarantined })
	slices.SortFunc(entries, func(a, b quarantine.Entry) int { return int(b.QuarantinedAt - a.QuarantinedAt) })
	entries = entries[:min(len(entries), maxStoredQuarantines)]
	value := marshalQuarantines(entries)
	for len(value) > maxStoredBytes {
		entries = entries[:len(entries)*9/10]
		value = marshalQuarantines(entries)
	}
	return value
}

func marshalQuarantines(entries []quarantine.Entry) []byte {
	entries = slices.Clone(entries)
	slices.SortFunc(entries, func(a, b quarantine.Entry) int { return a.Key().Compare(b.Key()) })
	out := make([]storedQuarantine, len(entries))
	for i, e := range entries {
		out[i] = newStoredQuarantine(e)
	}
	// Marshaling strings and numbers can't fail.
	value, _ := json.Marshal(out)
	return value
}

// decodeQuarantines is the inverse of encodeQuarantines, with quarantines that begin now. Errors:
// ErrMalformed.
func decodeQuarantines(value []byte, now time.Duration) ([]quarantine.Entry, error) {
	var stored []storedQuarantine
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	var out []quarantine.Entry
	for _, s := range stored {
		e, err := s.entry(now)
		if err != nil {
			return nil, ErrMalformed.Wrap(err)
		}
		out = append(out, e)
	}
	return out, nil
}
