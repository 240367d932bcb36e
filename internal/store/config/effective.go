package config

import (
	"cmp"
	"maps"
	"slices"
)

// Effective is the configuration as it applies at one site: the base document
// with the site's overlay and with the defaults filled. It is immutable and
// safe for concurrent use; callers must not change what it returns.
type Effective struct {
	// Site is the data centre that this is for.
	Site Site
	// Sites are all data centres of the fleet.
	Sites []Site
	// Models are the models of the fleet.
	Models []Model
	// Pools are those in service at the site, higher priority first.
	Pools []Pool
	// Services are the plain services whose pool is in service at the site.
	Services []Service
	// Accounts are all client accounts, with the limits of this site.
	Accounts []Account

	accountsByKey  map[string]*Account
	accountsByName map[string]*Account
	poolsByName    map[string]*Pool
	poolsByModel   map[string][]*Pool
	servicesByName map[string]*Service
	modelsByName   map[string]*Model
}

// NewEffective applies the site's overlay, if there is one, to the document.
// The only error is ErrUnknownSite: the document is taken to be valid.
func NewEffective(doc *Document, overlays map[string]*Overlay, site string) (*Effective, error) {
	at := slices.IndexFunc(doc.Sites, func(s Site) bool { return s.Name == site })
	if at < 0 {
		return nil, ErrUnknownSite.New("%q", site)
	}
	overlay := overlays[site]
	e := &Effective{
		Site:     doc.Sites[at],
		Sites:    slices.Clone(doc.Sites),
		Models:   slices.Clone(doc.Models),
		Pools:    effectivePools(doc.Pools, overlay, site),
		Accounts: effectiveAccounts(doc.Accounts, overlay),
	}
	e.indexPools()
	e.indexAccounts()
	e.addServices(doc.Services)
	return e, nil
}

func effectivePools(pools []Pool, overlay *Overlay, site string) []Pool {
	var out []Pool
	for _, p := range pools {
		change := overlay.pool(p.Name)
		if !slices.Contains(p.Sites, site) || change != nil && !change.serves() {
			continue
		}
		if change != nil {
			change.applyTo(&p)
		}
		p.fillDefaults()
		out = append(out, p)
	}
	slices.SortStableFunc(out, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func effectiveAccounts(accounts []Account, overlay *Overlay) []Account {
	out := slices.Clone(accounts)
	for i := range out {
		if change := overlay.account(out[i].Name); change != nil {
			change.applyTo(&out[i])
		}
		out[i].fillDefaults()
	}
	return out
}

func (e *Effective) indexPools() {
	e.modelsByName = make(map[string]*Model, len(e.Models))
	for i := range e.Models {
		e.modelsByName[e.Models[i].Name] = &e.Models[i]
	}
	e.poolsByName = make(map[string]*Pool, len(e.Pools))
	e.poolsByModel = make(map[string][]*Pool)
	for i := range e.Pools {
		p := &e.Pools[i]
		e.poolsByName[p.Name] = p
		if p.Model != "" {
			e.poolsByModel[p.Model] = append(e.poolsByModel[p.Model], p)
		}
	}
}

func (e *Effective) indexAccounts() {
	e.accountsByKey = make(map[string]*Account)
	e.accountsByName = make(map[string]*Account, len(e.Accounts))
	for i := range e.Accounts {
		a := &e.Accounts[i]
		e.accountsByName[a.Name] = a
		for _, hash := range a.KeyHashes {
			e.accountsByKey[hash] = a
		}
	}
}

func (e *Effective) addServices(services []Service) {
	for _, s := range services {
		if _, ok := e.poolsByName[s.Pool]; !ok {
			continue
		}
		s.Routes = slices.Clone(s.Routes)
		for i := range s.Routes {
			s.Routes[i].fillDefaults()
		}
		e.Services = append(e.Services, s)
	}
	e.servicesByName = make(map[string]*Service, len(e.Services))
	for i := range e.Services {
		e.servicesByName[e.Services[i].Name] = &e.Services[i]
	}
}

// AccountByKeyHash finds the client account of an API key by the key's
// SHA-256 sum in lower-case hexadecimal.
func (e *Effective) AccountByKeyHash(hash string) (*Account, bool) {
	a, ok := e.accountsByKey[hash]
	return a, ok
}

// Account finds a client account by name.
func (e *Effective) Account(name string) (*Account, bool) {
	a, ok := e.accountsByName[name]
	return a, ok
}

// Pool finds a pool in service at the site.
func (e *Effective) Pool(name string) (*Pool, bool) {
	p, ok := e.poolsByName[name]
	return p, ok
}

// Model finds a model by name, whether or not the site serves it.
func (e *Effective) Model(name string) (*Model, bool) {
	m, ok := e.modelsByName[name]
	return m, ok
}

// Service finds a plain service that the site serves.
func (e *Effective) Service(name string) (*Service, bool) {
	s, ok := e.servicesByName[name]
	return s, ok
}

// PoolsFor returns the pools at the site that serve the model with the
// adapter, higher priority first. An empty adapter asks for the base model.
func (e *Effective) PoolsFor(model, adapter string) []*Pool {
	var out []*Pool
	for _, p := range e.poolsByModel[model] {
		if adapter == "" || slices.Contains(p.Adapters, adapter) {
			out = append(out, p)
		}
	}
	return out
}

// MatchRoute finds the route of a call to a plain service at the site; see
// Service.Match. An unknown service gives ErrNoRoute.
func (e *Effective) MatchRoute(service, method, escapedPath string) (RouteMatch, error) {
	s, ok := e.Service(service)
	if !ok {
		return RouteMatch{}, ErrNoRoute.New("service %q", service)
	}
	return s.Match(method, escapedPath)
}

// MayCall reports whether the account may call the plain service.
func (a *Account) MayCall(service string) bool {
	return slices.Contains(a.Services, service)
}

// MayUse reports whether the account may use the model.
func (a *Account) MayUse(model string) bool {
	return len(a.Models) == 0 || slices.Contains(a.Models, model)
}

// offerings lists what callers can ask of the site.
func (e *Effective) offerings() []offering {
	set := make(map[offering]struct{})
	for _, p := range e.Pools {
		if p.Model == "" {
			continue
		}
		set[offering{kind: kindModel, name: p.Model}] = struct{}{}
		for _, adapter := range p.Adapters {
			set[offering{kind: kindAdapter, name: p.Model, adapter: adapter}] = struct{}{}
		}
	}
	for _, s := range e.Services {
		set[offering{kind: kindService, name: s.Name}] = struct{}{}
	}
	return slices.SortedFunc(maps.Keys(set), compareOfferings)
}
