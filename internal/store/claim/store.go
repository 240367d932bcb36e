package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

const (
	// maxInlineBody is the maximum size of a response body that is stored in
	// the row, in bytes.
	maxInlineBody = 16 << 10
	// maxAttempts is the maximum number of writes in one call, which retries
	// after lost replies and concurrent changes of the row.
	maxAttempts = 4
	// cleanupTimeout is the timeout for releasing the claim of a request that
	// was not sent. The caller's own context may have ended by then.
	cleanupTimeout = 250 * time.Millisecond
	// maxReleased is the maximum number of tokens in Store.released.
	maxReleased = 4096
	// objectPrefix is the prefix of the names of responses in the object store.
	objectPrefix = "claims/"
)

// Store manages claims in the table service. It is safe for concurrent use.
type Store struct {
	table    platform.Table
	objects  platform.Objects
	router   string
	newToken func() string

	mu sync.Mutex
	// released holds the tokens of claims whose requests were not executed and
	// never will be.
	released map[string]struct{}
}

// New returns a Store that makes claims on behalf of router. Each call of newToken
// must return a string that is unique among all routers.
func New(table platform.Table, objects platform.Objects, router string, newToken func() string) *Store {
	return &Store{
		table:    table,
		objects:  objects,
		router:   router,
		newToken: newToken,
		released: make(map[string]struct{}),
	}
}

// Claim is the right to send a request once.
type Claim struct {
	row string
	rec record
	// version is the row's version when it was claimed, or 0 if unknown.
	version int64
}

// OutcomeKind is the kind of an Outcome. It determines what the caller of Begin
// must do.
type OutcomeKind int

// The kinds of outcome.
const (
	// Run: the caller must send the request and then call Finish, Release or
	// MarkUnknown.
	Run OutcomeKind = iota + 1
	// Answered: the request was executed earlier; the caller must return
	// Outcome.Answer.
	Answered
	// InProgress: another holder may have sent the request or may still send
	// it; its outcome is unknown.
	InProgress
	// Unknown: the request was sent and no response was received.
	Unknown
	// KeyReused: the key belongs to a request with another body.
	KeyReused
)

// Outcome is the result of Begin.
type Outcome struct {
	Kind OutcomeKind
	// Claim is set for Run.
	Claim *Claim
	// Answer is set for Answered.
	Answer Response
}

// Err returns the error of an outcome for which the request must be refused:
// ErrOutcomeUnknown or ErrKeyReused. It returns nil for Run and Answered.
func (o Outcome) Err() error {
	switch o.Kind {
	case InProgress:
		return ErrOutcomeUnknown.New("claimed by another request")
	case Unknown:
		return ErrOutcomeUnknown.New("sent, and no answer came")
	case KeyReused:
		return ErrKeyReused.New("same key, other body")
	default:
		return nil
	}
}

// Begin claims key for a request with the given body. Errors: *NotExecutedError
// if the claim could not be made, so that the request must not be sent;
// ErrResponseLost if the request was executed and its response is not available;
// ErrBadKey and ErrCorrupt.
func (s *Store) Begin(ctx context.Context, key Key, body BodyHash) (Outcome, error) {
	if err := key.validate(); err != nil {
		return Outcome{}, err
	}
	b := &begin{store: s, key: key, row: key.rowKey()}
	b.own = record{
		Token:    s.newToken(),
		BodyHash: body,
		Account:  key.Account,
		Service:  key.Service,
		Router:   s.router,
		State:    StateClaimed,
	}
	return b.run(ctx)
}

// begin is the state of one call of Begin.
type begin struct {
	store *Store
	key   Key
	row   string
	own   record
	// replacedVersion is the version of the row that the claim replaces, 0 for
	// an absent row.
	replacedVersion int64
	// maybeWritten is set once a write may have taken effect without a reply.
	maybeWritten bool
}

func (b *begin) run(ctx context.Context) (Outcome, error) {
	var last error
	for range maxAttempts {
		existing, err := b.attempt(ctx)
		if err == nil {
			done, out, err := b.resolve(ctx, existing)
			if done {
				return out, err
			}
			continue
		}
		last = err
		if !platform.ErrOutcomeUnknown.Has(err) {
			break
		}
	}
	return Outcome{}, b.abort(ctx, last)
}

