package platform

import "context"

// OpenOptions configures Open. Zero fields take the defaults of their types.
type OpenOptions struct {
	// TableURL, ObjectsURL and VMsURL are the base URLs of the services.
	TableURL, ObjectsURL, VMsURL string
	HTTP                         HTTPOptions
	// Budget bounds the calls to the table service and the object store
	// together; nil means no bound.
	Budget  *Budget
	Breaker BreakerOptions
	Retry   RetryOptions
}

// Open returns clients of the platform's services that the whole process
// shares, and the counts of their calls.
//
// The table's decorators, from the outside: retries of reads, so that each try
// is counted and pays for itself; the counts; the breaker, so that calls it
// keeps back cost no budget; the budget; the HTTP client. The breaker's own
// probes are not counted.
func Open(opts OpenOptions) (Table, Objects, VMList, *Stats) {
	stats := &Stats{}
	var table Table = NewHTTPTable(opts.TableURL, opts.HTTP)
	if opts.Budget != nil {
		table = Budgeted(table, opts.Budget)
	}
	table = NewBreaker(table, opts.Breaker)
	table = Counted(table, stats)
	table = WithRetry(table, opts.Retry)
	objs := &guardedObjects{
		next:   NewHTTPObjects(opts.ObjectsURL, opts.HTTP),
		budget: opts.Budget,
		stats:  stats,
	}
	vms := &countedVMs{next: NewHTTPVMList(opts.VMsURL, opts.HTTP), stats: stats}
	return table, objs, vms, stats
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

// countedVMs counts the calls of a VM list.
type countedVMs struct {
	next  VMList
	stats *Stats
}

// List implements VMList.
func (l *countedVMs) List(ctx context.Context) ([]VM, error) {
	vms, err := l.next.List(ctx)
	l.stats.read(useVMs, err)
	return vms, err
}
