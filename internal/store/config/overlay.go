package config

// Overlay changes what one site serves. Only the fields that are written
// replace the base document's.
type Overlay struct {
	// Site is the site that the overlay is for.
	Site string `yaml:"site" json:"site" validate:"required,name"`
	// Pools changes pools at the site.
	Pools []PoolOverlay `yaml:"pools,omitempty" json:"pools,omitempty" validate:"dive"`
	// Accounts changes the limits of client accounts at the site.
	Accounts []AccountOverlay `yaml:"accounts,omitempty" json:"accounts,omitempty" validate:"dive"`
}

// PoolOverlay changes one pool at a site.
type PoolOverlay struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Enabled set to false takes the pool out of service at the site.
	Enabled *bool `yaml:"enabled,omitempty" json:"enabled,omitempty"`
	// Retire takes the pool out of service at the site, and confirms that the
	// site may stop serving what only this pool served there.
	Retire     bool      `yaml:"retire,omitempty" json:"retire,omitempty"`
	Version    *string   `yaml:"version,omitempty" json:"version,omitempty"`
	Adapters   *[]string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"omitempty,unique"`
	LoadBound  *float64  `yaml:"load_bound,omitempty" json:"load_bound,omitempty" validate:"omitempty,gte=1.05,lte=100"`
	MaxBatch   *int      `yaml:"max_batch,omitempty" json:"max_batch,omitempty" validate:"omitempty,gte=1,lte=100000"`
	QueueLimit *int      `yaml:"queue_limit,omitempty" json:"queue_limit,omitempty" validate:"omitempty,gte=1,lte=10000000"`
	Priority   *int      `yaml:"priority,omitempty" json:"priority,omitempty" validate:"omitempty,gte=-1000,lte=1000"`
}

// AccountOverlay changes the limits of one client account at a site.
type AccountOverlay struct {
	Name              string   `yaml:"name" json:"name" validate:"required,name"`
	Weight            *float64 `yaml:"weight,omitempty" json:"weight,omitempty" validate:"omitempty,gt=0,lte=1000000"`
	RequestsPerSecond *float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty" validate:"omitempty,gte=0,lte=1000000000"`
	Burst             *int     `yaml:"burst,omitempty" json:"burst,omitempty" validate:"omitempty,gte=0,lte=1000000000"`
	Concurrency       *int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty" validate:"omitempty,gte=0,lte=1000000000"`
	MaxPriority       *string  `yaml:"max_priority,omitempty" json:"max_priority,omitempty" validate:"omitempty,oneof=urgent high normal batch"`
}

// serves reports whether the pool stays in service at the site.
func (o *PoolOverlay) serves() bool {
	if o.Retire {
		return false
	}
	return o.Enabled == nil || *o.Enabled
}

func (o *PoolOverlay) applyTo(p *Pool) {
	set(&p.Version, o.Version)
	set(&p.Adapters, o.Adapters)
	set(&p.LoadBound, o.LoadBound)
	set(&p.MaxBatch, o.MaxBatch)
	set(&p.QueueLimit, o.QueueLimit)
	set(&p.Priority, o.Priority)
}

// applyTo replaces the limits. A new rate without a new burst drops the base
// document's burst, which was chosen for another rate.
func (o *AccountOverlay) applyTo(a *Account) {
	if o.RequestsPerSecond != nil && o.Burst == nil {
		a.Burst = 0
	}
	set(&a.Weight, o.Weight)
	set(&a.RequestsPerSecond, o.RequestsPerSecond)
	set(&a.Burst, o.Burst)
	set(&a.Concurrency, o.Concurrency)
	set(&a.MaxPriority, o.MaxPriority)
}

func set[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// pool returns the change of the named pool, or nil.
func (o *Overlay) pool(name string) *PoolOverlay {
	if o == nil {
		return nil
	}
	for i := range o.Pools {
		if o.Pools[i].Name == name {
			return &o.Pools[i]
		}
	}
	return nil
}

// account returns the change of the named client account, or nil.
func (o *Overlay) account(name string) *AccountOverlay {
	if o == nil {
		return nil
	}
	for i := range o.Accounts {
		if o.Accounts[i].Name == name {
			return &o.Accounts[i]
		}
	}
	return nil
}
