package catalog

import "reflect"

// ConfigUpdate leads from one version of the configuration to a later one. A
// whole configuration of some hundred routes takes tens of kilobytes, and a
// series of changes that is passed on whole to each router fills the links of
// small VMs; most changes concern one route or account.
type ConfigUpdate struct {
	// Base is the version to apply the update to; zero for any.
	Base, Version uint64
	// Routes and Accounts are new or changed; those not named stay as they
	// are, except where Base is zero.
	Routes          []Route
	RemovedRoutes   []string
	Accounts        []Account
	RemovedAccounts []string
	Services        []Service
	Limits          Limits
}

// UpdateFrom returns what leads from an older configuration to c; a nil one
// stands for none.
func (c *Config) UpdateFrom(old *Config) ConfigUpdate {
	u := ConfigUpdate{Version: c.Version, Services: c.Services, Limits: c.Limits}
	if old == nil {
		u.Routes, u.Accounts = c.Routes, c.Accounts
		return u
	}
	u.Base = old.Version
	u.Routes, u.RemovedRoutes = changes(old.Routes, c.Routes, func(r Route) string { return r.Name })
	u.Accounts, u.RemovedAccounts = changes(old.Accounts, c.Accounts, func(a Account) string { return a.Name })
	return u
}

// Apply returns the configuration that an update leads to, and false if the
// update does not start from old.
func (u ConfigUpdate) Apply(old *Config) (*Config, bool) {
	out := Config{Version: u.Version, Services: u.Services, Limits: u.Limits}
	if u.Base == 0 {
		out.Routes, out.Accounts = u.Routes, u.Accounts
		return NewConfig(out), true
	}
	if old == nil || old.Version != u.Base {
		return nil, false
	}
	out.Routes = merged(old.Routes, u.Routes, u.RemovedRoutes, func(r Route) string { return r.Name })
	out.Accounts = merged(old.Accounts, u.Accounts, u.RemovedAccounts, func(a Account) string { return a.Name })
	return NewConfig(out), true
}

// changes returns the items of next that are new or differ from old, and the
// names of those that next lacks.
func changes[T any](old, next []T, name func(T) string) (changed []T, removed []string) {
	before := make(map[string]T, len(old))
	for _, item := range old {
		before[name(item)] = item
	}
	for _, item := range next {
		was, known := before[name(item)]
		if !known || !reflect.DeepEqual(was, item) {
			changed = append(changed, item)
		}
		delete(before, name(item))
	}
	for gone := range before {
		removed = append(removed, gone)
	}
	return changed, removed
}

// merged returns old with the changed items in place of those of the same name,
// and without the removed ones.
func merged[T any](old, changed []T, removed []string, name func(T) string) []T {
	drop := make(map[string]bool, len(removed)+len(changed))
	for _, gone := range removed {
		drop[gone] = true
	}
	for _, item := range changed {
		drop[name(item)] = true
	}
	var out []T
	for _, item := range old {
		if !drop[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, changed...)
}
