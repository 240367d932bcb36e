package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
)

// ErrRow means that an operator's row can't be decoded.
var ErrRow = errs.Class("admin: corrupt operator row")

// TableOperators holds the operators that the API has issued tokens to, by
// name. Rows are never deleted: a revoked one keeps its row's version, so that
// a late copy of the transaction that made it can't bring it back.
const TableOperators = "operators"

// BootstrapOperator is the operator whose token is in the settings. The role
// is the highest, since nobody may issue a token above their own; whoever
// writes a router's settings could do anything to that router anyhow. Issue
// tokens with it, then take the hash out of the settings.
const BootstrapOperator = "bootstrap"

const (
	// freshFor is how long the list of operators is used before it is read
	// again: a token revoked at another router is refused here after that.
	freshFor = time.Second
	// staleFor is how long reading goes on with the last list while the store
	// is down.
	staleFor = 10 * time.Minute
	// directoryTimeout bounds one reading of the list.
	directoryTimeout = 2 * time.Second
	// scanRows is how many operators are read at once.
	scanRows = 1000
)

// operatorRow is the value of an operator's row.
type operatorRow struct {
	access.Operator
	Created   time.Time `json:"created"`
	CreatedBy string    `json:"created_by"`
	Revoked   time.Time `json:"revoked,omitzero"`
	RevokedBy string    `json:"revoked_by,omitempty"`
}

// storedOperator is a row with its version.
type storedOperator struct {
	operatorRow
	version int64
}

// directory finds the operator of a token.
//
// It reads all operators at once and at most once in freshFor. With a reading
// for each token, whoever sends wrong ones would use up the budget of the
// store, and operators could not get in.
type directory struct {
	table     platform.Table
	now       func() time.Time
	log       *log.Logger
	bootstrap *access.Hash

	mu      sync.Mutex
	loaded  *access.Operators
	readAt  time.Time
	triedAt time.Time
	readErr error
}

func newDirectory(o Options) (*directory, error) {
	d := &directory{table: o.Table, now: o.Now, log: o.Log}
	if o.BootstrapHash == "" {
		return d, nil
	}
	h, err := access.ParseHash(o.BootstrapHash)
	if err != nil {
		return nil, err
	}
	d.bootstrap = &h
	return d, nil
}

// authenticate returns the operator of a token. stale lets a list serve that
// could not be read anew. Errors: access.ErrUnauthenticated, those of the
// table service.
func (d *directory) authenticate(ctx context.Context, token string, stale bool) (*access.Operator, error) {
	if d.isBootstrap(token) {
		return &access.Operator{Name: BootstrapOperator, Role: access.RoleBreakGlass}, nil
	}
	if !strings.HasPrefix(token, access.PrefixOperator) {
		return nil, access.ErrUnauthenticated.New("no operator token")
	}
	operators, err := d.current(ctx, stale)
	if err != nil {
		return nil, err
	}
	return operators.Authenticate(token, d.now())
}

func (d *directory) isBootstrap(token string) bool {
	if d.bootstrap == nil || token == "" {
		return false
	}
	h := access.HashSecret(token)
	return subtle.ConstantTimeCompare(h[:], d.bootstrap[:]) == 1
}

// current returns the list of operators, read anew if it is not fresh. Only
// one call reads at a time, and a failed reading is not repeated for freshFor.
func (d *directory) current(ctx context.Context, stale bool) (*access.Operators, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if d.triedAt.IsZero() || now.Sub(d.triedAt) >= freshFor {
		d.refresh(ctx, now)
	}
	if d.readErr == nil {
		return d.loaded, nil
	}
	if stale && d.loaded != nil && now.Sub(d.readAt) < staleFor {
		return d.loaded, nil
	}
	return nil, d.readErr
}

// forget makes the next call read the list anew.
func (d *directory) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.triedAt = time.Time{}
}

func (d *directory) refresh(ctx context.Context, now time.Time) {
	// The list serves all callers, so that the one who happens to read it
	// must not spoil it by going away.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directoryTimeout)
	defer cancel()
	d.triedAt = now
	rows, err := d.list(ctx)
	if err != nil {
		d.readErr = err
		return
	}
	loaded, err := access.NewOperators(d.active(rows))
	if err != nil {
		d.readErr = err
		return
	}
	d.loaded, d.readAt, d.readErr = loaded, now, nil
}

// active leaves out revoked operators, and rows that can't be used: one bad
// row must not lock everybody out.
func (d *directory) active(rows []storedOperator) []access.Operator {
	var out []access.Operator
	for _, row := range rows {
		if !row.Revoked.IsZero() {
			continue
		}
		if _, err := access.NewOperators([]access.Operator{row.Operator}); err != nil {
			d.log.Error("operator's row can't be used", "operator", row.Name, "cause", err)
			continue
		}
		out = append(out, row.Operator)
	}
	return out
}

// list reads all operators in the order of their names, also revoked ones.
func (d *directory) list(ctx context.Context) ([]storedOperator, error) {
	var out []storedOperator
	from := ""
	for {
		rows, err := d.table.Scan(ctx, platform.UseAdmin, TableOperators, from, "", scanRows)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			out = d.appendRow(out, row)
		}
		if len(rows) < scanRows {
			return out, nil
		}
		// The next key in the order of the table.
		from = rows[len(rows)-1].Key + "\x00"
	}
}

func (d *directory) appendRow(out []storedOperator, row platform.Row) []storedOperator {
	op := storedOperator{version: row.Version}
	if err := json.Unmarshal(row.Value, &op.operatorRow); err != nil {
		d.log.Error("operator's row can't be read", "key", row.Key, "cause", err)
		return out
	}
	return append(out, op)
}

// get reads one operator. Errors: platform.ErrNotFound, those of the table
// service.
func (d *directory) get(ctx context.Context, name string) (storedOperator, error) {
	row, err := d.table.Get(ctx, platform.UseAdmin, TableOperators, name)
	if err != nil {
		return storedOperator{}, err
	}
	op := storedOperator{version: row.Version}
	if err := json.Unmarshal(row.Value, &op.operatorRow); err != nil {
		return storedOperator{}, ErrRow.Wrap(err)
	}
	return op, nil
}
