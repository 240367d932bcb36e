package config

import (
	"context"
	"errors"
	"regexp"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// commitAttempts is how often a transaction with an unknown outcome is sent.
const commitAttempts = 3

// MaxHistory bounds the versions that one call of History returns.
const MaxHistory = 100

// changeIDPattern keeps change ids fit for keys.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Change is what an operator asks to be accepted.
type Change struct {
	// Bundle is the whole new configuration.
	Bundle Bundle
	// Expected is the version that the change was made from; 0 for the first.
	Expected uint64
	// ChangeID identifies the change. The author chooses it once and keeps it
	// for every repetition: the same id is accepted once.
	ChangeID string
	// Author is the operator.
	Author string
	// Comment says why; it goes into the audit trail.
	Comment string
	// Withdraw waives the check that sites go on serving what they serve. A
	// site's last pool can't be taken away even so.
	Withdraw bool
}

// Chain is the append-only sequence of accepted versions in the platform's
// table service. It keeps nothing in memory, so any router may hold one. All
// methods are safe for concurrent use.
type Chain struct {
	table   platform.Table
	objects platform.Objects
	now     func() time.Time
}

// NewChain returns the chain in the given stores. The clock only stamps
// records.
func NewChain(table platform.Table, objects platform.Objects, now func() time.Time) *Chain {
	return &Chain{table: table, objects: objects, now: now}
}

// Head returns the version in force; the zero Head when there is none yet.
// Errors: those of platform.Table, ErrCorrupt.
func (c *Chain) Head(ctx context.Context) (Head, error) {
	head, _, err := c.head(ctx)
	return head, err
}

// head also returns the row's own version, for the compare-and-set.
func (c *Chain) head(ctx context.Context) (Head, int64, error) {
	row, err := c.table.Get(ctx, platform.UseConfig, TableHead, HeadKey)
	if platform.ErrNotFound.Has(err) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	var head Head
	if err := decodeRow(row.Value, &head); err != nil {
		return Head{}, 0, err
	}
	return head, row.Version, nil
}

// Load returns a version with its bundle, checked against its hash. Errors:
// ErrNoVersion, ErrCorrupt, those of the stores.
func (c *Chain) Load(ctx context.Context, number uint64) (Version, error) {
	row, err := c.table.Get(ctx, platform.UseConfig, TableVersions, versionKey(number))
	if platform.ErrNotFound.Has(err) {
		return Version{}, ErrNoVersion.New("%d", number)
	}
	if err != nil {
		return Version{}, err
	}
	var stored storedVersion
	if err := decodeRow(row.Value, &stored); err != nil {
		return Version{}, err
	}
	packed, err := c.packed(ctx, stored)
	if err != nil {
		return Version{}, err
	}
	stored.Bundle, err = unpack(packed, stored.Hash)
	return stored.Version, err
}

func (c *Chain) packed(ctx context.Context, stored storedVersion) ([]byte, error) {
	if stored.Object == "" {
		return stored.Packed, nil
	}
	return c.objects.Get(ctx, stored.Object)
}

// History returns up to limit versions from number on, oldest first, without
// their bundles. Errors: those of platform.Table, ErrCorrupt.
func (c *Chain) History(ctx context.Context, from uint64, limit int) ([]Version, error) {
	limit = min(limit, MaxHistory)
	rows, err := c.table.Scan(ctx, platform.UseConfig, TableVersions, versionKey(from), "", limit)
	if err != nil {
		return nil, err
	}
	versions := make([]Version, 0, len(rows))
	for _, row := range rows {
		var v Version
		if err := decodeRow(row.Value, &v); err != nil {
			return nil, err
		}
		versions = append(versions, v)
	}
	return versions, nil
}

// Accept makes the change the next version. Repeating a change with its id
// returns the version it already became.
//
// Errors: ErrBadChange, *InvalidError, *ConflictError and
// *ChangeIDReusedError mean that the change was not accepted and will not be;
// so do those of the stores that say that nothing was sent.
// *OutcomeUnknownError means that it may have been, and asks for repetition.
func (c *Chain) Accept(ctx context.Context, change Change) (Version, error) {
	return c.accept(ctx, change, 0)
}

// Rollback accepts the content of an earlier version as a new one. The
// change's own bundle is ignored. Errors: as for Accept and Load.
func (c *Chain) Rollback(ctx context.Context, to uint64, change Change) (Version, error) {
	old, err := c.Load(ctx, to)
	if err != nil {
		return Version{}, err
	}
	change.Bundle = old.Bundle
	return c.accept(ctx, change, to)
}

func (c *Chain) accept(ctx context.Context, change Change, rollbackTo uint64) (Version, error) {
	if err := checkChange(change); err != nil {
		return Version{}, err
	}
	state, err := c.resolve(ctx, change)
	if err != nil {
		return Version{}, err
	}
	if state.accepted != nil {
		return *state.accepted, nil
	}
	if err := c.validate(ctx, change, state.head); err != nil {
		return Version{}, err
	}
	next := c.next(change, state.head)
	next.RollbackTo = rollbackTo
	writes, err := c.transaction(ctx, next, state.headRow)
	if err != nil {
		return Version{}, err
	}
	return c.commit(ctx, change, next, writes)
}

func checkChange(change Change) error {
	switch {
	case !changeIDPattern.MatchString(change.ChangeID):
		return ErrBadChange.New("change id %q", change.ChangeID)
	case change.Author == "":
		return ErrBadChange.New("change %s has no author", change.ChangeID)
	case len(change.Bundle.Encode()) > MaxEncodedBytes:
		return ErrBadChange.New("change %s is larger than %d bytes", change.ChangeID, MaxEncodedBytes)
	}
	return nil
}

// resolution is what the stores say of a change.
type resolution struct {
	// accepted is the version that the change became, or nil.
	accepted *Version
	// head is the version in force, and headRow its row's own version.
	head    Head
	headRow int64
}

// resolve finds out whether the change has been accepted, and else whether it
// still can be.
//
// The head is read before the change id. In the other order, a transaction
// that arrives late between the two reads would show a head that has moved
// and no row for the change: its author would be told of a conflict, with
// himself, about a change that is in force. In this order, once the head has
// moved, the change id is there or never will be.
func (c *Chain) resolve(ctx context.Context, change Change) (resolution, error) {
	head, headRow, err := c.head(ctx)
	if err != nil {
		return resolution{}, err
	}
	accepted, err := c.lookUp(ctx, change)
	if err != nil {
		return resolution{}, err
	}
	if accepted == nil && head.Version != change.Expected {
		return resolution{}, c.conflict(ctx, change, head)
	}
	return resolution{accepted: accepted, head: head, headRow: headRow}, nil
}

// lookUp returns the version that the change id was used for, or nil.
func (c *Chain) lookUp(ctx context.Context, change Change) (*Version, error) {
	row, err := c.table.Get(ctx, platform.UseConfig, TableChanges, change.ChangeID)
	if platform.ErrNotFound.Has(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var used changeRow
	if err := decodeRow(row.Value, &used); err != nil {
		return nil, err
	}
	if used.Hash != change.Bundle.Hash() {
		return nil, &ChangeIDReusedError{ChangeID: change.ChangeID, Version: used.Version}
	}
	v, err := c.Load(ctx, used.Version)
	return &v, err
}

// conflict describes the version that won. Its author is only a help to the
// loser, so a failure to read it does not hide the conflict.
func (c *Chain) conflict(ctx context.Context, change Change, head Head) error {
	lost := &ConflictError{Version: head.Version, Hash: head.Hash, Expected: change.Expected}
	if winner, err := c.Load(ctx, head.Version); err == nil {
		lost.Author = winner.Author
	}
	return lost
}

func (c *Chain) validate(ctx context.Context, change Change, head Head) error {
	if problems := Validate(change.Bundle); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	if head.Version == 0 {
		return nil
	}
	current, err := c.Load(ctx, head.Version)
	if err != nil {
		return err
	}
	withdrawals, empty := compareBundles(current.Bundle, change.Bundle)
	if change.Withdraw {
		withdrawals = nil
	}
	if problems := append(empty, withdrawals...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

func (c *Chain) next(change Change, head Head) Version {
	return Version{
		Number:   head.Version + 1,
		Hash:     change.Bundle.Hash(),
		Previous: head.Hash,
		ChangeID: change.ChangeID,
		Author:   change.Author,
		Time:     c.now().UTC(),
		Comment:  change.Comment,
		Withdraw: change.Withdraw,
		Bundle:   change.Bundle,
	}
}

// transaction returns the writes that accept the version. Each is conditional,
// so that the same writes sent twice take effect once.
func (c *Chain) transaction(ctx context.Context, v Version, headRow int64) ([]platform.Write, error) {
	stored, err := c.store(ctx, v)
	if err != nil {
		return nil, err
	}
	head := Head{Version: v.Number, Hash: v.Hash}
	used := changeRow{Version: v.Number, Hash: v.Hash}
	entry := AuditEntry{Action: AuditAccepted, Version: v}
	return []platform.Write{
		{Table: TableHead, Key: HeadKey, Value: encodeRow(head), IfVersion: headRow},
		{Table: TableVersions, Key: versionKey(v.Number), Value: encodeRow(stored)},
		{Table: TableAudit, Key: auditKey(v), Value: encodeRow(entry)},
		{Table: TableChanges, Key: v.ChangeID, Value: encodeRow(used)},
	}, nil
}

// store compresses the bundle and puts a large one into the object store.
func (c *Chain) store(ctx context.Context, v Version) (storedVersion, error) {
	packed, err := pack(v.Bundle)
	if err != nil {
		return storedVersion{}, err
	}
	if len(packed) <= MaxInlineBytes {
		return storedVersion{Version: v, Packed: packed}, nil
	}
	name := ObjectPrefix + v.Hash.String()
	if err := c.putObject(ctx, name, packed, v.Hash); err != nil {
		return storedVersion{}, err
	}
	return storedVersion{Version: v, Object: name}, nil
}

// putObject writes an object that may be there already: the name is that of
// the content, and a reply may have been lost. An object with the right
// content is as good as one written now.
func (c *Chain) putObject(ctx context.Context, name string, packed []byte, hash Hash) error {
	putErr := c.objects.Put(ctx, name, packed)
	if putErr == nil {
		return nil
	}
	present, err := c.objects.Get(ctx, name)
	if err != nil {
		return putErr
	}
	_, err = unpack(present, hash)
	return err
}

// commit sends the transaction until its outcome is known.
//
// A reply can be lost after the write took effect, and a write can take
// effect after its reply was given up. Reading that the change id is absent
// therefore proves nothing while the head has not moved; the same transaction
// is sent again instead, and its conditions let only one copy through.
func (c *Chain) commit(ctx context.Context, change Change, next Version, writes []platform.Write) (Version, error) {
	var unknown, last error
	for range commitAttempts {
		_, err := c.table.Commit(ctx, platform.UseConfig, writes...)
		if err == nil {
			return next, nil
		}
		last = err
		if hadNoEffect(err) {
			break
		}
		if !isConflict(err) {
			unknown = err
		}
		state, err := c.resolve(ctx, change)
		if err == nil && state.accepted != nil {
			return *state.accepted, nil
		}
		if err != nil {
			last = err
			break
		}
	}
	return Version{}, settle(change, unknown, last)
}

// settle chooses the error of a commit. Once one copy of the transaction had
// an unknown outcome, an error of the stores afterwards must not pass for
// "not accepted": that copy may be in force.
func settle(change Change, unknown, last error) error {
	if unknown == nil || isFinal(last) {
		return last
	}
	return &OutcomeUnknownError{ChangeID: change.ChangeID, Cause: last}
}

// hadNoEffect reports whether the table service says that nothing was sent. An
// error of any other kind, such as a context's, proves nothing.
func hadNoEffect(err error) bool {
	return platform.ErrUnavailable.Has(err) || platform.ErrBudget.Has(err)
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// isFinal reports whether the error proves that the change was not accepted
// and cannot be any more.
func isFinal(err error) bool {
	var conflict *ConflictError
	var reused *ChangeIDReusedError
	return errors.As(err, &conflict) || errors.As(err, &reused)
}
