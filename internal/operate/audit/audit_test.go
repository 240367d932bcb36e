package audit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var testTime = time.Date(2026, 5, 1, 8, 0, 0, 0, time.UTC)

func newTrail() (*Trail, *platformtest.Fake) {
	store := platformtest.New()
	now := func() time.Time { return testTime }
	return New(store, config.NewChain(store, store.Objects(), now), now), store
}

func entry(id string) Entry {
	return Entry{ID: id, Actor: "kim", Action: ActionOperatorAdd, Outcome: OutcomeDone, Target: "operator " + id}
}

// effect is the write that an entry tells of.
func effect(id string) platform.Write {
	return platform.Write{Table: "things", Key: id, Value: []byte(id)}
}

func ids(t *testing.T, trail *Trail) []string {
	t.Helper()
	top, err := trail.Top(context.Background())
	require.NoError(t, err)
	entries, next, err := trail.Page(context.Background(), top, MaxPage)
	require.NoError(t, err)
	assert.True(t, next.End())
	var out []string
	for _, e := range entries {
		out = append(out, e.ID)
	}
	return out
}

// Symptom: an operation has no entry, or two. Sequence: the store's reply to
// the transaction is lost, the transaction is delivered twice or late. Cause:
// a repetition that does not recognise its own first copy.
func TestRecordOnce(t *testing.T) {
	for _, fault := range []platformtest.Fault{
		platformtest.None, platformtest.LoseBeforeEffect, platformtest.LoseReplyAfterEffect,
		platformtest.LateEffect, platformtest.Duplicate,
	} {
		trail, store := newTrail()
		store.Script(platformtest.OpCommit, fault)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		got, err := trail.Record(ctx, entry("a"), effect("a"))
		cancel()
		require.NoError(t, err, fault)
		assert.Equal(t, []any{uint64(1), testTime}, []any{got.Number, got.Time}, fault)
		_, err = trail.Record(context.Background(), entry("b"), effect("b"))
		require.NoError(t, err, fault)
		store.DeliverLate()
		assert.Equal(t, []string{"b", "a"}, ids(t, trail), fault)
		row, err := store.Store().Get("things", "a")
		require.NoError(t, err, fault)
		assert.Equal(t, int64(1), row.Version, fault)
	}
}

func TestRecordNothing(t *testing.T) {
	trail, store := newTrail()
	store.Script(platformtest.OpCommit, platformtest.Down)
	_, err := trail.Record(context.Background(), entry("a"), effect("a"))
	assert.True(t, platform.ErrUnavailable.Has(err))
	assert.Empty(t, ids(t, trail))

	_, err = trail.Record(context.Background(), entry("a"), effect("a"))
	require.NoError(t, err)
	_, err = trail.Record(context.Background(), entry("b"), effect("a"))
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, "things", conflict.Current.Table)
	assert.Equal(t, []string{"a"}, ids(t, trail), "no entry for a change that lost")
}

// Symptom: entries overwrite each other, or numbers are left out. Sequence:
// operations at several routers take the next number at once. Cause: the
// number is read, and used without a condition.
func TestRecordRace(t *testing.T) {
	const rivals = 4
	trail, _ := newTrail()
	var wg sync.WaitGroup
	for i := range rivals {
		wg.Go(func() {
			_, err := trail.Record(context.Background(), entry(fmt.Sprint(i)), effect(fmt.Sprint(i)))
			assert.NoError(t, err)
		})
	}
	wg.Wait()
	assert.ElementsMatch(t, []string{"0", "1", "2", "3"}, ids(t, trail))
}

// Symptom: a call hangs. Sequence: another operation takes each number first.
// Cause: a race without an end.
func TestRecordGivesUp(t *testing.T) {
	trail, store := newTrail()
	n := uint64(0)
	store.Before(func(_ context.Context, c platformtest.Call) {
		if c.Op != platformtest.OpCommit {
			return
		}
		n++
		rival := entry(fmt.Sprint("rival-", n))
		rival.Number = n
		_, err := store.Store().Commit([]platform.Write{
			{Table: TableHead, Key: headKey, Value: encode(headRow{n}), IfVersion: int64(n) - 1},
			{Table: Table, Key: key(n), Value: encode(rival)},
		})
		require.NoError(t, err)
	})
	_, err := trail.Record(context.Background(), entry("a"), effect("a"))
	assert.True(t, ErrContended.Has(err))
	store.Before(nil)
	assert.Len(t, ids(t, trail), maxAttempts)
	_, err = store.Store().Get("things", "a")
	assert.True(t, platform.ErrNotFound.Has(err))
}

func TestCursor(t *testing.T) {
	for _, text := range []string{"", "1", "1.", "1.2.3", "01.2", "1.2 ", "-1.2", "99999999999999999999.1"} {
		_, err := ParseCursor(text)
		assert.True(t, ErrCursor.Has(err), text)
	}
	c, err := ParseCursor("3.4")
	require.NoError(t, err)
	assert.Equal(t, Cursor{Version: 3, Operation: 4}, c)
}

func TestCorruptRow(t *testing.T) {
	trail, store := newTrail()
	_, err := store.Store().Commit([]platform.Write{{Table: TableHead, Key: headKey, Value: []byte("{")}})
	require.NoError(t, err)
	_, err = trail.Record(context.Background(), entry("a"))
	assert.True(t, ErrCorrupt.Has(err))
}
