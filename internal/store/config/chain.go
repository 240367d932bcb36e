package config

import (
	"context"
	"errors"
	"regexp"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// maxCommitAttempts bounds how often Accept sends a transaction whose outcome is
// unknown.
const maxCommitAttempts = 3

// MaxHistory is the maximum number of versions that one call of History returns.
const MaxHistory = 100

// changeIDPattern restricts change ids to what is safe in table keys.
var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Change is an operator's request for a new version.
type Change struct {
	// Bundle is the complete new configuration.
	Bundle Bundle
	// Expected is the version that the change is based on; 0 for the first.
	Expected uint64
	// ChangeID identifies the change. The author chooses it once and uses it
	// for every retry: the chain accepts an id only once.
	ChangeID string
	// Author is the operator.
	Author string
	// Comment is the reason for the change. It is part of the audit trail.
	Comment string
	// Withdraw waives the check that each site still serves what it served
	// before. It does not permit the removal of a site's last pool.
	Withdraw bool
}

// Chain is the append-only sequence of accepted versions in the platform's
// table service. It keeps no state in memory, so any router can use it. All
// methods are safe for concurrent use.
type Chain struct {
	table   platform.Table
	objects platform.Objects
	now     func() time.Time
}

// NewChain returns the chain in the given stores. The clock is used only for
// the timestamps of records.
func NewChain(table platform.Table, objects platform.Objects, now func() time.Time) *Chain {
	return &Chain{table: table, objects: objects, now: now}
}

// Head returns the active version, or the zero Head if there is none yet.
// Errors: those of platform.Table, ErrCorrupt.
func (c *Chain) Head(ctx context.Context) (Head, error) {
	head, _, err := c.readHead(ctx)
	return head, err
}

// readHead returns the head and the version of its row, for the
// compare-and-set.
func (c *Chain) readHead(ctx context.Context) (Head, int64, error) {
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

// Load returns a version with its bundle, which it checks against the hash.
// Errors: ErrNoVersion, ErrCorrupt, those of the stores.
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
	packed, err := c.loadPacked(ctx, stored)
	if err != nil {
		return Version{}, err
	}
	stored.Bundle, err = unpack(packed, stored.Hash)
	return stored.Version, err
}

func (c *Chain) loadPacked(ctx context.Context, stored storedVersion) ([]byte, error) {
	if stored.Object == "" {
		return stored.Packed, nil
	}
	return c.objects.Get(ctx, stored.Object)
}

// History returns the versions with number from and above, oldest first and
// without their bundles: at most limit, and at most MaxHistory. Errors: those of
// platform.Table, ErrCorrupt.
func (c *Chain) History(ctx context.Context, from uint64, limit int) ([]Version, error) {
	limit = min(limit, MaxHistory)
	rows, err := c.table.Scan(ctx, platform.UseConfig, TableVersions, versionKey(from), "", limit)
	if err != nil {
		return nil, err
	}
	versions := make([]Version, 0, len(rows))
	for _, row := range rows {
		var version Version
		if err := decodeRow(row.Value, &version); err != nil {
			return nil, err
		}
		versions = append(versions, version)
	}
	return versions, nil
}

// Accept appends the change as the next version. If the change id was accepted
// before, Accept returns that version, so a change can be retried.
//
// Errors: ErrBadChange, *InvalidError, *ConflictError and
// *ChangeIDReusedError mean that the change was not accepted and will not be.
// The same holds for errors of the stores which say that nothing was sent.
// *OutcomeUnknownError means that the change may have been accepted; the caller
// should retry it with the same id.
func (c *Chain) Accept(ctx context.Context, change Change) (Version, error) {
	return c.accept(ctx, change, 0)
}

// Rollback appends the content of an earlier version as a new version. It
// ignores the bundle of the change. Errors: as for Accept and Load.
func (c *Chain) Rollback(ctx context.Context, to uint64, change Change) (Version, error) {
	target, err := c.Load(ctx, to)
	if err != nil {
		return Version{}, err
	}
	change.Bundle = target.Bundle
	return c.accept(ctx, change, to)
}

func (c *Chain) accept(ctx context.Context, change Change, rollbackTo uint64) (Version, error) {
	if err := checkChange(change); err != nil {
		return Version{}, err
	}
	state, err := c.readChangeState(ctx, change)
	if err != nil {
		return Version{}, err
	}
	if state.accepted != nil {
		return *state.accepted, nil
	}
	if err := c.validate(ctx, change, state.head); err != nil {
		return Version{}, err
	}
	next := c.nextVersion(change, state.head)
	next.RollbackTo = rollbackTo
	writes, err := c.acceptWrites(ctx, next, state.headRow)
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

// changeState is the state of a change in the stores.
type changeState struct {
	// accepted is the version that the change was accepted as, or nil.
	accepted *Version
	// head is the active version, and headRow the version of its row.
	head    Head
	headRow int64
}

// readChangeState reads whether the change has been accepted. It returns a
// *ConflictError if the change has not been accepted and no longer can be.
//
// The head is read before the change id. In the reverse order, a delayed
// transaction of the same change that takes effect between the two reads would
// show a new head and no row for the change, and the author would get a
// conflict with his own change, which is active. In this order, once the head
// has a newer version, the row of the change id either exists or will never
// exist.
func (c *Chain) readChangeState(ctx context.Context, change Change) (changeState, error) {
	head, headRow, err := c.readHead(ctx)
	if err != nil {
		return changeState{}, err
	}
	accepted, err := c.findAccepted(ctx, change)
	if err != nil {
		return changeState{}, err
	}
	if accepted == nil && head.Version != change.Expected {
		return changeState{}, c.conflictError(ctx, change, head)
	}
	return changeState{accepted: accepted, head: head, headRow: headRow}, nil
}

// findAccepted returns the version that the change id was accepted as, or nil.
// It returns a *ChangeIDReusedError if that version has other content.
func (c *Chain) findAccepted(ctx context.Context, change Change) (*Version, error) {
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
	version, err := c.Load(ctx, used.Version)
	return &version, err
}

// conflictError describes the active version. The name of its author is only
// informative, so a failure to read it does not hide the conflict.
func (c *Chain) conflictError(ctx context.Context, change Change, head Head) error {
	conflict := &ConflictError{Version: head.Version, Hash: head.Hash, Expected: change.Expected}
	if active, err := c.Load(ctx, head.Version); err == nil {
		conflict.Author = active.Author
	}
	return conflict
}

func (c *Chain) validate(ctx context.Context, change Change, head Head) error {
	if problems := Validate(change.Bundle); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	if head.Version == 0 {
		return nil
	}
	active, err := c.Load(ctx, head.Version)
	if err != nil {
		return err
	}
	withdrawals, emptiedSites := compareBundles(active.Bundle, change.Bundle)
	if change.Withdraw {
		withdrawals = nil
	}
	if problems := append(emptiedSites, withdrawals...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

func (c *Chain) nextVersion(change Change, head Head) Version {
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

// acceptWrites returns the writes of the transaction that accepts the version.
// Each is conditional, so that writes which are sent twice take effect once.
func (c *Chain) acceptWrites(ctx context.Context, v Version, headRow int64) ([]platform.Write, error) {
	stored, err := c.storeBundle(ctx, v)
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

// storeBundle compresses the bundle. It writes a bundle larger than
// MaxInlineBytes to the object store.
func (c *Chain) storeBundle(ctx context.Context, v Version) (storedVersion, error) {
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

// putObject writes an object. The object may exist already, because its name is
// the hash of its content and an earlier reply may have been lost; an existing
// object with the right content counts as written.
func (c *Chain) putObject(ctx context.Context, name string, packed []byte, hash Hash) error {
	putErr := c.objects.Put(ctx, name, packed)
	if putErr == nil {
		return nil
	}
	existing, err := c.objects.Get(ctx, name)
	if err != nil {
		return putErr
	}
	_, err = unpack(existing, hash)
	return err
}

// commit sends the transaction until its outcome is known, at most
// maxCommitAttempts times.
//
// A reply can be lost after the writes took effect, and writes can take effect
// after the sender stopped waiting for the reply. The absence of the change id
// therefore proves nothing while the head has not changed. So commit sends the
// same transaction again, and the conditions of its writes let only one copy
// take effect.
func (c *Chain) commit(ctx context.Context, change Change, next Version, writes []platform.Write) (Version, error) {
	var unknownErr, lastErr error
	for range maxCommitAttempts {
		_, err := c.table.Commit(ctx, platform.UseConfig, writes...)
		if err == nil {
			return next, nil
		}
		lastErr = err
		if hadNoEffect(err) {
			break
		}
		if !isConflict(err) {
			unknownErr = err
		}
		state, err := c.readChangeState(ctx, change)
		if err == nil && state.accepted != nil {
			return *state.accepted, nil
		}
		if err != nil {
			lastErr = err
			break
		}
	}
	return Version{}, commitError(change, unknownErr, lastErr)
}

// commitError selects the error that commit returns. Once one copy of the
// transaction had an unknown outcome, a later error of the stores must not be
// reported as "not accepted", because that copy may have taken effect.
func commitError(change Change, unknownErr, lastErr error) error {
	if unknownErr == nil || isFinal(lastErr) {
		return lastErr
	}
	return &OutcomeUnknownError{ChangeID: change.ChangeID, Cause: lastErr}
}

// hadNoEffect reports whether the error means that nothing was sent to the
// table service. Any other error, such as that of a context, leaves open
// whether the request was sent.
func hadNoEffect(err error) bool {
	return platform.ErrUnavailable.Has(err) || platform.ErrBudget.Has(err)
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// isFinal reports whether the error proves that the change was not accepted and
// never will be.
func isFinal(err error) bool {
	var conflict *ConflictError
	var reused *ChangeIDReusedError
	return errors.As(err, &conflict) || errors.As(err, &reused)
}
