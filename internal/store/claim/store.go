package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

const (
	// maxInline is the largest answer body kept in the row, in bytes.
	maxInline = 16 << 10
	// maxAttempts bounds the writes of one call whose replies are lost or
	// which meet a change by somebody else.
	maxAttempts = 4
	// cleanupTimeout bounds the attempt to release a claim of which nothing
	// was sent, after the caller's own context may have ended.
	cleanupTimeout = 250 * time.Millisecond
	// maxAbandoned bounds the memory of claims given up unsent.
	maxAbandoned = 4096
	// objectPrefix begins the names of answers in the object store.
	objectPrefix = "claims/"
)

// Store keeps claims in the table service. It is safe for concurrent use.
type Store struct {
	table    platform.Table
	objects  platform.Objects
	router   string
	newToken func() string

	mu        sync.Mutex
	abandoned map[string]struct{}
}

// New returns a Store that claims in the name of router. newToken must return
// a string that no other call on any router ever returns.
func New(table platform.Table, objects platform.Objects, router string, newToken func() string) *Store {
	return &Store{
		table:     table,
		objects:   objects,
		router:    router,
		newToken:  newToken,
		abandoned: make(map[string]struct{}),
	}
}

// Claim is the right to send one request once.
type Claim struct {
	row string
	rec record
	// version is the row's version when it was claimed, or 0 if not known.
	version int64
}

// OutcomeKind says what a caller of Begin must do.
type OutcomeKind int

// The kinds of outcome.
const (
	// Run: send the request, then call Finish, Refused or MarkUnknown.
	Run OutcomeKind = iota + 1
	// Answered: the request ran before; return Answer.
	Answered
	// InProgress: another holder may be sending it; its outcome is not known.
	InProgress
	// Unknown: it was sent and no answer came.
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
	Answer Answer
}

// Err returns the typed refusal of an outcome that neither runs nor answers:
// ErrOutcomeUnknown or ErrKeyReused.
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

// Begin claims key for a request with the given body. Its error is
// *NotRunError where nothing was sent, ErrAnswerLost where the request ran and
// its answer can't be repeated, ErrBadKey or ErrCorrupt.
func (s *Store) Begin(ctx context.Context, key Key, body BodyHash) (Outcome, error) {
	if err := key.check(); err != nil {
		return Outcome{}, err
	}
	b := &begin{store: s, key: key, row: key.row()}
	b.mine = record{
		Token:    s.newToken(),
		BodyHash: body,
		Account:  key.Account,
		Service:  key.Service,
		Router:   s.router,
		State:    StateClaimed,
	}
	return b.run(ctx)
}

// begin is one call of Begin.
type begin struct {
	store *Store
	key   Key
	row   string
	mine  record
	// replaces is the version of the row that the claim is to replace.
	replaces int64
	// uncertain says that a write of ours may have taken effect unseen.
	uncertain bool
}

