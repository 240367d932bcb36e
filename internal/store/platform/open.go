package platform

import "context"

// OpenOptions configures Open. Zero fields take the defaults of their types.
type OpenOptions struct {
	// Table and Objects are the store's clients. They try each call once.
	Table   Table
	Objects Objects
	// Budget bounds the calls to both together; nil means no bound.
	Budget  *Budget
	Breaker BreakerOptions
	Retry   RetryOptions
}

// Open returns what the whole process shares: the clients of the store behind
// bounds and counts, and the list of VMs.
//
// The table's decorators, from the outside: retries of reads, so that each try
// is counted and pays for itself; the counts; the breaker, so that calls it
// keeps back cost no budget; the budget; the client. The breaker's own probes are
// not counted. The list of VMs has the counts only.
func Open(opts OpenOptions) (Table, Objects, VMList, *Stats) {
	stats := &Stats{}
	table := opts.Table
	if opts.Budget != nil {
		table = Budgeted(table, opts.Budget)
	}
	table = NewBreaker(table, opts.Breaker)
	table = Counted(table, stats)
	table = WithRetry(table, opts.Retry)
	objs := &guardedObjects{next: opts.Objects, budget: opts.Budget, stats: stats}
	return table, objs, NewVMList(Counted(opts.Table, stats)), stats
}

// guardedObjects counts the calls of an object store and pays for them from
// the budget as use config: they share the store's rates with the tables.
type guardedObjects struct {
	next   Objects
	budget *Budget
	stats  *Stats
}

// Put implements Objects.
func (o *guardedObjects) Put(ctx context.Context, name string, data []byte) error {
	err := o.put(ctx, name, data)
	o.stats.wrote(useObjects, err)
	return err
}

func (o *guardedObjects) put(ctx context.Context, name string, data []byte) error {
	if o.budget != nil {
		if err := o.budget.takeWrite(UseConfig); err != nil {
			return err
		}
	}
	return o.next.Put(ctx, name, data)
}

// Get implements Objects.
func (o *guardedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := o.get(ctx, name)
	o.stats.read(useObjects, err)
	return data, err
}

func (o *guardedObjects) get(ctx context.Context, name string) ([]byte, error) {
	if o.budget != nil {
		if err := o.budget.takeRead(UseConfig); err != nil {
			return nil, err
		}
	}
	return o.next.Get(ctx, name)
}
