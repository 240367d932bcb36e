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

// variant is a valid bundle that differs from the others by a comment.
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
	back, err := chain.Rollback(ctx, 1, Change{Expected: 2, ChangeID: "c", Author: "op"})
	require.NoError(t, err)
	assert.Equal(t, []any{uint64(3), first.Hash, uint64(1)}, []any{back.Number, back.Hash, back.RollbackTo})

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

func TestAcceptRefuses(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	retired := change("b", 1, 2)
	retired.Bundle = withNorth("site: north\npools: [{name: web, enabled: false}]\n")
	invalid := change("b", 1, 2)
	invalid.Bundle = Bundle{Base: []byte("teams: []\n")}
	cases := map[string]struct {
		change Change
		check  func(error) bool
	}{
		"old base":      {change("b", 0, 2), as[*ConflictError]},
		"future base":   {change("b", 7, 2), as[*ConflictError]},
		"invalid":       {invalid, as[*InvalidError]},
		"withdrawal":    {retired, as[*InvalidError]},
		"reused id":     {change("a", 1, 2), as[*ChangeIDReusedError]},
		"id with slash": {change("a/b", 1, 2), ErrBadChange.Has},
		"no author":     {Change{Bundle: variant(2), Expected: 1, ChangeID: "b"}, ErrBadChange.Has},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := chain.Accept(context.Background(), c.change)
			assert.True(t, c.check(err), "%v", err)
			assert.Equal(t, 1, table.commits, "nothing was sent")
		})
	}
	retired.Withdraw = true
	assert.True(t, mustAccept(t, chain, retired).Withdraw)
}

func as[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}

// Symptom: an operator is told that a change failed, and it is in force; or
// repeats it, and it is in force twice. Sequence: the transaction is sent, and
// its reply, the request itself, or the answer to the read afterwards is lost.
// Cause: the outcome was guessed and not read back by the change id.
func TestAcceptWithLostReplies(t *testing.T) {
	cases := map[string]struct {
		faults []fault
		check  func(error) bool
	}{
		"reply lost after the effect":   {[]fault{faultLostAfter}, isNil},
		"request lost":                  {[]fault{faultLostBefore}, isNil},
		"request lost twice":            {[]fault{faultLostBefore, faultLostBefore}, isNil},
		"lost, then reply lost":         {[]fault{faultLostBefore, faultLostAfter}, isNil},
		"late effect between the reads": {[]fault{faultLate}, isNil},
		"late, then not sent":           {[]fault{faultLate, faultUnsent}, isNil},
		"never sent":                    {[]fault{faultUnsent}, platform.ErrUnavailable.Has},
		"lost, then not sent":           {[]fault{faultLostBefore, faultUnsent}, as[*OutcomeUnknownError]},
		"lost as often as it was tried": {[]fault{faultLostBefore, faultLostBefore, faultLostBefore}, as[*OutcomeUnknownError]},
		"late after it was read back":   {[]fault{faultVeryLate}, isNil},
		"later than all trials":         {[]fault{faultLostBefore, faultLostBefore, faultVeryLate}, as[*OutcomeUnknownError]},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			chain, table := newTestChain()
			mustAccept(t, chain, change("a", 0, 1))
			table.next = sequence(c.faults...)
			_, err := chain.Accept(context.Background(), change("b", 1, 2))
			assert.True(t, c.check(err), "%v", err)

			again := mustAccept(t, chain, change("b", 1, 2))
			assert.EqualValues(t, 2, again.Number, "repeating the change settles it, once")
			head, err := chain.Head(context.Background())
			require.NoError(t, err)
			assert.Equal(t, Head{Version: 2, Hash: again.Hash}, head)
			audited, err := table.Scan(context.Background(), platform.UseAudit, TableAudit, "", "", 10)
			require.NoError(t, err)
			assert.Len(t, audited, 2)
		})
	}
}

func isNil(err error) bool { return err == nil }

// Symptom: an author is told of a conflict with himself. Sequence: his
// transaction is delayed; he reads that his change id is absent; it takes
// effect; he reads that the head has moved. Cause: the change id was read
// before the head.
func TestLateEffectIsNoConflict(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	table.next = sequence(faultLate)
	v, err := chain.Accept(context.Background(), change("b", 1, 2))
	require.NoError(t, err)
	assert.EqualValues(t, 2, v.Number)
	assert.Equal(t, 2, table.commits)
}

// Symptom: "not accepted" for a change that is in force. Sequence: the reply
// is lost after the effect, then the store goes down. Cause: the store's "not
// sent" for the read was passed on as the outcome of the write.
func TestOutcomeUnknownWhileStoreIsDown(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	table.next = func() fault {
		table.readErr = platform.ErrUnavailable.New("down")
		return faultLostAfter
	}
	_, err := chain.Accept(context.Background(), change("b", 1, 2))
	var unknown *OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	assert.Equal(t, "b", unknown.ChangeID)

	table.next, table.readErr = nil, nil
	assert.EqualValues(t, 2, mustAccept(t, chain, change("b", 1, 2)).Number)
}

// Symptom: one of two changes disappears. Sequence: two operators start from
// the same version and both send. Cause: the head was written unconditionally.
// The loser learns which version won, and whose.
func TestRaceOfTwoOperators(t *testing.T) {
	chain, table := newTestChain()
	mustAccept(t, chain, change("a", 0, 1))
	raced := false
	table.next = func() fault {
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

// Symptom: routers refuse a version or, worse, act on half of it. Sequence: a
// row or an object is damaged in the store. Cause: content that is not checked
// against its hash. The large bundle takes the way through the object store.
func TestLoadChecksTheHash(t *testing.T) {
	chain, table := newTestChain()
	large := change("a", 0, 1)
	noise := rand.NewChaCha8([32]byte{1})
	raw := make([]byte, MaxInlineBytes)
	_, _ = noise.Read(raw)
	large.Bundle.Base = append(fmt.Appendf(nil, "# %x\n", raw), large.Bundle.Base...)
	v := mustAccept(t, chain, large)
	require.Len(t, chain.objects, 1)
	again := large
	again.Expected, again.ChangeID = 1, "b"
	mustAccept(t, chain, again)
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

// acceptInput and acceptOutput are one operation of the history below. An
// input without an id reads the head.
type acceptInput struct {
	id       string
	expected uint64
}

type acceptOutput struct {
	version  uint64
	conflict bool
}

// chainModel is the chain as one sequential number: an accept succeeds exactly
// when it expects the current one.
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

// Symptom: a change accepted before another began is not below it. Sequence:
// several operators and readers, with replies lost, requests lost, late and
// not sent. Cause: any break of the compare-and-set or of the reading back.
func TestChainIsLinearizable(t *testing.T) {
	const clients, operations, histories = 4, 12, 20
	for seed := range uint64(histories) {
		chain, table := newTestChain()
		faults := rand.New(rand.NewPCG(seed, 1))
		table.next = func() fault { return fault(max(0, faults.IntN(10)-4)) }
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

// perform reads the head, or accepts a change until its outcome is known.
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
