package config

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

var testTime = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

func newTestChain() (*Chain, *fakeTable) {
	table := newFakeTable()
	return NewChain(table, fakeObjects{}, func() time.Time { return testTime }), table
}

// variant returns a valid bundle that differs from other variants only by a
// comment.
func variant(n int) Bundle {
	b := testBundle()
	b.Base = append([]byte(fmt.Sprintf("# %d\n", n)), b.Base...)
	return b
}

func change(id string, expected uint64, content int) Change {
	return Change{Bundle: variant(content), Expected: expected, ChangeID: id, Author: "op-" + id, Comment: "why"}
}

func mustAccept(t *testing.T, c *Chain, ch Change) Version {
	t.Helper()
	v, err := c.Accept(context.Background(), ch)
	require.NoError(t, err)
	return v
}

func TestChainKeepsEveryVersion(t *testing.T) {
	ctx := context.Background()
	chain, table := newTestChain()
	head, err := chain.Head(ctx)
	require.NoError(t, err)
	assert.Zero(t, head)

	first := mustAccept(t, chain, change("a", 0, 1))
	second := mustAccept(t, chain, change("b", 1, 2))
	assert.Equal(t, first.Hash, second.Previous)
	rolledBack, err := chain.Rollback(ctx, 1, Change{Expected: 2, ChangeID: "c", Author: "op"})
	require.NoError(t, err)
	assert.Equal(t, []any{uint64(3), first.Hash, uint64(1)}, []any{rolledBack.Number, rolledBack.Hash, rolledBack.RollbackTo})

	head, err = chain.Head(ctx)
	require.NoError(t, err)
	assert.Equal(t, Head{Version: 3, Hash: first.Hash}, head)
	loaded, err := chain.Load(ctx, 2)
	require.NoError(t, err)
	assert.Equal(t, second, loaded)
	history, err := chain.History(ctx, 2, 10)
	require.NoError(t, err)
	require.Len(t, history, 2)
	assert.Equal(t, []string{"b", "c"}, []string{history[0].ChangeID, history[1].ChangeID})

	var entry AuditEntry
	require.NoError(t, decodeRow(table.rows["audit/00000000000000000002/b"].Value, &entry))
	second.Bundle = Bundle{}
	assert.Equal(t, AuditEntry{Action: AuditAccepted, Version: second}, entry)
	_, err = chain.Load(ctx, 9)
	assert.True(t, ErrNoVersion.Has(err))
}

func TestAcceptRejectsInvalidChanges(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	withdrawal := change("b", 1, 2)
	withdrawal.Bundle = withNorth("site: north\npools: [{name: web, enabled: false}]\n")
	invalid := change("b", 1, 2)
	invalid.Bundle = Bundle{Base: []byte("teams: []\n")}
	cases := map[string]struct {
		change Change
		check  func(error) bool
	}{
		"stale version":   {change("b", 0, 2), hasType[*ConflictError]},
		"future version":  {change("b", 7, 2), hasType[*ConflictError]},
		"invalid":         {invalid, hasType[*InvalidError]},
		"withdrawal":      {withdrawal, hasType[*InvalidError]},
		"reused id":       {change("a", 1, 2), hasType[*ChangeIDReusedError]},
		"id with a slash": {change("a/b", 1, 2), ErrBadChange.Has},
		"no author":       {Change{Bundle: variant(2), Expected: 1, ChangeID: "b"}, ErrBadChange.Has},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := chain.Accept(context.Background(), c.change)
			assert.True(t, c.check(err), "%v", err)
			assert.Equal(t, 1, table.commits, "the change must not be committed")
		})
	}
	withdrawal.Withdraw = true
	assert.True(t, mustAccept(t, chain, withdrawal).Withdraw)
}

