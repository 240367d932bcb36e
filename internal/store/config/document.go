// Package config is the fleet's dynamic configuration: one base document and
// an overlay for each site, checked as a whole, accepted as one version of a
// chain that only grows. The settings of a single process are elsewhere, in
// package settings.
package config

import "time"

// Document is the base configuration that operators write.
type Document struct {
	// Teams own accounts and services; an operator's token may be limited to some.
	Teams []Team `yaml:"teams" json:"teams" validate:"dive"`
	// Sites are the data centres.
	Sites []Site `yaml:"sites" json:"sites" validate:"min=1,dive"`
	// Models are the language models that pools may serve.
	Models []Model `yaml:"models" json:"models" validate:"dive"`
	// Pools are groups of interchangeable engines or plain services at a site.
	Pools []Pool `yaml:"pools" json:"pools" validate:"dive"`
	// Services are the plain services that callers reach through the router.
	Services []Service `yaml:"services" json:"services" validate:"dive"`
	// Accounts are the client accounts.
	Accounts []Account `yaml:"accounts" json:"accounts" validate:"dive"`
}

// Team is a group of operators and what they own.
type Team struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
}

// Site is a data centre.
type Site struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Region groups sites; regions may lose each other.
	Region string `yaml:"region" json:"region" validate:"required,name"`
}

// Model is a language model with its versions and adapters.
type Model struct {
	Name     string   `yaml:"name" json:"name" validate:"required,label"`
	Versions []string `yaml:"versions" json:"versions" validate:"min=1,unique,dive,label"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique,dive,label"`
	// Retire lets the model disappear from sites that serve it, before it is
	// removed from the document altogether.
	Retire bool `yaml:"retire,omitempty" json:"retire,omitempty"`
}

// Pool is a group of interchangeable engines or service VMs.
type Pool struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	// Sites are where the pool has members; each site's members form a pool
	// of their own for the load bound.
	Sites []string `yaml:"sites" json:"sites" validate:"min=1,unique"`
	// Model, Version and Adapters say what the engines serve; all are empty
	// for a pool of plain services.
	Model    string   `yaml:"model,omitempty" json:"model,omitempty"`
	Version  string   `yaml:"version,omitempty" json:"version,omitempty"`
	Adapters []string `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique"`
	// LoadBound is c: no engine is admitted work beyond c times the mean
	// load of its pool. Default 1.5; at least 1.05.
	LoadBound float64 `yaml:"load_bound,omitempty" json:"load_bound,omitempty" validate:"gte=1.05,lte=100"`
	// MaxBatch is the number of requests an engine may hold at once. Default 50.
	MaxBatch int `yaml:"max_batch,omitempty" json:"max_batch,omitempty" validate:"gte=1,lte=100000"`
	// QueueLimit is the number of requests a router may hold waiting for this
	// pool. Default 1000.
	QueueLimit int `yaml:"queue_limit,omitempty" json:"queue_limit,omitempty" validate:"gte=1,lte=10000000"`
	// CapacityFloor is the share of engines, 0 to 1, that orders must leave
	// serving. Default 0.7.
	CapacityFloor float64 `yaml:"capacity_floor,omitempty" json:"capacity_floor,omitempty" validate:"gte=0,lte=1"`
	// Priority decides between pools that serve the same model; higher first.
	Priority int `yaml:"priority,omitempty" json:"priority,omitempty" validate:"gte=-1000,lte=1000"`
}

// Service is a plain service behind the router.
type Service struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	Team string `yaml:"team" json:"team" validate:"required"`
	// Pool names the pool whose VMs run the service.
	Pool string `yaml:"pool" json:"pool" validate:"required"`
	// Routes is the allow-list; nothing else is forwarded.
	Routes []Route `yaml:"routes" json:"routes" validate:"min=1,dive"`
	// Deduplicates says that the service itself recognises a repeated
	// idempotency key, so that a request may be sent again.
	Deduplicates bool `yaml:"deduplicates,omitempty" json:"deduplicates,omitempty"`
}

// Route is one method and path of a plain service.
type Route struct {
	Method string `yaml:"method" json:"method" validate:"oneof=GET HEAD POST PUT PATCH DELETE"`
	// Path is matched segment by segment; a segment of "*" matches any one.
	Path string `yaml:"path" json:"path" validate:"required"`
	// Idempotent says that the call may be repeated. The default is true for
	// GET and HEAD and false for every other method.
	Idempotent *bool `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// Priority is the class of requests that name none. Default normal.
	Priority string `yaml:"priority,omitempty" json:"priority,omitempty" validate:"omitempty,oneof=urgent high normal batch"`
}

// Account is a client account.
type Account struct {
	Name string `yaml:"name" json:"name" validate:"required,name"`
	Team string `yaml:"team" json:"team" validate:"required"`
	// KeyHashes are the SHA-256 sums, in hexadecimal, of the account's API keys.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" validate:"unique,dive,len=64,hexadecimal,lowercase"`
	// Weight is the account's share when the fleet is short. Default 1.
	Weight float64 `yaml:"weight,omitempty" json:"weight,omitempty" validate:"gt=0,lte=1000000"`
	// RequestsPerSecond bounds the account across the fleet; 0 means no bound.
	RequestsPerSecond float64 `yaml:"requests_per_second,omitempty" json:"requests_per_second,omitempty" validate:"gte=0,lte=1000000000"`
	// Burst is how many requests may come at once. Default one second's worth.
	Burst int `yaml:"burst,omitempty" json:"burst,omitempty" validate:"gte=0,lte=1000000000"`
	// Concurrency bounds unfinished requests across the fleet; 0 means no bound.
	Concurrency int `yaml:"concurrency,omitempty" json:"concurrency,omitempty" validate:"gte=0,lte=1000000000"`
	// MaxPriority is the highest class the account may ask for. Default urgent.
	MaxPriority string `yaml:"max_priority,omitempty" json:"max_priority,omitempty" validate:"omitempty,oneof=urgent high normal batch"`
	// Services lists the plain services the account may call.
	Services []string `yaml:"services,omitempty" json:"services,omitempty" validate:"unique"`
	// Models lists the models the account may use; empty means all.
	Models []string `yaml:"models,omitempty" json:"models,omitempty" validate:"unique"`
}

// InForceWithin is how soon an accepted version must be in force everywhere.
const InForceWithin = 5 * time.Second
