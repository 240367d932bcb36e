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

// dataWrite is the change that is recorded by an entry.
func dataWrite(id string) platform.Write {
	return platform.Write{Table: "things", Key: id, Value: []byte(id)}
}

func entryIDs(t *testing.T, trail *Trail) []string {
	t.Helper()
	newest, err := trail.Newest(context.Background())
	require.NoError(t, err)
	entries, next, err := trail.Page(context.Background(), newest, MaxPage)
	require.NoError(t, err)
	assert.True(t, next.End())
	var out []string
	for _, e := range entries {
		out = append(out, e.ID)
	}
	return out
}

// An operation must have exactly one entry when the store's reply is lost or the
// transaction is delivered late or twice. This fails if a retry does not
// recognise the transaction of an earlier attempt.
func TestLostOrRepeatedCommitRecordsOneEntry(t *testing.T) {
	for _, fault := range []platformtest.Fault{
		platformtest.None, platformtest.LoseBeforeEffect, platformtest.LoseReplyAfterEffect,
		platformtest.LateEffect, platformtest.Duplicate,
	} {
		trail, store := newTrail()
		store.Script(platformtest.OpCommit, fault)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		got, err := trail.Record(ctx, entry("a"), dataWrite("a"))
		cancel()
		require.NoError(t, err, fault)
		assert.Equal(t, []any{uint64(1), testTime}, []any{got.Number, got.Time}, fault)
		_, err = trail.Record(context.Background(), entry("b"), dataWrite("b"))
		require.NoError(t, err, fault)
		store.DeliverLate()
		assert.Equal(t, []string{"b", "a"}, entryIDs(t, trail), fault)
		row, err := store.Store().Get("things", "a")
		require.NoError(t, err, fault)
		assert.Equal(t, int64(1), row.Version, fault)
	}
}

func TestFailedRecordWritesNothing(t *testing.T) {
	trail, store := newTrail()
	store.Script(platformtest.OpCommit, platformtest.Down)
	_, err := trail.Record(context.Background(), entry("a"), dataWrite("a"))
	assert.True(t, platform.ErrUnavailable.Has(err))
	assert.Empty(t, entryIDs(t, trail))

	_, err = trail.Record(context.Background(), entry("a"), dataWrite("a"))
	require.NoError(t, err)
	_, err = trail.Record(context.Background(), entry("b"), dataWrite("a"))
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	assert.Equal(t, "things", conflict.Current.Table)
	assert.Equal(t, []string{"a"}, entryIDs(t, trail), "no entry for a change that was rejected")
}

// Guards against overwritten entries and gaps in the numbers when several
// routers record at once. Both occur if the next number is read and then
// written without a condition.
func TestConcurrentRecordsKeepAllEntries(t *testing.T) {
	const writers = 4
	trail, _ := newTrail()
	var wg sync.WaitGroup
	for i := range writers {
		wg.Go(func() {
			_, err := trail.Record(context.Background(), entry(fmt.Sprint(i)), dataWrite(fmt.Sprint(i)))
			assert.NoError(t, err)
		})
	}
	wg.Wait()
	assert.ElementsMatch(t, []string{"0", "1", "2", "3"}, entryIDs(t, trail))
}

// Record must return an error instead of retrying forever when a concurrent
// operation takes the next number before each attempt.
func TestRecordStopsAfterMaxAttempts(t *testing.T) {
	trail, store := newTrail()
	n := uint64(0)
	store.Before(func(_ context.Context, c platformtest.Call) {
		if c.Op != platformtest.OpCommit {
			return
		}
		n++
		competing := entry(fmt.Sprint("rival-", n))
		competing.Number = n
		_, err := store.Store().Commit([]platform.Write{
			{Table: TableHead, Key: headKey, Value: encode(headRow{n}), IfVersion: int64(n) - 1},
			{Table: Table, Key: key(n), Value: encode(competing)},
		})
		require.NoError(t, err)
	})
	_, err := trail.Record(context.Background(), entry("a"), dataWrite("a"))
	assert.True(t, ErrContended.Has(err))
	store.Before(nil)
	assert.Len(t, entryIDs(t, trail), maxAttempts)
	_, err = store.Store().Get("things", "a")
	assert.True(t, platform.ErrNotFound.Has(err))
}

func TestParseCursorRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"", "1", "1.", "1.2.3", "01.2", "1.2 ", "-1.2", "99999999999999999999.1"} {
		_, err := ParseCursor(text)
		assert.True(t, ErrCursor.Has(err), text)
	}
	c, err := ParseCursor("3.4")
	require.NoError(t, err)
	assert.Equal(t, Cursor{Version: 3, Operation: 4}, c)
}

func TestCorruptHeadRowIsReported(t *testing.T) {
	trail, store := newTrail()
	_, err := store.Store().Commit([]platform.Write{{Table: TableHead, Key: headKey, Value: []byte("{")}})
	require.NoError(t, err)
	_, err = trail.Record(context.Background(), entry("a"))
	assert.True(t, ErrCorrupt.Has(err))
}