func hasType[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// Guards against a change that is reported as failed although it is active, or is
// accepted twice when retried, because a request or reply was lost and the outcome
// was assumed instead of looked up by the change id.
func TestRetriedChangeIsAcceptedOnce(t *testing.T) {
	cases := map[string]struct {
		faults []fault
		check  func(error) bool
	}{
		"reply lost":                      {[]fault{faultLostAfter}, isNil},
		"request lost":                    {[]fault{faultLostBefore}, isNil},
		"request lost twice":              {[]fault{faultLostBefore, faultLostBefore}, isNil},
		"request lost, then reply lost":   {[]fault{faultLostBefore, faultLostAfter}, isNil},
		"delayed until between the reads": {[]fault{faultDelayed}, isNil},
		"delayed, then not sent":          {[]fault{faultDelayed, faultUnsent}, isNil},
		"never sent":                      {[]fault{faultUnsent}, platform.ErrUnavailable.Has},
		"request lost, then not sent":     {[]fault{faultLostBefore, faultUnsent}, hasType[*OutcomeUnknownError]},
		"request lost in every attempt":   {[]fault{faultLostBefore, faultLostBefore, faultLostBefore}, hasType[*OutcomeUnknownError]},
		"delayed past the reads":          {[]fault{faultDelayedPastReads}, isNil},
		"delayed past all attempts":       {[]fault{faultLostBefore, faultLostBefore, faultDelayedPastReads}, hasType[*OutcomeUnknownError]},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chain, table := newTestChain()
			mustAccept(t, chain, change("a", 0, 1))
			table.nextFault = faultSequence(c.faults...)
			_, err := chain.Accept(context.Background(), change("b", 1, 2))
			assert.True(t, c.check(err), "%v", err)

			retried := mustAccept(t, chain, change("b", 1, 2))
			assert.EqualValues(t, 2, retried.Number, "a retry must return the accepted version")
			head, err := chain.Head(context.Background())
			require.NoError(t, err)
			assert.Equal(t, Head{Version: 2, Hash: retried.Hash}, head)
			audited, err := table.Scan(context.Background(), platform.UseAudit, TableAudit, "", "", 10)
			require.NoError(t, err)
			assert.Len(t, audited, 2)
		})
	}
}

func isNil(err error) bool { return err == nil }

// Guards against a conflict of an author with his own change. If the change id
// were read before the head, a delayed transaction could take effect between
// the two reads: the id would be absent and the head would have changed.
func TestDelayedCommitIsNotReportedAsConflict(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	table.nextFault = faultSequence(faultDelayed)
	v, err := chain.Accept(context.Background(), change("b", 1, 2))
	require.NoError(t, err)
	assert.EqualValues(t, 2, v.Number)
	assert.Equal(t, 2, table.commits)
}

// Guards against reporting an active change as not accepted. The reply is lost
// after the commit took effect, then the store fails; the "not sent" error of the
// following read must not be returned as the outcome of the write.
func TestStoreFailureAfterCommitIsOutcomeUnknown(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	table.nextFault = func() fault {
		table.readErr = platform.ErrUnavailable.New("down")
		return faultLostAfter
	}
	_, err := chain.Accept(context.Background(), change("b", 1, 2))
	var unknown *OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	assert.Equal(t, "b", unknown.ChangeID)

	table.nextFault, table.readErr = nil, nil
	assert.EqualValues(t, 2, mustAccept(t, chain, change("b", 1, 2)).Number)
}

// Guards against a lost update when two operators change the same version,
// which an unconditional write of the head would cause. The error must name the
// active version and its author.
func TestConcurrentChangesDoNotOverwriteEachOther(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	raced := false
	table.nextFault = func() fault {
		if !raced {
			raced = true
			table.mu.Unlock()
			mustAccept(t, chain, change("winner", 1, 2))
			table.mu.Lock()
		}
		return faultNone
	}
	_, err := chain.Accept(context.Background(), change("loser", 1, 3))
	var conflict *ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, ConflictError{Version: 2, Hash: variant(2).Hash(), Author: "op-winner", Expected: 1}, *conflict)
}

