package platform

import "context"

// OpenOptions configures Open. Zero fields take the defaults of their types.
type OpenOptions struct {
	// Table and Objects are the store's clients. They make each call once,
	// without retries.
	Table   Table
	Objects Objects
	// Budget limits the calls to both together. Nil means no limit.
	Budget  *Budget
	Breaker BreakerOptions
	Retry   RetryOptions
}

// Open returns the clients of the store that the whole process shares, wrapped
// by limits and statistics, the list of VMs, and the statistics.
//
// The table's decorators, from the outermost: retries of reads, so that each
// attempt is counted and charged to the budget; the statistics; the circuit
// breaker, so that calls that it rejects are not charged; the budget; the
// client. The breaker's own probes are not counted. The list of VMs has only
// the statistics.
func Open(opts OpenOptions) (Table, Objects, VMList, *Stats) {
	stats := &Stats{}
	table := opts.Table
	if opts.Budget != nil {
		table = WithBudget(table, opts.Budget)
	}
	table = NewBreaker(table, opts.Breaker)
	table = WithStats(table, stats)
	table = WithRetry(table, opts.Retry)
	objects := &limitedObjects{next: opts.Objects, budget: opts.Budget, stats: stats}
	return table, objects, NewVMList(WithStats(opts.Table, stats)), stats
}

// limitedObjects counts the calls of an object store and charges them to the
// budget of UseConfig, because objects share the store's rates with the tables.
type limitedObjects struct {
	next   Objects
	budget *Budget
	stats  *Stats
}

// Put implements Objects.
func (o *limitedObjects) Put(ctx context.Context, name string, data []byte) error {
	err := o.put(ctx, name, data)
	o.stats.countWrite(useObjects, err)
	return err
}

func (o *limitedObjects) put(ctx context.Context, name string, data []byte) error {
	if o.budget != nil {
		if err := o.budget.takeWrite(UseConfig); err != nil {
			return err
		}
	}
	return o.next.Put(ctx, name, data)
}

// Get implements Objects.
func (o *limitedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := o.get(ctx, name)
	o.stats.countRead(useObjects, err)
	return data, err
}

func (o *limitedObjects) get(ctx context.Context, name string) ([]byte, error) {
	if o.budget != nil {
		if err := o.budget.takeRead(UseConfig); err != nil {
			return nil, err
		}
	}
	return o.next.Get(ctx, name)
}
