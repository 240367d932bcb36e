// Package config holds the fleet's dynamic configuration: one base document and
// one overlay per site. They are validated together and accepted as one version
// of an append-only chain. The settings of a single process are in package
// settings.
package config

import "time"

// Document is the base configuration that operators write.
type Document struct {
	// Teams own accounts and services; an operator's token may be restricted to
	// some teams.
	Teams []Team `yaml:"teams" json:"teams" validate:"dive"`
	// Sites are the data centres.
	Sites []Site `yaml:"sites" json:"sites" validate:"min=1,dive"`
	// Models are the language models that pools may serve.
	Models []Model `yaml:"models" json:"models" validate:"dive"`
	// Pools are groups of interchangeable engines or plain services at a site.
	Pools []Pool `yaml:"pools" json:"pools" validate:"dive"`
	// Services are the plain services that callers reach through a router.
	Services []Service `yaml:"services" json:"services" validate:"dive"`
	// Accounts are the client accounts.
	Accounts []Account `yaml:"accounts" json:"accounts" validate:"dive"`
}

// Team is a group of operators that owns accounts and services.
type Team struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
}

// Site is a data centre.
type Site struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Region groups sites. Regions can be partitioned from each other.
	Region string `yaml:"region" json:"region" validate:"required,name"`
}

// Model is a language model with its versions and adapters.
type Model struct {
	Name     string   `yaml:"name" json:"name" validate:"required,label"`
	Versions []string `yaml:"versions" json:"versions" validate:"min=1,unique,dive,label"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique,dive,label"`
	// Retire allows sites that serve the model to stop serving it, before it is
	// removed from the document.
	Retire bool `yaml:"retire,omitempty" json:"retire,omitempty"`
}

// Pool is a group of interchangeable engines, or of VMs that run plain
// services.
type Pool struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Sites are the sites where the pool has members. The load bound applies to
	// the members of each site separately.
	Sites []string `yaml:"sites" json:"sites" validate:"min=1,unique"`
	// Model, Version and Adapters are those that the engines serve. All are empty for a pool of
	// plain services.
	Model    string   `yaml:"model,omitempty" json:"model,omitempty"`
	Version  string   `yaml:"version,omitempty" json:"version,omitempty"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique"`
	// LoadBound is the factor c of the load balancing: an engine gets no new request that would
	// raise its load above c times the mean of its pool. Default 1.5, minimum 1.05.
	LoadBound float64 `yaml:"load_bound,omitempty" json:"load_bound,omitempty" validate:"gte=1.05,lte=100"`
	// MaxBatch is the maximum number of requests that an engine holds at once.
	// Default 50.
	MaxBatch int `yaml:"max_batch,omitempty" json:"max_batch,omitempty" validate:"gte=1,lte=100000"`
	// QueueLimit is the maximum number of requests that a router queues for the
	// pool. Default 1000.
	QueueLimit int `yaml:"queue_limit,omitempty" json:"queue_limit,omitempty" validate:"gte=1,lte=10000000"`
	// CapacityFloor is the fraction of engines, 0 to 1, that must stay in service when operators
	// take engines out of service. Default 0.7.
	CapacityFloor float64 `yaml:"capacity_floor,omitempty" json:"capacity_floor,omitempty" validate:"gte=0,lte=1"`
	// Priority orders pools that serve the same model; the highest is first.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty" validate:"gte=-1000,lte=1000"`
}

// Service is a plain service that the routers forward requests to.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	Team string `yaml:"team" json:"team" validate:"required"`
	// Pool is the name of the pool whose VMs run the service.
	Pool string `yaml:"pool" json:"pool" validate:"required"`
	// Routes is the allow-list of requests; others are not forwarded.
	Routes []Route `yaml:"routes" json:"routes" validate:"min=1,dive"`
	// Deduplicates reports whether the service detects a repeated idempotency
	// key, so that a request may be sent again.
	Deduplicates bool `yaml:"deduplicates,omitempty" json:"deduplicates,omitempty"`
}

// Route is one method and path of a plain service.
type Route struct {
	Method string `yaml:"method" json:"method" validate:"oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is matched segment by segment; "*" matches any one segment.
	Path string `yaml:"path" json:"path" validate:"required"`
	// Idempotent reports whether a request may be repeated. The default is true
	// for GET and HEAD and false for all other methods.
	Idempotent *bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Priority is the class of requests that don't specify one. Default normal.
	Priority string `yaml:"priority,omitempty" json:"priority,omitempty" validate:"omitempty,oneof=urgent high normal batch"`
}

// Account is a client account.
type Account struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	Team string `yaml:"team" json:"team" validate:"required"`
	// KeyHashes are the SHA-256 sums, in hexadecimal, of the account's API keys.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" validate:"unique,dive,len=64,hexadecimal,lowercase"`
	// Weight is the account's relative share when the fleet is short of
	// capacity. Default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty" validate:"gt=0,lte=1000000"`
	// RequestsPerSecond limits the account's rate of requests across the fleet; 0
	// means no limit.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty" validate:"gte=0,lte=1000000000"`
	// Burst is the number of requests that may arrive at once. The default is
	// RequestsPerSecond, rounded up.
	Burst int `yaml:"burst,omitempty" json:"burst,omitempty" validate:"gte=0,lte=1000000000"`
	// Concurrency limits the unfinished requests across the fleet; 0 means no
	// limit.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty" validate:"gte=0,lte=1000000000"`
	// MaxPriority is the highest class that the account may request. Default
	// urgent.
	MaxPriority string `yaml:"max_priority,omitempty" json:"max_priority,omitempty" validate:"omitempty,oneof=urgent high normal batch"`
	// Services lists the plain services that the account may call.
	Services []string `yaml:"services,omitempty" json:"services,omitempty" validate:"unique"`
	// Models lists the models that the account may use; empty means all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty" validate:"unique"`
}

// MaxActivationDelay is the maximum time from the acceptance of a version until it is
// active at all routers.
const MaxActivationDelay = 5 * time.Second