// Guards against routers that apply part of a version, or reject it, because a row
// or an object in the store is damaged and its content is not checked against its
// hash. The bundle is large enough to be stored as an object.
func TestLoadRejectsDamagedContent(t *testing.T) {
	chain, table := newTestChain()
	large := change("a", 0, 1)
	random := rand.NewChaCha8([32]byte{1})
	randomBytes := make([]byte, MaxInlineBytes)
	_, _ = random.Read(randomBytes)
	large.Bundle.Base = append(fmt.Appendf(nil, "# %x\n", randomBytes), large.Bundle.Base...)
	v := mustAccept(t, chain, large)
	require.Len(t, chain.objects, 1)
	sameContent := large
	sameContent.Expected, sameContent.ChangeID = 1, "b"
	mustAccept(t, chain, sameContent)
	loaded, err := chain.Load(context.Background(), 1)
	require.NoError(t, err)
	assert.Equal(t, v.Hash, loaded.Hash)

	other, err := pack(variant(9))
	require.NoError(t, err)
	chain.objects.(fakeObjects)[ObjectPrefix+v.Hash.String()] = other
	for id, row := range table.rows {
		row.Value = bytes.Replace(row.Value, []byte(`"version":2`), []byte(`"version":"x"`), 1)
		table.rows[id] = row
	}
	for number := range uint64(2) {
		_, err = chain.Load(context.Background(), number+1)
		assert.True(t, ErrCorrupt.Has(err), "%v", err)
	}
}

// acceptInput and acceptOutput are the input and output of one operation for the
// linearizability check. An input without an id is a read of the head.
type acceptInput struct {
	id       string
	expected uint64
}

type acceptOutput struct {
	version  uint64
	conflict bool
}

// chainModel is the sequential specification of the chain: a version number, where
// an accept succeeds exactly if it expects the current number.
var chainModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(acceptInput), output.(acceptOutput)
		switch {
		case in.id == "":
			return out.version == current, current
		case out.conflict:
			return current != in.expected && out.version == current, current
		}
		return current == in.expected && out.version == current+1, current + 1
	},
}

// Guards against versions in the wrong order: a change that begins after
// another one was accepted must get the higher version. Several clients read
// and accept concurrently, with lost, delayed and unsent requests and lost
// replies.
func TestChainIsLinearizable(t *testing.T) {
	const clients, operations, histories = 4, 12, 20
	for seed := range uint64(histories) {
		chain, table := newTestChain()
		faults := rand.New(rand.NewPCG(seed, 1))
		table.nextFault = func() fault { return fault(max(0, faults.IntN(10)-4)) }
		recorded := make([][]porcupine.Operation, clients)
		var clock atomic.Int64
		var wg sync.WaitGroup
		for client := range clients {
			choices := rand.New(rand.NewPCG(seed, uint64(client+2)))
			wg.Go(func() {
				for n := range operations {
					op := porcupine.Operation{ClientId: client, Call: clock.Add(1)}
					op.Input, op.Output = perform(chain, choices, fmt.Sprintf("c%d-%d", client, n))
					op.Return = clock.Add(1)
					recorded[client] = append(recorded[client], op)
				}
			})
		}
		wg.Wait()
		var history []porcupine.Operation
		for _, ops := range recorded {
			history = append(history, ops...)
		}
		require.True(t, porcupine.CheckOperations(chainModel, history), "seed %d", seed)
	}
}

// perform reads the head, or retries a change until its outcome is known.
func perform(chain *Chain, choices *rand.Rand, id string) (acceptInput, acceptOutput) {
	ctx := context.Background()
	head, _ := chain.Head(ctx)
	if choices.IntN(3) == 0 {
		return acceptInput{}, acceptOutput{version: head.Version}
	}
	ch := change(id, head.Version, choices.IntN(1000))
	for {
		v, err := chain.Accept(ctx, ch)
		var conflict *ConflictError
		if err == nil {
			return acceptInput{id: id, expected: ch.Expected}, acceptOutput{version: v.Number}
		}
		if errors.As(err, &conflict) {
			return acceptInput{id: id, expected: ch.Expected}, acceptOutput{version: conflict.Version, conflict: true}
		}
	}
}
