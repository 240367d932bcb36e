package config

import (
	"math"
	"net/http"

	"go.yaml.in/yaml/v3"
)

// Defaults of the pool settings.
const (
	DefaultLoadBound     = 1.5
	MinLoadBound         = 1.05
	DefaultMaxBatch      = 50
	DefaultQueueLimit    = 1000
	DefaultCapacityFloor = 0.7
)

// The priority classes, most urgent first.
const (
	PriorityUrgent = "urgent"
	PriorityHigh   = "high"
	PriorityNormal = "normal"
	PriorityBatch  = "batch"
)

// Defaults of the account and route settings.
const (
	DefaultWeight        = 1.0
	DefaultMaxPriority   = PriorityUrgent
	DefaultRoutePriority = PriorityNormal
)

// UnmarshalYAML starts from the defaults, so that a value which is written
// out stays as written: a capacity floor of 0 must not turn into the default
// of 0.7, and a load bound of 0 must be refused and not replaced.
func (p *Pool) UnmarshalYAML(n *yaml.Node) error {
	type plain Pool
	filled := plain{
		LoadBound:     DefaultLoadBound,
		MaxBatch:      DefaultMaxBatch,
		QueueLimit:    DefaultQueueLimit,
		CapacityFloor: DefaultCapacityFloor,
	}
	if err := n.Decode(&filled); err != nil {
		return err
	}
	*p = Pool(filled)
	return nil
}

// UnmarshalYAML starts from the defaults, as for Pool.
func (a *Account) UnmarshalYAML(n *yaml.Node) error {
	type plain Account
	filled := plain{Weight: DefaultWeight, MaxPriority: DefaultMaxPriority}
	if err := n.Decode(&filled); err != nil {
		return err
	}
	*a = Account(filled)
	return nil
}

// fillDefaults completes a pool that was built in Go. A capacity floor of 0
// is a valid choice and stays.
func (p *Pool) fillDefaults() {
	if p.LoadBound == 0 {
		p.LoadBound = DefaultLoadBound
	}
	if p.MaxBatch == 0 {
		p.MaxBatch = DefaultMaxBatch
	}
	if p.QueueLimit == 0 {
		p.QueueLimit = DefaultQueueLimit
	}
}

// fillDefaults completes an account. The default burst depends on the rate,
// so it can only be set once the overlay has been applied.
func (a *Account) fillDefaults() {
	if a.Weight == 0 {
		a.Weight = DefaultWeight
	}
	if a.MaxPriority == "" {
		a.MaxPriority = DefaultMaxPriority
	}
	if a.Burst == 0 && a.RequestsPerSecond > 0 {
		a.Burst = int(math.Ceil(a.RequestsPerSecond))
	}
}

func (r *Route) fillDefaults() {
	if r.Priority == "" {
		r.Priority = DefaultRoutePriority
	}
	if r.Idempotent == nil {
		idempotent := idempotentMethod(r.Method)
		r.Idempotent = &idempotent
	}
}

// idempotentMethod is the default for a route that does not declare itself.
// PUT and DELETE are idempotent by the HTTP standard, but services do not
// always keep to it; a wrong "yes" here runs a receipt twice.
func idempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}
