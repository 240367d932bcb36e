package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// batchTimeout is the timeout of one transaction. It is independent of the
// callers' deadlines, because one caller that cancels must not fail the others.
const batchTimeout = 2 * time.Second

// Batcher is a platform.Table that combines claim writes which are queued at the
// same time into one transaction. It adds no delay: a write is sent immediately
// unless another transaction is in progress. It is safe for concurrent use.
type Batcher struct {
	platform.Table
	limit int

	mu      sync.Mutex
	queue   []*pendingWrite
	sending bool
}

// pendingWrite is a write that is queued or in a transaction.
type pendingWrite struct {
	write platform.Write
	sent  bool
	reply chan reply
}

type reply struct {
	rows []platform.Row
	err  error
}

// NewBatcher returns a Batcher that sends at most limit writes per transaction to
// table.
func NewBatcher(table platform.Table, limit int) *Batcher {
	return &Batcher{Table: table, limit: max(limit, 1)}
}

// Commit implements platform.Table. It batches transactions of UseClaim with a
// single write and passes all others on to the table unchanged.
func (b *Batcher) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	if use != platform.UseClaim || len(writes) != 1 {
		return b.Table.Commit(ctx, use, writes...)
	}
	p := &pendingWrite{write: writes[0], reply: make(chan reply, 1)}
	b.enqueue(p)
	select {
	case r := <-p.reply:
		return r.rows, r.err
	case <-ctx.Done():
		return nil, b.withdraw(p, ctx.Err())
	}
}

func (b *Batcher) enqueue(p *pendingWrite) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, p)
	if b.sending {
		return
	}
	b.sending = true
	go b.sendAll()
}

// withdraw removes a write from the queue after its caller's context ended, and
// returns ErrUnavailable. If the write has already been sent, it may take effect,
// and withdraw returns ErrOutcomeUnknown.
func (b *Batcher) withdraw(p *pendingWrite, cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.sent {
		return platform.ErrOutcomeUnknown.Wrap(cause)
	}
	for i, q := range b.queue {
		if q == p {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			break
		}
	}
	return platform.ErrUnavailable.Wrap(cause)
}

// sendAll sends batches until the queue is empty.
func (b *Batcher) sendAll() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		b.send(batch)
	}
}

// nextBatch removes the next batch from the queue. A batch contains each row at
// most once.
func (b *Batcher) nextBatch() []*pendingWrite {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*pendingWrite
	rows := make(map[string]bool)
	for _, p := range b.queue {
		row := p.write.Table + "/" + p.write.Key
		if len(batch) == b.limit || rows[row] {
			rest = append(rest, p)
			continue
		}
		rows[row] = true
		p.sent = true
		batch = append(batch, p)
	}
	b.queue = rest
	b.sending = len(batch) > 0
	return batch
}

// send commits a batch. A transaction applies all writes or none, so the conflict
// of one duplicate request would fail all other claims of the batch. After a
// conflict, which means that nothing was written, send splits the batch in half
// until the conflicting write is alone.
func (b *Batcher) send(batch []*pendingWrite) {
	rows, err := b.commit(batch)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && len(batch) > 1 {
		half := len(batch) / 2
		b.send(batch[:half])
		b.send(batch[half:])
		return
	}
	if err == nil && len(rows) != len(batch) {
		err = platform.ErrOutcomeUnknown.New("%d rows for %d writes", len(rows), len(batch))
	}
	for i, p := range batch {
		if err != nil {
			p.reply <- reply{err: err}
			continue
		}
		p.reply <- reply{rows: rows[i : i+1]}
	}
}

func (b *Batcher) commit(batch []*pendingWrite) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	writes := make([]platform.Write, len(batch))
	for i, p := range batch {
		writes[i] = p.write
	}
	return b.Table.Commit(ctx, platform.UseClaim, writes...)
}
