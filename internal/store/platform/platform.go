// Package platform defines the interfaces of the platform's store: a
// transactional table service, an object store and the list of VMs, which is
// kept in a table.
//
// The rest of the program depends on these interfaces only, and tests implement
// them by small fakes. The client of the real store is in the folder platform/
// at the repository's root. This package implements the layers between that
// client and the program: budget, circuit breaker, retries and statistics.
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
	// rejected locally, or no connection could be made.
	ErrUnavailable = errs.Class("platform: unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect: it was sent,
	// and no reply was received. The caller must read the row back and
	// recognise it by its own token.
	ErrOutcomeUnknown = errs.Class("platform: outcome unknown")
	// ErrBudget means that the use has exhausted its share of the store's
	// reads or writes; nothing was sent.
	ErrBudget = errs.Class("platform: budget exhausted")
	// ErrInvalid means that the arguments of the call are invalid, so that it
	// can never succeed; nothing was done.
	ErrInvalid = errs.Class("platform: invalid call")
)

// MaxScanRows is the maximum limit of one Scan. A larger limit is rejected with
// ErrInvalid, because a page truncated without an error would be mistaken for
// the end of the table.
const MaxScanRows = 10_000

// ObjectsTable is the table name in the ConflictError of an object.
const ObjectsTable = "objects"

// MaxWrites is the maximum number of writes in one transaction. The store
// accepts 100 entries, and a write with a condition takes two.
const MaxWrites = 50

// MaxName is the maximum length of a table's name and of a row's key, in bytes.
// The store has the same limit.
const MaxName = 200

// AnyVersion is the IfVersion of a write without a condition.
const AnyVersion int64 = -1

// Row is one row of a table.
type Row struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is the store's version at the row's last write. It increases with
	// each write, even if the row was deleted in between. 0 means absent.
	Version int64 `json:"version"`
}

// Write is one conditional write in a transaction.
type Write struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Delete removes the row instead of writing Value.
	Delete bool `json:"delete,omitempty"`
	// IfVersion is the version that the row must have: 0 for an absent row,
	// AnyVersion for no condition.
	IfVersion int64 `json:"if_version"`
}

// ConflictError reports that a condition of a transaction did not hold. Nothing
// of the transaction was written.
type ConflictError struct {
	// Current is the row that violates the condition, as stored.
	Current Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "platform: conflict on " + e.Current.Table + "/" + e.Current.Key
}

// Use names the purpose of a call, for budgets and statistics.
type Use string

// The uses of the store. When the budget runs short, claims have priority over
// the configuration, and the configuration over the audit trail.
const (
	UseClaim  Use = "claim"
	UseConfig Use = "config"
	UseAudit  Use = "audit"
	UseAdmin  Use = "admin"
	// UseRetention deletes old claims. It is charged to the budget of UseClaim
	// and limited to the part that claims leave unused.
	UseRetention Use = "retention"
	// UseFleet maintains the list of routers through which other routers find
	// the fleet.
	UseFleet Use = "fleet"
	// UseVMs reads the list of VMs. The budget does not limit it, because a
	// router without the list has no upstreams.
	UseVMs Use = "vms"
)

// Table is the transactional table service. All methods are safe for
// concurrent use.
type Table interface {
	// Commit applies all writes or none and returns the rows as written, in
	// the order of writes. A transaction may name each row at most once.
	// Errors: *ConflictError, ErrUnavailable, ErrBudget, ErrOutcomeUnknown,
	// ErrInvalid.
	Commit(ctx context.Context, use Use, writes ...Write) ([]Row, error)
	// Get reads one row. Errors: ErrNotFound, ErrUnavailable, ErrBudget.
	Get(ctx context.Context, use Use, table, key string) (Row, error)
	// Scan reads up to limit rows with from <= key < to, in key order.
	// An empty to means no upper bound. limit must be from 1 to MaxScanRows.
	// Errors: ErrUnavailable, ErrBudget, ErrInvalid.
	Scan(ctx context.Context, use Use, table, from, to string, limit int) ([]Row, error)
}

// Objects is the object store. It holds immutable blobs by name.
type Objects interface {
	// Put stores data under name. Putting the same data again succeeds, so a
	// Put whose outcome is unknown may be repeated. Putting different data
	// under an existing name returns a *ConflictError.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads a complete object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, name string) ([]byte, error)
}

// VMState is the state of a VM in the list of VMs.
type VMState string

// The states of a VM.
const (
	VMLive     VMState = "live"
	VMDraining VMState = "leaving"
)

// VM is one entry of the list of VMs.
type VM struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Site    string  `json:"site"`
	State   VMState `json:"state"`
	// Generation changes whenever the name or the address is reused.
	Generation uint64 `json:"generation"`
	// Kind is KindRouter, KindEngine or KindService.
	Kind string `json:"kind"`
	// Pool is the pool of the VM of an engine or a plain service.
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

// VMList is the list of live and draining VMs. It lags behind the actual VMs.
type VMList interface {
	// List returns all entries, ordered by name. Errors: ErrUnavailable.
	List(ctx context.Context) ([]VM, error)
}
