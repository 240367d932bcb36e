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

// UnmarshalYAML decodes over the defaults, so that an explicit zero is kept: a
// capacity floor of 0 must not become the default of 0.7, and a load bound of 0
// must be rejected and not replaced.
func (p *Pool) UnmarshalYAML(n *yaml.Node) error {
	type plain Pool
	decoded := plain{
		LoadBound:     DefaultLoadBound,
		MaxBatch:      DefaultMaxBatch,
		QueueLimit:    DefaultQueueLimit,
		CapacityFloor: DefaultCapacityFloor,
	}
	if err := n.Decode(&decoded); err != nil {
		return err
	}
	*p = Pool(decoded)
	return nil
}

// UnmarshalYAML decodes over the defaults, so that an explicit zero is kept.
func (a *Account) UnmarshalYAML(n *yaml.Node) error {
	type plain Account
	decoded := plain{Weight: DefaultWeight, MaxPriority: DefaultMaxPriority}
	if err := n.Decode(&decoded); err != nil {
		return err
	}
	*a = Account(decoded)
	return nil
}

// applyDefaults sets the defaults of a pool that was not decoded from YAML. It
// leaves a capacity floor of 0, which is a valid value.
func (p *Pool) applyDefaults() {
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

// applyDefaults sets the defaults of an account. The default burst depends on
// the rate, so it can be set only after the overlay has been applied.
func (a *Account) applyDefaults() {
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

func (r *Route) applyDefaults() {
	if r.Priority == "" {
		r.Priority = DefaultRoutePriority
	}
	if r.Idempotent == nil {
		idempotent := idempotentMethod(r.Method)
		r.Idempotent = &idempotent
	}
}

// idempotentMethod returns the default of Route.Idempotent for a method. PUT
// and DELETE are idempotent by the HTTP standard, but not every service
// complies, and a wrong true could execute a request twice, such as one that
// issues a receipt.
func idempotentMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}
