package feed

import (
	"bytes"
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

const (
	// rowCheckInterval is how often the router that reads the store compares what the routers share with
	// the stored row.
	rowCheckInterval = 500 * time.Millisecond
	// rowUrgentInterval applies instead while the routers need the row.
	rowUrgentInterval = 50 * time.Millisecond
	// rowCheckDelay is how long a router must have been the reader before it reads the row. A starting
	// fleet briefly has several readers.
	rowCheckDelay = time.Second
	// rowRetryPause is the pause after a failed call to the store.
	rowRetryPause = 2 * time.Second
	// rowTimeout bounds a read or write.
	rowTimeout = time.Second
)

// rowKeeper keeps a row of contactsTable equal to what the routers share, while this router reads the
// store. The row outlives a loss of all routers.
type rowKeeper struct {
	key   string
	table platform.Table
	reads func() bool
	// storeEra returns the era of the store, and whether this router has followed a return of the store
	// from an older copy.
	storeEra func() (era catalog.Era, returned bool)
	// missing is the value for which no row is needed.
	missing []byte
	// urgent reports whether the routers need the row at once: it is read without rowCheckDelay. Nil for
	// never.
	urgent func() bool
	// prompt makes a changed value be written within rowUrgentInterval.
	prompt bool
	// holds is called with the value that the row has, after each read and write of it. Nil for nothing.
	holds func(value []byte)
	// load takes over the value of the row; nil if there is none.
	load func(value []byte, now time.Duration)
	// value returns the value that the row should have, or false if that is not known yet.
	value func() ([]byte, bool)

	// era is the era in which stored was read or written.
	era catalog.Era
	// readerSince is when this router became the reader, on the boot clock, or zero if it is not
	// the reader.
	readerSince time.Duration
	// stored is the value of the row; nil if it has not been read.
	stored []byte
}

// run updates the row when needed until the context is canceled.
func (k *rowKeeper) run(ctx context.Context, clock Clock, failed func(error)) {
	for pause.For(ctx, k.interval()) {
		if err := k.update(ctx, clock()); err != nil {
			failed(err)
			k.stored = nil
			pause.For(ctx, rowRetryPause)
		}
	}
}

func (k *rowKeeper) update(ctx context.Context, now time.Duration) error {
	if !k.reads() {
		k.readerSince, k.stored = 0, nil
		return nil
	}
	if k.readerSince == 0 {
		k.readerSince = now
	}
	if now-k.readerSince < rowCheckDelay && !k.isUrgent() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, rowTimeout)
	defer cancel()
	era, returned := k.storeEra()
	if k.stored != nil && era != k.era || k.stored == nil && returned {
		// The routers have shared the value since before the return. The row is of the copy.
		k.stored = []byte{}
	}
	k.era = era
	if k.stored == nil {
		if err := k.read(ctx, now); err != nil {
			return err
		}
	}
	return k.save(ctx)
}

func (k *rowKeeper) isUrgent() bool { return k.urgent != nil && k.urgent() }

func (k *rowKeeper) interval() time.Duration {
	if k.isUrgent() || k.prompt && k.reads() {
		return rowUrgentInterval
	}
	return rowCheckInterval
}

func (k *rowKeeper) read(ctx context.Context, now time.Duration) error {
	row, err := k.table.Get(ctx, platform.UseFleet, contactsTable, k.key)
	if platform.ErrNotFound.Has(err) {
		k.load(nil, now)
		k.setStored(append([]byte{}, k.missing...))
		return nil
	}
	if err != nil {
		return err
	}
	k.load(row.Value, now)
	k.setStored(row.Value)
	return nil
}

func (k *rowKeeper) setStored(value []byte) {
	k.stored = value
	if k.holds != nil {
		k.holds(value)
	}
}

// save replaces the row if it differs.
func (k *rowKeeper) save(ctx context.Context) error {
	value, ok := k.value()
	if !ok || bytes.Equal(value, k.stored) {
		return nil
	}
	_, err := k.table.Commit(ctx, platform.UseFleet, platform.Write{
		Table: contactsTable, Key: k.key, Value: value, IfVersion: platform.AnyVersion,
	})
	if err != nil {
		return err
	}
	k.setStored(value)
	return nil
}