func (b *begin) run(ctx context.Context) (Outcome, error) {
	var last error
	for range maxAttempts {
		cur, err := b.attempt(ctx)
		if err == nil {
			done, out, err := b.settle(ctx, cur)
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
	return Outcome{}, b.giveUp(ctx, last)
}

// attempt writes the claim and returns the row as it stands afterwards, ours
// or another's. A version of 0 means that the row is absent.
//
// When the reply is lost, the row may be ours without our knowing. Taken for
// another's, the request would be refused although its claim holds; taken for
// absent, it would be claimed under a second token. So the row is read back
// and compared by token, and a repeated write carries the same token.
func (b *begin) attempt(ctx context.Context) (platform.Row, error) {
	row, err := b.store.put(ctx, platform.UseClaim, b.row, b.mine, b.replaces)
	if err == nil {
		return row, nil
	}
	if isDefinite(err) {
		return platform.Row{}, err
	}
	b.uncertain = true
	row, readErr := b.store.table.Get(ctx, platform.UseClaim, Table, b.row)
	if readErr == nil {
		return row, nil
	}
	if platform.ErrNotFound.Has(readErr) {
		return platform.Row{}, nil
	}
	return platform.Row{}, platform.ErrOutcomeUnknown.Wrap(err)
}

// settle decides on the row in place. It reports false where another attempt
// is to be made.
func (b *begin) settle(ctx context.Context, cur platform.Row) (bool, Outcome, error) {
	if cur.Version == 0 {
		b.replaces = 0
		return false, Outcome{}, nil
	}
	rec, err := decode(cur)
	if err != nil {
		return true, Outcome{}, err
	}
	switch judge(rec, b.mine, b.key.Deduplicates, b.store.isAbandoned(rec.Token)) {
	case verdictOurs:
		return true, Outcome{Kind: Run, Claim: &Claim{row: b.row, rec: b.mine, version: cur.Version}}, nil
	case verdictReclaim:
		b.replaces = cur.Version
		return false, Outcome{}, nil
	case verdictAnswered:
		answer, err := b.store.load(ctx, rec.Answer)
		return true, Outcome{Kind: Answered, Answer: answer}, err
	case verdictUnknown:
		return true, Outcome{Kind: Unknown}, nil
	case verdictKeyReused:
		return true, Outcome{Kind: KeyReused}, nil
	default:
		return true, Outcome{Kind: InProgress}, nil
	}
}

// giveUp refuses the request. Nothing was sent and, as the claim is dropped
// here, nothing ever will be.
//
// A write without a reply may still leave a row: later requests would be told
// "outcome unknown" of work that never ran. So the row is released.
func (b *begin) giveUp(ctx context.Context, cause error) error {
	if cause == nil {
		cause = ErrNotRecorded.New("row changed in every attempt")
	}
	if !b.uncertain {
		return &NotRunError{Cause: cause}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cleanupTimeout)
	defer cancel()
	err := b.store.Refused(ctx, &Claim{row: b.row, rec: b.mine})
	return &NotRunError{Cause: cause, RowMayExist: err != nil}
}

// Finish records the answer of a claim. Calling it again is safe. Errors:
// ErrNotRecorded, ErrSuperseded, ErrCorrupt; after ErrNotRecorded the key
// stays blocked, so the answer is late to repeat but never runs twice.
func (s *Store) Finish(ctx context.Context, c *Claim, answer Answer) error {
	rec := c.rec
	rec.State = StateDone
	rec.Answer = s.keep(ctx, c.rec.Token, answer)
	return s.move(ctx, platform.UseClaim, c, rec)
}

// Refused releases a claim whose request provably did not run: no connection
// to the upstream was made, or the upstream refused it before executing.
// Errors as of Finish.
//
// The row is not deleted. Versions of a deleted row start again at 1, so a
// delete that the network delivers a second time would match the version of
// the next holder's claim and remove it, and the key would run twice. A
// refused row keeps the versions growing.
//
// A release that the store does not take leaves the key blocked. The claim is
// therefore remembered, so that this router may replace it later.
func (s *Store) Refused(ctx context.Context, c *Claim) error {
	s.abandon(c.rec.Token)
	rec := c.rec
	rec.State = StateRefused
	return s.move(ctx, platform.UseClaim, c, rec)
}

// MarkUnknown records that the request was sent and that its outcome can't be
// told. Errors as of Finish.
func (s *Store) MarkUnknown(ctx context.Context, c *Claim) error {
	rec := c.rec
	rec.State = StateUnknown
	return s.move(ctx, platform.UseClaim, c, rec)
}

// move brings the row of claim c to rec. After a lost reply or a conflict the
// row is read, so that a repeated call finds its own work done.
func (s *Store) move(ctx context.Context, use platform.Use, c *Claim, rec record) error {
	var last error
	version := c.version
	for range maxAttempts {
		if version == 0 {
			readVersion, done, err := s.movable(ctx, use, c, rec.State)
			if err != nil || done {
				return err
			}
			version = readVersion
		}
		row, err := s.put(ctx, use, c.row, rec, version)
		if err == nil && isExactly(row, rec) {
			return nil
		}
		if err != nil && isDefinite(err) {
			return ErrNotRecorded.Wrap(err)
		}
		last = err
		version = 0
	}
	return ErrNotRecorded.Wrap(orChanged(last))
}

// movable returns the version that a change of claim c must replace, and
// whether the change has been made already.
func (s *Store) movable(ctx context.Context, use platform.Use, c *Claim, to State) (int64, bool, error) {
	row, err := s.table.Get(ctx, use, Table, c.row)
	if platform.ErrNotFound.Has(err) && to == StateRefused {
		// Our own write may still be under way. The refused row takes its
		// place, and it fails on arrival.
		return 0, false, nil
	}
	if platform.ErrNotFound.Has(err) {
		return 0, false, ErrSuperseded.New("row is gone")
	}
	if err != nil {
		return 0, false, ErrNotRecorded.Wrap(err)
	}
	cur, err := decode(row)
	if err != nil {
		return 0, false, err
	}
	if cur.Token != c.rec.Token && to == StateRefused {
		// Another request holds the key, so this claim no longer blocks it.
		return 0, true, nil
	}
	if cur.Token != c.rec.Token {
		return 0, false, ErrSuperseded.New("row belongs to another claim")
	}
	if cur.State == to {
		return 0, true, nil
	}
	if !mayMove(cur.State, to) {
		return 0, false, ErrSuperseded.New("%s can't become %s", cur.State, to)
	}
	return row.Version, false, nil
}

// put writes rec if the row has the given version. After a conflict it
// returns the row that stood in the way.
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

// keep stores the body of an answer, in the row or in the object store.
func (s *Store) keep(ctx context.Context, token string, answer Answer) *storedAnswer {
	kept := &storedAnswer{Status: answer.Status, ContentType: answer.ContentType}
	if len(answer.Body) <= maxInline {
		kept.Body = answer.Body
		return kept
	}
	name := objectPrefix + token
	if s.objects.Put(ctx, name, answer.Body) != nil {
		// The fact that the request ran matters more than its answer: without
		// it in the row, an operator may release the key.
		kept.Lost = true
		return kept
	}
	kept.Object = name
	return kept
}

// load is the reverse of keep.
func (s *Store) load(ctx context.Context, kept *storedAnswer) (Answer, error) {
	if kept == nil || kept.Lost {
		return Answer{}, ErrAnswerLost.New("it was not kept")
	}
	answer := Answer{Status: kept.Status, ContentType: kept.ContentType, Body: kept.Body}
	if kept.Object == "" {
		return answer, nil
	}
	body, err := s.objects.Get(ctx, kept.Object)
	if err != nil {
		return Answer{}, ErrAnswerLost.Wrap(err)
	}
	answer.Body = body
	return answer, nil
}

func (s *Store) abandon(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.abandoned) >= maxAbandoned {
		// Forgetting is safe: a forgotten row blocks its key.
		clear(s.abandoned)
	}
	s.abandoned[token] = struct{}{}
}

func (s *Store) isAbandoned(token string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.abandoned[token]
	return ok
}

// isDefinite says that a failed write certainly had no effect. An error of a
// kind that is not known counts as uncertain.
func isDefinite(err error) bool {
	if platform.ErrOutcomeUnknown.Has(err) {
		return false
	}
	return platform.ErrUnavailable.Has(err) || platform.ErrBudget.Has(err) || ErrCorrupt.Has(err)
}

func isExactly(row platform.Row, rec record) bool {
	cur, err := decode(row)
	return err == nil && cur.Token == rec.Token && cur.State == rec.State
}

func orChanged(err error) error {
	if err != nil {
		return err
	}
	return ErrNotRecorded.New("row changed in every attempt")
}
