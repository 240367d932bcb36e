package config

// Overlay overrides the base document at one site. Only fields that are present
// replace those of the base document.
type Overlay struct {
	// Site is the name of the site that the overlay applies to.
	Site string `yaml:"site" json:"site" validate:"required,name"`
	// Pools overrides settings of pools at the site.
	Pools []PoolOverlay `yaml:"pools,omitempty" json:"pools,omitempty" validate:"dive"`
	// Accounts overrides the limits of client accounts at the site.
	Accounts []AccountOverlay `yaml:"accounts,omitempty" json:"accounts,omitempty" validate:"dive"`
}

// PoolOverlay overrides the settings of one pool at a site.
type PoolOverlay struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Enabled takes the pool out of service at the site if it is false.
	Enabled *bool `yaml:"enabled,omitempty" json:"enabled,omitempty"`
	// Retire takes the pool out of service at the site and confirms that the
	// site may stop serving models and services that only this pool serves
	// there.
	Retire     bool      `yaml:"retire,omitempty" json:"retire,omitempty"`
	Version    *string   `yaml:"version,omitempty" json:"version,omitempty"`
	Adapters   *[]string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"omitempty,unique"`
	LoadBound  *float64  `yaml:"load_bound,omitempty" json:"load_bound,omitempty" validate:"omitempty,gte=1.05,lte=100"`
	MaxBatch   *int      `yaml:"max_batch,omitempty" json:"max_batch,omitempty" validate:"omitempty,gte=1,lte=100000"`
	QueueLimit *int      `yaml:"queue_limit,omitempty" json:"queue_limit,omitempty" validate:"omitempty,gte=1,lte=10000000"`
	Priority   *int      `yaml:"priority,omitempty" json:"priority,omitempty" validate:"omitempty,gte=-1000,lte=1000"`
}

// AccountOverlay overrides the limits of one client account at a site.
type AccountOverlay struct {
	Name              string   `yaml:"name" json:"name" validate:"required,name"`
	Weight            *float64 `yaml:"weight,omitempty" json:"weight,omitempty" validate:"omitempty,gt=0,lte=1000000"`
	RequestsPerSecond *float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty" validate:"omitempty,gte=0,lte=1000000000"`
	Burst             *int     `yaml:"burst,omitempty" json:"burst,omitempty" validate:"omitempty,gte=0,lte=1000000000"`
	Concurrency       *int     `yaml:"concurrency,omitempty" json:"concurrency,omitempty" validate:"omitempty,gte=0,lte=1000000000"`
	MaxPriority       *string  `yaml:"max_priority,omitempty" json:"max_priority,omitempty" validate:"omitempty,oneof=urgent high normal batch"`
}

// inService reports whether the pool is in service at the site.
func (o *PoolOverlay) inService() bool {
	if o.Retire {
		return false
	}
	return o.Enabled == nil || *o.Enabled
}

func (o *PoolOverlay) applyTo(p *Pool) {
	setIfPresent(&p.Version, o.Version)
	setIfPresent(&p.Adapters, o.Adapters)
	setIfPresent(&p.LoadBound, o.LoadBound)
	setIfPresent(&p.MaxBatch, o.MaxBatch)
	setIfPresent(&p.QueueLimit, o.QueueLimit)
	setIfPresent(&p.Priority, o.Priority)
}

// applyTo replaces the account's limits that the overlay sets. If it sets the
// rate but not the burst, the burst of the base document, which was set for
// another rate, is reset to the default.
func (o *AccountOverlay) applyTo(a *Account) {
	if o.RequestsPerSecond != nil && o.Burst == nil {
		a.Burst = 0
	}
	setIfPresent(&a.Weight, o.Weight)
	setIfPresent(&a.RequestsPerSecond, o.RequestsPerSecond)
	setIfPresent(&a.Burst, o.Burst)
	setIfPresent(&a.Concurrency, o.Concurrency)
	setIfPresent(&a.MaxPriority, o.MaxPriority)
}

func setIfPresent[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

// pool returns the overlay of the named pool, or nil. The receiver may be nil.
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

// account returns the overlay of the named client account, or nil. The receiver
// may be nil.
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
