package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// groupTimeout bounds one transaction of grouped writes. It is apart from the
// callers' own deadlines, as one caller that leaves must not fail the others.
const groupTimeout = 2 * time.Second

// Batcher is a platform.Table that puts single claim writes which wait at the
// same time into one transaction. It adds no delay: a write goes out at once
// unless another transaction is under way.
type Batcher struct {
	platform.Table
	limit int

	mu      sync.Mutex
	waiting []*pending
	running bool
}

// pending is one write that waits for its transaction.
type pending struct {
	write platform.Write
	sent  bool
	reply chan reply
}

type reply struct {
	rows []platform.Row
	err  error
}

// NewBatcher returns a Batcher over table that puts at most limit writes into
// a transaction.
func NewBatcher(table platform.Table, limit int) *Batcher {
	return &Batcher{Table: table, limit: max(limit, 1)}
}

// Commit implements platform.Table. A single write for claims may be grouped;
// everything else is passed on.
func (b *Batcher) Commit(ctx context.Context, use platform.Use, writes ...platform.Write) ([]platform.Row, error) {
	if use != platform.UseClaim || len(writes) != 1 {
		return b.Table.Commit(ctx, use, writes...)
	}
	p := &pending{write: writes[0], reply: make(chan reply, 1)}
	b.enqueue(p)
	select {
	case r := <-p.reply:
		return r.rows, r.err
	case <-ctx.Done():
		return nil, b.leave(p, ctx.Err())
	}
}

func (b *Batcher) enqueue(p *pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, p)
	if b.running {
		return
	}
	b.running = true
	go b.drain()
}

// leave takes back a write whose caller has gone. Once it has been sent its
// effect is uncertain, and must be reported so.
func (b *Batcher) leave(p *pending, cause error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.sent {
		return platform.ErrOutcomeUnknown.Wrap(cause)
	}
	for i, q := range b.waiting {
		if q == p {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			break
		}
	}
	return platform.ErrUnavailable.Wrap(cause)
}

// drain sends groups until nothing waits.
func (b *Batcher) drain() {
	for {
		group := b.take()
		if len(group) == 0 {
			return
		}
		b.send(group)
	}
}

// take removes the next group, with no row twice in it.
func (b *Batcher) take() []*pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	var group, rest []*pending
	rows := make(map[string]bool)
	for _, p := range b.waiting {
		row := p.write.Table + "/" + p.write.Key
		if len(group) == b.limit || rows[row] {
			rest = append(rest, p)
			continue
		}
		rows[row] = true
		p.sent = true
		group = append(group, p)
	}
	b.waiting = rest
	b.running = len(group) > 0
	return group
}

// send commits a group. A transaction is all or nothing, so one duplicate
// request would fail all the others with its conflict. On a conflict nothing
// was written; the group is halved until the conflict stands alone.
func (b *Batcher) send(group []*pending) {
	rows, err := b.commit(group)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && len(group) > 1 {
		half := len(group) / 2
		b.send(group[:half])
		b.send(group[half:])
		return
	}
	if err == nil && len(rows) != len(group) {
		err = platform.ErrOutcomeUnknown.New("%d rows for %d writes", len(rows), len(group))
	}
	for i, p := range group {
		if err != nil {
			p.reply <- reply{err: err}
			continue
		}
		p.reply <- reply{rows: rows[i : i+1]}
	}
}

func (b *Batcher) commit(group []*pending) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(context.Background(), groupTimeout)
	defer cancel()
	writes := make([]platform.Write, len(group))
	for i, p := range group {
		writes[i] = p.write
	}
	return b.Table.Commit(ctx, platform.UseClaim, writes...)
}
