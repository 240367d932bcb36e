package feed

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
)

// Contact is a router that others ask when they start.
type Contact struct {
	Name    string `json:"name"`
	Site    string `json:"site"`
	Address string `json:"address"`
}

// Contacts is a list of a few routers in the platform's store. The seeds of a router's settings
// may be gone, or start later than it does after a loss of power; without another way to find
// the fleet, three hundred routers that start at once would each read all from the store, and a
// router whose seeds were all replaced would never find the others.
type Contacts struct {
	Table platform.Table
}

// The row that holds the list, as JSON.
const (
	contactsTable = "fleet"
	contactsKey   = "contacts"
)

// Read returns the list, empty if there is none. Errors: platform.ErrUnavailable, ErrMalformed.
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

// Write replaces the list. Whoever writes last wins: any list of routers that are there will do.
// Errors: platform.ErrUnavailable, platform.ErrOutcomeUnknown.
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
	// wantedContacts is how many routers the list has where there are enough: after a loss
	// of power some of them are up at any moment, and each reads all from the store.
	wantedContacts = 16
	// worthChange is the part of the list that must be missing before it is written anew.
	worthChange = 0.25
)

// NextContacts returns the list for the routers that are alive, and whether it is worth to be
// written. Those that are listed stay; others are taken from each site in turn, those with the
// best links first.
func NextContacts(listed []Contact, live []Peer) ([]Contact, bool) {
	wanted := min(wantedContacts, len(live))
	var out []Contact
	for _, c := range listed {
		alive := slices.ContainsFunc(live, func(p Peer) bool { return p.Name == c.Name && p.Address == c.Address })
		if alive && len(out) < wanted {
			out = append(out, c)
		}
	}
	missing := wanted - len(out)
	for _, p := range bySites(live) {
		if len(out) == wanted {
			break
		}
		if !slices.ContainsFunc(out, func(c Contact) bool { return c.Name == p.Name }) {
			out = append(out, Contact{Name: p.Name, Site: p.Site, Address: p.Address})
		}
	}
	return out, float64(missing) > worthChange*float64(wanted)
}

// bySites returns the first router of each site, then the second of each, and so on.
func bySites(live []Peer) []Peer {
	sorted := slices.Clone(live)
	slices.SortFunc(sorted, ComparePeers)
	rank := make(map[string]int)
	place := make(map[string]int, len(sorted))
	for _, p := range sorted {
		place[p.Name] = rank[p.Site]
		rank[p.Site]++
	}
	slices.SortStableFunc(sorted, func(a, b Peer) int { return place[a.Name] - place[b.Name] })
	return sorted
}

const (
	// keepInterval is how often the reader of the store looks at the list.
	keepInterval = 2 * time.Second
	// keepAfter is how long a router has been the reader before it does so: a fleet that
	// starts has several for a moment.
	keepAfter = 5 * time.Second
	// contactsTimeout bounds a call for the list.
	contactsTimeout = time.Second
)

// Keeper keeps the list current while this router reads the store.
type Keeper struct {
	Contacts Contacts
	Reads    func() bool
	Live     func() []Peer
	Clock    Clock
	Log      *log.Logger

	// reader is the boot time since which this router has been the reader, zero if it is
	// not.
	reader time.Duration
	// known means that listed is what the store has.
	known  bool
	listed []Contact
}

// Run keeps the list until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for pause.For(ctx, keepInterval) {
		if err := k.keep(ctx); err != nil {
			k.known = false
			k.Log.Warn("list of contacts not kept", "cause", err)
		}
	}
}

func (k *Keeper) keep(ctx context.Context) error {
	now := k.Clock()
	if !k.Reads() {
		k.reader, k.known = 0, false
		return nil
	}
	if k.reader == 0 {
		k.reader = now
	}
	if now-k.reader < keepAfter {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, contactsTimeout)
	defer cancel()
	if !k.known {
		listed, err := k.Contacts.Read(ctx)
		if err != nil && !ErrMalformed.Has(err) {
			return err
		}
		k.listed, k.known = listed, true
	}
	next, worth := NextContacts(k.listed, k.Live())
	if !worth {
		return nil
	}
	if err := k.Contacts.Write(ctx, next); err != nil {
		return err
	}
	k.Log.Info("list of contacts written", "routers", len(next), "before", len(k.listed))
	k.listed = next
	return nil
}
