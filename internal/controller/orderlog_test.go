package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/audit"
	"damaskrouter.example/damaskrouter/internal/config"
	"damaskrouter.example/damaskrouter/internal/orders"
	"damaskrouter.example/damaskrouter/internal/platform/platformtest"
	"damaskrouter.example/damaskrouter/internal/wire"
)

func newOrderLog() (*OrderLog, *audit.Trail, *platformtest.Fake) {
	store := platformtest.New()
	trail := audit.New(store, config.NewChain(store, store.Objects(), time.Now), time.Now)
	return NewOrderLog(trail, "r1", log.New(io.Discard)), trail, store
}

func result(engine string, err error) OrderResult {
	o := wire.Order{Kind: wire.OrderVersion, Value: "2.1", Fence: 7}
	return OrderResult{Engine: engine, Order: o, ConfigVersion: 3, Ended: time.Now(), Err: err}
}

// entries returns the whole trail, the oldest first.
func entries(t *testing.T, trail *audit.Trail) []audit.Entry {
	top, err := trail.Top(t.Context())
	require.NoError(t, err)
	page, _, err := trail.Page(t.Context(), top, audit.MaxPage)
	require.NoError(t, err)
	out := make([]audit.Entry, 0, len(page))
	for i := range page {
		out = append(out, page[len(page)-1-i])
	}
	return out
}

// Symptom: orders are missing in the audit trail, or are given late. Sequence:
// the table service goes down, the leader gives orders until its lease ends,
// the service comes back. Cause: an entry that is tried once, or waited for.
func TestOrderLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, trail, store := newOrderLog()
		ctx, cancel := context.WithCancel(t.Context())
		go o.Run(ctx)
		store.SetDown(true)
		began := time.Now()
		o.Record(result("a", nil))
		o.Record(result("b", orders.ErrRefused.New("no")))
		o.Record(result("c", errors.New("cut")))
		require.Equal(t, began, time.Now(), "an order never waits")
		time.Sleep(time.Hour)
		require.Equal(t, int64(3), o.Counts().Waiting)
		store.SetDown(false)
		time.Sleep(time.Minute)
		got := entries(t, trail)
		want := []audit.Outcome{audit.OutcomeDone, audit.OutcomeFailed, audit.OutcomeUnknown}
		require.Len(t, got, len(want))
		for i, e := range got {
			require.Equal(t, want[i], e.Outcome)
			require.Equal(t, "engine "+string(rune('a'+i)), e.Target)
			require.True(t, began.Equal(e.Time), "the time of the order, not of the entry")
		}
		require.Equal(t, "router r1, fence 7", got[0].Actor)
		require.Equal(t, "version 2.1", got[0].Detail)
		require.Equal(t, int64(3), got[0].FromVersion)
		c := o.Counts()
		require.Equal(t, []int64{3, 0, 0}, []int64{c.Written, c.Waiting, c.Dropped})
		cancel()
	})
}

// Symptom: one order stands in the trail twice. Sequence: the entry is written,
// its reply is lost, and the service is down until the attempt has ended.
// Cause: the next attempt takes the next number.
func TestOrderLogWritesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, trail, store := newOrderLog()
		store.Script(platformtest.OpCommit, platformtest.LoseReplyAfterEffect)
		store.After(func(c platformtest.Call) {
			if c.Fault == platformtest.LoseReplyAfterEffect {
				store.SetDown(true)
			}
		})
		ctx, cancel := context.WithCancel(t.Context())
		go o.Run(ctx)
		o.Record(result("a", nil))
		time.Sleep(time.Minute)
		store.SetDown(false)
		time.Sleep(time.Minute)
		require.Len(t, entries(t, trail), 1)
		require.Equal(t, int64(1), o.Counts().Written)
		cancel()
	})
}

// Symptom: a leader runs out of memory, or a stopped router's last orders are
// in no trail. Sequence: more orders than the log holds, then a stop. Cause: a
// queue without an end, or one that is thrown away.
func TestOrderLogBoundAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, trail, _ := newOrderLog()
		for i := range orderLogLength + 5 {
			o.Record(result(fmt.Sprint(i), nil))
		}
		require.Equal(t, int64(5), o.Counts().Dropped)
		require.Equal(t, int64(orderLogLength), o.Counts().Waiting)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		o.Run(ctx)
		require.Equal(t, int64(orderLogLength), o.Counts().Written)
		top, err := trail.Top(t.Context())
		require.NoError(t, err)
		require.Equal(t, uint64(orderLogLength), top.Operation)
	})
}
