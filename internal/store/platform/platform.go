// Package platform is the narrow door to what the platform's store provides: a
// transactional table service, an object store and, in a table, the list of VMs.
//
// The interfaces are what the rest of the program depends on; tests put small
// fakes behind them. The client of the real store is in the folder platform/ at
// the repository's root; this package holds what stands between it and the
// program: budget, breaker, retries, counts.
package platform

import (
	"context"

	"github.com/zeebo/errs"
)

// Errors of the table service and the object store.
var (
	// ErrNotFound is returned for a row or an object that does not exist.
	ErrNotFound = errs.Class("platform: not found")
	// ErrUnavailable means that the call provably had no effect: it was
	// refused locally, or no connection could be made.
	ErrUnavailable = errs.Class("platform: unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect: it was sent,
	// and no reply came. The caller must read back by its own token.
	ErrOutcomeUnknown = errs.Class("platform: outcome unknown")
	// ErrBudget means that this use has spent its share of the store's
	// reads or writes; nothing was sent.
	ErrBudget = errs.Class("platform: budget spent")
	// ErrInvalid means that the call can never succeed as it is written;
	// nothing was done.
	ErrInvalid = errs.Class("platform: invalid call")
)

// MaxScanRows bounds the rows of one Scan. A larger limit is refused with
// ErrInvalid, because a silently shortened page reads like the end of a table.
const MaxScanRows = 10_000

// ObjectsTable is the table that a ConflictError names for an object.
const ObjectsTable = "objects"

// MaxWrites bounds the writes of one transaction. The store takes 100 entries,
// and a write with a condition is two.
const MaxWrites = 50

// MaxName bounds a table's name and a row's key, in bytes; the store's own bound.
const MaxName = 200

// AnyVersion lets a write through whatever the row's version.
const AnyVersion int64 = -1

// Row is one row of a table.
type Row struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the store's version at the row's last write: it grows with each
	// write, also when the row was deleted in between. 0 means absent.
	Version int64 `json:"version"`
}

// Write is one conditional write in a transaction.
type Write struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
	// IfVersion is the version the row must have: 0 for absent, AnyVersion
	// for no condition.
	IfVersion int64 `json:"if_version"`
}

// ConflictError reports that a condition of a transaction did not hold, and
// the row as it stands. Nothing of the transaction was written.
type ConflictError struct {
	Current Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "platform: conflict on " + e.Current.Table + "/" + e.Current.Key
}

// Use names a purpose, for budgets and for counting store traffic.
type Use string

// The uses of the store. When the store is short, claims go before the
// configuration, and the configuration before the audit trail.
const (
	UseClaim  Use = "claim"
	UseConfig Use = "config"
	UseAudit  Use = "audit"
	UseAdmin  Use = "admin"
	// UseRetention deletes old claims. It spends the budget of UseClaim, and
	// only what claims leave of it.
	UseRetention Use = "retention"
	// UseFleet keeps a list of routers by which others find the fleet.
	UseFleet Use = "fleet"
	// UseVMs reads the list of VMs. It is not bounded by the budget: without the
	// list a router has no upstreams.
	UseVMs Use = "vms"
)

// Table is the transactional table service. All methods are safe for
// concurrent use.
type Table interface {
	// Commit applies all writes or none and returns the rows as written.
	// A transaction names each row at most once.
	// Errors: *ConflictError, ErrUnavailable, ErrBudget, ErrOutcomeUnknown,
	// ErrInvalid.
	Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error)
	// Get reads one row. Errors: ErrNotFound, ErrUnavailable, ErrBudget.
	Get(ctx context.Context, use Use, table, key string) (Row, error)
	// Scan reads up to limit rows with from <= key < to, in key order.
	// An empty to means no upper end. limit is from 1 to MaxScanRows.
	Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error)
}

// Objects is the object store: immutable blobs by name.
type Objects interface {
	// Put stores data under name. Putting the same data again succeeds, so a
	// Put whose outcome is unknown may be repeated; other data under a name in
	// use is a *ConflictError.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads an object whole. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is what the list says of a VM.
type VMState string

// The states in the list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the list of VMs.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Site    string  `json:"site"`
	State   VMState `json:"state"`
	// Generation changes whenever the name or the address is used again.
	Generation uint64 `json:"generation"`
	// Kind is "router", "engine" or "service".
	Kind string `json:"kind"`
	// Pool names the pool of an engine or a plain service's VM.
	Pool string `json:"pool,omitempty"`
	// ControlAddress is a router's UDP and RPC address.
	ControlAddress string `json:"control_address,omitempty"`
}

// The kinds of VM.
const (
	KindRouter  = "router"
	KindEngine  = "engine"
	KindService = "service"
)

// VMList is the list of live and leaving VMs. It lags.
type VMList interface {
	// List returns all entries, by name. Errors: ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}
