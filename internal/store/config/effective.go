package config

import (
	"cmp"
	"maps"
	"slices"
)

// Effective is the configuration of one site: the base document with the site's
// overlay and the defaults applied. It is immutable and safe for concurrent
// use; callers must not modify the values that its methods return.
type Effective struct {
	// Site is the data centre that the configuration applies to.
	Site Site
	// Sites are all data centres of the fleet.
	Sites []Site
	// Models are the models of the fleet.
	Models []Model
	// Pools are the pools in service at the site, highest priority first.
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

// NewEffective applies the site's overlay, if there is one, to the document. The
// document must be valid. The only error is ErrUnknownSite.
func NewEffective(doc *Document, overlays map[string]*Overlay, site string) (*Effective, error) {
	index := slices.IndexFunc(doc.Sites, func(s Site) bool { return s.Name == site })
	if index < 0 {
		return nil, ErrUnknownSite.New("%q", site)
	}
	overlay := overlays[site]
	e := &Effective{
		Site:     doc.Sites[index],
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
	var effective []Pool
	for _, p := range pools {
		poolOverlay := overlay.pool(p.Name)
		if !slices.Contains(p.Sites, site) || poolOverlay != nil && !poolOverlay.inService() {
			continue
		}
		if poolOverlay != nil {
			poolOverlay.applyTo(&p)
		}
		p.applyDefaults()
		effective = append(effective, p)
	}
	slices.SortStableFunc(effective, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Name, b.Name))
	})
	return effective
}

func effectiveAccounts(accounts []Account, overlay *Overlay) []Account {
	effective := slices.Clone(accounts)
	for i := range effective {
		if accountOverlay := overlay.account(effective[i].Name); accountOverlay != nil {
			accountOverlay.applyTo(&effective[i])
		}
		effective[i].applyDefaults()
	}
	return effective
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
			s.Routes[i].applyDefaults()
		}
		e.Services = append(e.Services, s)
	}
	e.servicesByName = make(map[string]*Service, len(e.Services))
	for i := range e.Services {
		e.servicesByName[e.Services[i].Name] = &e.Services[i]
	}
}

// AccountByKeyHash returns the client account of an API key. The hash is the
// key's SHA-256 sum in lower-case hexadecimal.
func (e *Effective) AccountByKeyHash(hash string) (*Account, bool) {
	a, ok := e.accountsByKey[hash]
	return a, ok
}

// Account returns a client account by name.
func (e *Effective) Account(name string) (*Account, bool) {
	a, ok := e.accountsByName[name]
	return a, ok
}

// Pool returns a pool in service at the site by name.
func (e *Effective) Pool(name string) (*Pool, bool) {
	p, ok := e.poolsByName[name]
	return p, ok
}

// Model returns a model by name, whether or not the site serves it.
func (e *Effective) Model(name string) (*Model, bool) {
	m, ok := e.modelsByName[name]
	return m, ok
}

// Service returns a plain service that the site serves by name.
func (e *Effective) Service(name string) (*Service, bool) {
	s, ok := e.servicesByName[name]
	return s, ok
}

// PoolsFor returns the pools at the site that serve the model with the adapter,
// highest priority first. An empty adapter means the base model.
func (e *Effective) PoolsFor(model, adapter string) []*Pool {
	var serving []*Pool
	for _, p := range e.poolsByModel[model] {
		if adapter == "" || slices.Contains(p.Adapters, adapter) {
			serving = append(serving, p)
		}
	}
	return serving
}

// MatchRoute returns the route of a request to a plain service at the site; see
// Service.Match. For an unknown service the error is ErrNoRoute.
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

// offerings returns the sorted models, adapters and plain services that the
// site serves to callers.
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