// attempt writes the claim and returns the row as stored afterwards, which may
// belong to this claim or another. A version of 0 means that the row is absent.
//
// After a lost reply the row may belong to this claim. If it were treated as
// another claim's row, the request would be refused although its claim took
// effect; if it were treated as absent, the key would be claimed under a second
// token. So the row is read back and compared by token, and a repeated write
// has the same token.
func (b *begin) attempt(ctx context.Context) (platform.Row, error) {
	row, err := b.store.put(ctx, platform.UseClaim, b.row, b.own, b.replacedVersion)
	if err == nil {
		return row, nil
	}
	if provesNoEffect(err) {
		return platform.Row{}, err
	}
	b.maybeWritten = true
	row, readErr := b.store.table.Get(ctx, platform.UseClaim, Table, b.row)
	if readErr == nil {
		return row, nil
	}
	if platform.ErrNotFound.Has(readErr) {
		return platform.Row{}, nil
	}
	return platform.Row{}, platform.ErrOutcomeUnknown.Wrap(err)
}

// resolve returns the outcome for the row as stored. It returns false if another
// attempt has to be made.
func (b *begin) resolve(ctx context.Context, existing platform.Row) (bool, Outcome, error) {
	if existing.Version == 0 {
		b.replacedVersion = 0
		return false, Outcome{}, nil
	}
	rec, err := decode(existing)
	if err != nil {
		return true, Outcome{}, err
	}
	switch decide(rec, b.own, b.key.Deduplicates, b.store.isReleased(rec.Token)) {
	case decisionOwn:
		return true, Outcome{Kind: Run, Claim: &Claim{row: b.row, rec: b.own, version: existing.Version}}, nil
	case decisionReclaim:
		b.replacedVersion = existing.Version
		return false, Outcome{}, nil
	case decisionExecuted:
		response, err := b.store.loadResponse(ctx, rec.Answer)
		return true, Outcome{Kind: Answered, Answer: response}, err
	case decisionUnknown:
		return true, Outcome{Kind: Unknown}, nil
	case decisionKeyReused:
		return true, Outcome{Kind: KeyReused}, nil
	default:
		return true, Outcome{Kind: InProgress}, nil
	}
}

// abort returns the *NotExecutedError of the request. Nothing was sent and, as the
// claim is discarded here, nothing ever will be.
//
// A write whose reply was lost may still leave a row. Later requests with the
// same key would then get ErrOutcomeUnknown although the request was never
// executed, so abort releases the row.
func (b *begin) abort(ctx context.Context, cause error) error {
	if cause == nil {
		cause = ErrNotRecorded.New("row changed in every attempt")
	}
	if !b.maybeWritten {
		return &NotExecutedError{Cause: cause}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	err := b.store.Release(ctx, &Claim{row: b.row, rec: b.own})
	return &NotExecutedError{Cause: cause, RowMayExist: err != nil}
}

// Finish records the response to the request of a claim. It may be repeated.
// Errors: ErrNotRecorded, ErrSuperseded, ErrCorrupt. After ErrNotRecorded the key
// may stay blocked: the response can't be repeated to later callers, but the
// request is never executed twice.
func (s *Store) Finish(ctx context.Context, c *Claim, response Response) error {
	rec := c.rec
	rec.State = StateDone
	rec.Answer = s.storeResponse(ctx, c.rec.Token, response)
	return s.transition(ctx, platform.UseClaim, c, rec)
}

// Release releases a claim whose request was provably not executed: no connection
// to the upstream was made, or the upstream rejected the request before executing
// it. Errors: as of Finish.
//
// Release doesn't delete the row. If a store starts the versions of a deleted
// row again at 1, a delete that the network delivers a second time would match
// the version of the next holder's claim and remove it, and the request would
// be executed twice. The versions of a refused row keep increasing in any
// store.
//
// If the store doesn't record the release, the key stays blocked. The Store
// therefore remembers the claim, so that this router may replace it later.
func (s *Store) Release(ctx context.Context, c *Claim) error {
	s.markReleased(c.rec.Token)
	rec := c.rec
	rec.State = StateRefused
	return s.transition(ctx, platform.UseClaim, c, rec)
}

// MarkUnknown records that the request was sent and that its outcome is unknown.
// Errors: as of Finish.
func (s *Store) MarkUnknown(ctx context.Context, c *Claim) error {
	rec := c.rec
	rec.State = StateUnknown
	return s.transition(ctx, platform.UseClaim, c, rec)
}

// transition replaces the row of claim c by rec. After a lost reply or a conflict
// it reads the row, so that a repeated call recognises a change already made.
func (s *Store) transition(ctx context.Context, use platform.Use, c *Claim, rec record) error {
	var last error
	version := c.version
	for range maxAttempts {
		if version == 0 {
			readVersion, done, err := s.prepareTransition(ctx, use, c, rec.State)
			if err != nil || done {
				return err
			}
			version = readVersion
		}
		row, err := s.put(ctx, use, c.row, rec, version)
		if err == nil && matches(row, rec) {
			return nil
		}
		if err != nil && provesNoEffect(err) {
			return ErrNotRecorded.Wrap(err)
		}
		last = err
		version = 0
	}
	return ErrNotRecorded.Wrap(orRowChanged(last))
}

// prepareTransition returns the version of the row that a change of claim c must
// replace, and whether no change is needed any more. Errors: ErrSuperseded if the
// change is not allowed, ErrNotRecorded and ErrCorrupt.
func (s *Store) prepareTransition(ctx context.Context, use platform.Use, c *Claim, to State) (int64, bool, error) {
	row, err := s.table.Get(ctx, use, Table, c.row)
	if platform.ErrNotFound.Has(err) && to == StateRefused {
		// The write of the claim may still be in transit. Once the refused row
		// exists, that write fails on arrival.
		return 0, false, nil
	}
	if platform.ErrNotFound.Has(err) {
		return 0, false, ErrSuperseded.New("row is gone")
	}
	if err != nil {
		return 0, false, ErrNotRecorded.Wrap(err)
	}
	existing, err := decode(row)
	if err != nil {
		return 0, false, err
	}
	if existing.Token != c.rec.Token && to == StateRefused {
		// Another request holds the key, so this claim no longer blocks it.
		return 0, true, nil
	}
	if existing.Token != c.rec.Token {
		return 0, false, ErrSuperseded.New("row belongs to another claim")
	}
	if existing.State == to {
		return 0, true, nil
	}
	if !canTransition(existing.State, to) {
		return 0, false, ErrSuperseded.New("%s can't become %s", existing.State, to)
	}
	return row.Version, false, nil
}

// put writes rec if the row has the given version. After a conflict it returns the
// conflicting row and no error.
func (s *Store) put(ctx context.Context, use platform.Use, key string, rec record, version int64) (platform.Row, error) {
	value, err := rec.encode()
	if err != nil {
		return platform.Row{}, err
	}
	write := platform.Write{Table: Table, Key: key, Value: value, IfVersion: version}
	rows, err := s.table.Commit(ctx, use, write)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, nil
	}
	if err != nil {
		return platform.Row{}, err
	}
	if len(rows) != 1 {
		return platform.Row{}, platform.ErrOutcomeUnknown.New("%d rows in the reply", len(rows))
	}
	return rows[0], nil
}

