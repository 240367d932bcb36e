package feed

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
)

// Contact is a router that other routers contact when they start.
type Contact struct {
	Name    string `json:"name"`
	Site    string `json:"site"`
	Address string `json:"address"`
}

// Contacts accesses a short list of routers in the platform's store. The seeds in a router's
// settings may have left the fleet, or may start later than the router after a power loss. Without
// another way to find the fleet, 300 routers starting at once would each read everything from the
// store, and a router whose seeds were all replaced would never find the others.
type Contacts struct {
	Table platform.Table
}

// The row that holds the list as JSON.
const (
	contactsTable = "fleet"
	contactsKey   = "contacts"
)

// Read returns the list, or an empty one if none is stored. Errors: platform.ErrUnavailable,
// ErrMalformed.
func (c Contacts) Read(ctx context.Context) ([]Contact, error) {
	row, err := c.Table.Get(ctx, platform.UseFleet, contactsTable, contactsKey)
	if platform.ErrNotFound.Has(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var out []Contact
	if err := json.Unmarshal(row.Value, &out); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	return out, nil
}

// Write replaces the list. The last write wins, since any list of live routers is valid. Errors:
// platform.ErrUnavailable, platform.ErrOutcomeUnknown.
func (c Contacts) Write(ctx context.Context, list []Contact) error {
	value, err := json.Marshal(list)
	if err != nil {
		return ErrMalformed.Wrap(err)
	}
	_, err = c.Table.Commit(ctx, platform.UseFleet, platform.Write{
		Table: contactsTable, Key: contactsKey, Value: value, IfVersion: platform.AnyVersion,
	})
	return err
}

const (
	// maxContacts is the length of the list if the fleet has enough routers. It is large enough
	// that some listed routers are up at any moment after a power loss, and limited because each
	// listed router reads all data from the store when it starts.
	maxContacts = 16
	// rewriteShare is the share of the list that may be missing; the list is rewritten if more is.
	rewriteShare = 0.25
)

// SelectContacts returns the list for the live routers and whether it is worth writing. Live
// routers already listed are kept. Others are added from each site in turn, those with the fastest
// links first.
func SelectContacts(listed []Contact, live []Peer) ([]Contact, bool) {
	wanted := min(maxContacts, len(live))
	var out []Contact
	for _, c := range listed {
		alive := slices.ContainsFunc(live, func(p Peer) bool { return p.Name == c.Name && p.Address == c.Address })
		if alive && len(out) < wanted {
			out = append(out, c)
		}
	}
	missing := wanted - len(out)
	for _, p := range interleaveSites(live) {
		if len(out) == wanted {
			break
		}
		if !slices.ContainsFunc(out, func(c Contact) bool { return c.Name == p.Name }) {
			out = append(out, Contact{Name: p.Name, Site: p.Site, Address: p.Address})
		}
	}
	return out, float64(missing) > rewriteShare*float64(wanted)
}

// interleaveSites returns the first router of each site in the order of ComparePeers, then the
// second of each site, and so on.
func interleaveSites(live []Peer) []Peer {
	sorted := slices.Clone(live)
	slices.SortFunc(sorted, ComparePeers)
	siteCounts := make(map[string]int)
	positions := make(map[string]int, len(sorted))
	for _, p := range sorted {
		positions[p.Name] = siteCounts[p.Site]
		siteCounts[p.Site]++
	}
	slices.SortStableFunc(sorted, func(a, b Peer) int { return positions[a.Name] - positions[b.Name] })
	return sorted
}

const (
	// contactsCheckInterval is how often the router that reads the store checks the list.
	contactsCheckInterval = 2 * time.Second
	// contactsCheckDelay is how long a router must have been the reader before it checks the list.
	// A starting fleet briefly has several readers.
	contactsCheckDelay = 5 * time.Second
	// contactsTimeout bounds a read and write of the list.
	contactsTimeout = time.Second
)

// ContactsUpdater updates the list of contacts while this router reads the store.
type ContactsUpdater struct {
	Contacts Contacts
	Reads    func() bool
	Live     func() []Peer
	// Era returns the era of the store.
	Era   func() catalog.Era
	Clock Clock
	Log   *log.Logger

	// era is the era in which listed was read or written.
	era catalog.Era
	// readerSince is when this router became the reader, on the boot clock, or zero if it is not
	// the reader.
	readerSince time.Duration
	// loaded is set if listed matches the stored list.
	loaded bool
	listed []Contact
}

// Run updates the list when needed until the context is canceled.
func (k *ContactsUpdater) Run(ctx context.Context) {
	for pause.For(ctx, contactsCheckInterval) {
		if err := k.update(ctx); err != nil {
			k.loaded = false
			k.Log.Warn("list of contacts not updated", "cause", err)
		}
	}
}

func (k *ContactsUpdater) update(ctx context.Context) error {
	now := k.Clock()
	if !k.Reads() {
		k.readerSince, k.loaded = 0, false
		return nil
	}
	if k.readerSince == 0 {
		k.readerSince = now
	}
	if now-k.readerSince < contactsCheckDelay {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, contactsTimeout)
	defer cancel()
	if era := k.Era(); era != k.era {
		// The stored list is that of the copy from which the store has returned.
		k.era, k.loaded = era, false
	}
	if !k.loaded {
		listed, err := k.Contacts.Read(ctx)
		if err != nil && !ErrMalformed.Has(err) {
			return err
		}
		k.listed, k.loaded = listed, true
	}
	next, rewrite := SelectContacts(k.listed, k.Live())
	if !rewrite {
		return nil
	}
	if err := k.Contacts.Write(ctx, next); err != nil {
		return err
	}
	k.Log.Info("list of contacts written", "routers", len(next), "before", len(k.listed))
	k.listed = next
	return nil
}
