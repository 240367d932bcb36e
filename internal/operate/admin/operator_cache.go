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

// ErrRow means that an operator's row cannot be decoded or encoded.
var ErrRow = errs.Class("admin: corrupt operator row")

// TableOperators holds the operators that the API has issued tokens to, keyed
// by name. Rows are never deleted: the row of a revoked operator stays, so that
// a late copy of the transaction that created the operator finds a newer
// version of the row and fails instead of restoring the operator.
const TableOperators = "operators"

// BootstrapOperator is the operator whose token hash is in the settings. It has
// the highest role, because no operator can issue a token with a higher role
// than its own, and anyone who can write the settings of a router controls that
// router anyway. Its hash should be removed from the settings once it has
// issued tokens.
const BootstrapOperator = "bootstrap"

const (
	// refreshInterval is how long the list of operators is used before it is read
	// again. A token that is revoked at another router is rejected here after
	// that time.
	refreshInterval = time.Second
	// maxStaleness is how long reads may use the last list while the store is
	// down.
	maxStaleness = 10 * time.Minute
	// listTimeout limits the time to read the list.
	listTimeout = 2 * time.Second
	// scanPageSize is the number of rows read by one scan.
	scanPageSize = 1000
)

// operatorRow is the value of a row in TableOperators.
type operatorRow struct {
	access.Operator
	Created   time.Time `json:"created"`
	CreatedBy string    `json:"created_by"`
	Revoked   time.Time `json:"revoked,omitzero"`
	RevokedBy string    `json:"revoked_by,omitempty"`
}

// storedOperator is an operator row with its version.
type storedOperator struct {
	operatorRow
	version int64
}

// operatorCache authenticates operators by token.
//
// It reads all operators together, at most once per refreshInterval. If each token
// caused a read, a client that sends invalid tokens could exhaust the store's call
// budget and lock operators out.
type operatorCache struct {
	table     platform.Table
	now       func() time.Time
	log       *log.Logger
	bootstrap *access.Hash

	mu          sync.Mutex
	operators   *access.Operators
	loadedAt    time.Time
	attemptedAt time.Time
	loadErr     error
}

func newOperatorCache(o Options) (*operatorCache, error) {
	c := &operatorCache{table: o.Table, now: o.Now, log: o.Log}
	if o.BootstrapHash == "" {
		return c, nil
	}
	h, err := access.ParseHash(o.BootstrapHash)
	if err != nil {
		return nil, err
	}
	c.bootstrap = &h
	return c, nil
}

// authenticate returns the operator of a token. With allowStale, the last list is
// used if it cannot be refreshed. Errors: access.ErrUnauthenticated, those of the
// table service.
func (c *operatorCache) authenticate(ctx context.Context, token string, allowStale bool) (*access.Operator, error) {
	if c.isBootstrap(token) {
		return &access.Operator{Name: BootstrapOperator, Role: access.RoleBreakGlass}, nil
	}
	if !strings.HasPrefix(token, access.PrefixOperator) {
		return nil, access.ErrUnauthenticated.New("no operator token")
	}
	operators, err := c.current(ctx, allowStale)
	if err != nil {
		return nil, err
	}
	return operators.Authenticate(token, c.now())
}

func (c *operatorCache) isBootstrap(token string) bool {
	if c.bootstrap == nil || token == "" {
		return false
	}
	h := access.HashSecret(token)
	return subtle.ConstantTimeCompare(h[:], c.bootstrap[:]) == 1
}

// current returns the list of operators and refreshes it if it is older than
// refreshInterval. Only one request refreshes at a time, and a failed refresh is
// not retried within refreshInterval.
func (c *operatorCache) current(ctx context.Context, allowStale bool) (*access.Operators, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if c.attemptedAt.IsZero() || now.Sub(c.attemptedAt) >= refreshInterval {
		c.refresh(ctx, now)
	}
	if c.loadErr == nil {
		return c.operators, nil
	}
	if allowStale && c.operators != nil && now.Sub(c.loadedAt) < maxStaleness {
		return c.operators, nil
	}
	return nil, c.loadErr
}

// invalidate makes the next request refresh the list.
func (c *operatorCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attemptedAt = time.Time{}
}

func (c *operatorCache) refresh(ctx context.Context, now time.Time) {
	// All requests share the list, so a client that disconnects must not cancel
	// the read.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listTimeout)
	defer cancel()
	c.attemptedAt = now
	rows, err := c.list(ctx)
	if err != nil {
		c.loadErr = err
		return
	}
	operators, err := access.NewOperators(c.validOperators(rows))
	if err != nil {
		c.loadErr = err
		return
	}
	c.operators, c.loadedAt, c.loadErr = operators, now, nil
}

// validOperators leaves out revoked operators and rows that are invalid on
// their own, so that one such row doesn't lock out all operators.
func (c *operatorCache) validOperators(rows []storedOperator) []access.Operator {
	var out []access.Operator
	for _, row := range rows {
		if !row.Revoked.IsZero() {
			continue
		}
		if _, err := access.NewOperators([]access.Operator{row.Operator}); err != nil {
			c.log.Error("skipping an invalid operator row", "operator", row.Name, "cause", err)
			continue
		}
		out = append(out, row.Operator)
	}
	return out
}

// list reads all operators in order of name, including revoked ones.
func (c *operatorCache) list(ctx context.Context) ([]storedOperator, error) {
	var out []storedOperator
	from := ""
	for {
		rows, err := c.table.Scan(ctx, platform.UseAdmin, TableOperators, from, "", scanPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			out = c.appendRow(out, row)
		}
		if len(rows) < scanPageSize {
			return out, nil
		}
		// The smallest key after the last one.
		from = rows[len(rows)-1].Key + "\x00"
	}
}

func (c *operatorCache) appendRow(out []storedOperator, row platform.Row) []storedOperator {
	op := storedOperator{version: row.Version}
	if err := json.Unmarshal(row.Value, &op.operatorRow); err != nil {
		c.log.Error("skipping an operator row that cannot be decoded", "key", row.Key, "cause", err)
		return out
	}
	return append(out, op)
}

// get reads an operator. Errors: platform.ErrNotFound, ErrRow, those of the table
// service.
func (c *operatorCache) get(ctx context.Context, name string) (storedOperator, error) {
	row, err := c.table.Get(ctx, platform.UseAdmin, TableOperators, name)
	if err != nil {
		return storedOperator{}, err
	}
	op := storedOperator{version: row.Version}
	if err := json.Unmarshal(row.Value, &op.operatorRow); err != nil {
		return storedOperator{}, ErrRow.Wrap(err)
	}
	return op, nil
}