// storeResponse returns a response in the form stored in the row. It puts a body
// larger than maxInlineBody into the object store.
func (s *Store) storeResponse(ctx context.Context, token string, response Response) *storedResponse {
	stored := &storedResponse{Status: response.Status, ContentType: response.ContentType}
	if len(response.Body) <= maxInlineBody {
		stored.Body = response.Body
		return stored
	}
	name := objectPrefix + token
	if s.objects.Put(ctx, name, response.Body) != nil {
		// The row must record that the request was executed even if its
		// response is lost: otherwise an operator may release the key.
		stored.Lost = true
		return stored
	}
	stored.Object = name
	return stored
}

// loadResponse is the reverse of storeResponse. Errors: ErrResponseLost.
func (s *Store) loadResponse(ctx context.Context, stored *storedResponse) (Response, error) {
	if stored == nil || stored.Lost {
		return Response{}, ErrResponseLost.New("it was not kept")
	}
	response := Response{Status: stored.Status, ContentType: stored.ContentType, Body: stored.Body}
	if stored.Object == "" {
		return response, nil
	}
	body, err := s.objects.Get(ctx, stored.Object)
	if err != nil {
		return Response{}, ErrResponseLost.Wrap(err)
	}
	response.Body = body
	return response, nil
}

func (s *Store) markReleased(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.released) >= maxReleased {
		// Dropping the tokens is safe: a row whose release was not recorded
		// then blocks its key, but no request is executed twice.
		clear(s.released)
	}
	s.released[token] = struct{}{}
}

func (s *Store) isReleased(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.released[token]
	return ok
}

// provesNoEffect reports whether err proves that a write had no effect. An unknown
// error proves nothing.
func provesNoEffect(err error) bool {
	if platform.ErrOutcomeUnknown.Has(err) {
		return false
	}
	return platform.ErrUnavailable.Has(err) || platform.ErrBudget.Has(err) || ErrCorrupt.Has(err)
}

// matches reports whether the row holds the token and the state of rec.
func matches(row platform.Row, rec record) bool {
	existing, err := decode(row)
	return err == nil && existing.Token == rec.Token && existing.State == rec.State
}

func orRowChanged(err error) error {
	if err != nil {
		return err
	}
	return ErrNotRecorded.New("row changed in every attempt")
}
