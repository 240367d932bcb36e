package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"damaskrouter.example/damaskrouter/internal/store/config"
	"go.yaml.in/yaml/v3"
)

// Names and limits in the configuration of an experiment.
const (
	Model        = "model"
	Version      = "1"
	EnginePool   = "language"
	ServicePool  = "services"
	ServiceName  = "desk"
	Region       = "bench"
	team         = "bench"
	keyPrefix    = "bench-key-"
	queueLimit   = 2000
	serviceBound = 2
)

// Sites are the sites over which the fleet is spread.
var Sites = []string{"site-1", "site-2", "site-3"}

// Key returns the API key of an account.
func (a *Account) Key() string { return keyPrefix + a.Name }

// Bundle returns the fleet's configuration with the given load bound for the
// language pool. It is a parameter since the baselines are measured without an
// effective bound. Errors: ErrRead.
func (w *Workload) Bundle(bound float64) (config.Bundle, error) {
	doc := config.Document{
		Teams:    []config.Team{{Name: team}},
		Models:   []config.Model{{Name: Model, Versions: []string{Version}}},
		Pools:    w.poolConfigs(bound),
		Services: []config.Service{w.serviceConfig()},
	}
	for _, name := range Sites {
		doc.Sites = append(doc.Sites, config.Site{Name: name, Region: Region})
	}
	for i := range w.Accounts {
		doc.Accounts = append(doc.Accounts, w.Accounts[i].configFor())
	}
	data, err := yaml.Marshal(doc)
	if err != nil {
		return config.Bundle{}, ErrRead.Wrap(err)
	}
	return config.Bundle{Base: data, Overlays: map[string][]byte{}}, nil
}

func (w *Workload) poolConfigs(bound float64) []config.Pool {
	return []config.Pool{
		{Name: EnginePool, Sites: Sites, Model: Model, Version: Version, LoadBound: bound, MaxBatch: w.Engines.MaxBatch, QueueLimit: queueLimit},
		{Name: ServicePool, Sites: Sites, LoadBound: serviceBound, MaxBatch: config.DefaultMaxBatch, QueueLimit: queueLimit},
	}
}

func (w *Workload) serviceConfig() config.Service {
	s := config.Service{Name: ServiceName, Team: team, Pool: ServicePool}
	for _, c := range w.Calls {
		idempotent := c.Idempotent()
		s.Routes = append(s.Routes, config.Route{Method: c.Method, Path: c.Path, Idempotent: &idempotent, Priority: c.Priority})
	}
	if len(s.Routes) == 0 {
		s.Routes = []config.Route{{Method: "GET", Path: "/status/*"}}
	}
	return s
}

func (a *Account) configFor() config.Account {
	sum := sha256.Sum256([]byte(a.Key()))
	return config.Account{
		Name:              a.Name,
		Team:              team,
		KeyHashes:         []string{hex.EncodeToString(sum[:])},
		Weight:            a.Weight,
		RequestsPerSecond: a.RequestsPerSecond,
		Concurrency:       a.Concurrency,
		MaxPriority:       config.PriorityUrgent,
		Services:          []string{ServiceName},
	}
}

// Target returns the path of the call with the given id within the service.
func (c *Call) Target(id string) string {
	return strings.Replace(c.Path, "*", id, 1)
}
