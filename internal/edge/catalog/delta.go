package catalog

import "reflect"

// ConfigUpdate converts one version of the configuration to a later one. A full configuration of
// some hundred routes takes tens of kilobytes, and sending it to each router for each of a series
// of changes saturates the links of small VMs. Most changes concern one route or account.
type ConfigUpdate struct {
	// Base is the version that the update applies to; zero if it applies to any.
	Base, Version uint64
	// Routes and Accounts are new or changed. If Base is not zero, all others stay as they are.
	Routes          []Route
	RemovedRoutes   []string
	Accounts        []Account
	RemovedAccounts []string
	Services        []Service
	Limits          Limits
}

// UpdateFrom returns the update from an older configuration to c. If old is nil, the update
// contains the full configuration.
func (c *Config) UpdateFrom(old *Config) ConfigUpdate {
	u := ConfigUpdate{Version: c.Version, Services: c.Services, Limits: c.Limits}
	if old == nil {
		u.Routes, u.Accounts = c.Routes, c.Accounts
		return u
	}
	u.Base = old.Version
	u.Routes, u.RemovedRoutes = diff(old.Routes, c.Routes, func(r Route) string { return r.Name })
	u.Accounts, u.RemovedAccounts = diff(old.Accounts, c.Accounts, func(a Account) string { return a.Name })
	return u
}

// Apply returns the configuration after the update, and false if the update is for another base
// than old.
func (u ConfigUpdate) Apply(old *Config) (*Config, bool) {
	out := Config{Version: u.Version, Services: u.Services, Limits: u.Limits}
	if u.Base == 0 {
		out.Routes, out.Accounts = u.Routes, u.Accounts
		return NewConfig(out), true
	}
	if old == nil || old.Version != u.Base {
		return nil, false
	}
	out.Routes = merge(old.Routes, u.Routes, u.RemovedRoutes, func(r Route) string { return r.Name })
	out.Accounts = merge(old.Accounts, u.Accounts, u.RemovedAccounts, func(a Account) string { return a.Name })
	return NewConfig(out), true
}

// diff returns the items of next that are new or differ from old, and the names of the items that
// only old contains.
func diff[T any](old, next []T, name func(T) string) (changed []T, removed []string) {
	byName := make(map[string]T, len(old))
	for _, item := range old {
		byName[name(item)] = item
	}
	for _, item := range next {
		previous, known := byName[name(item)]
		if !known || !reflect.DeepEqual(previous, item) {
			changed = append(changed, item)
		}
		delete(byName, name(item))
	}
	for missing := range byName {
		removed = append(removed, missing)
	}
	return changed, removed
}

// merge returns the items of old that are neither changed nor removed, followed by the changed
// ones.
func merge[T any](old, changed []T, removed []string, name func(T) string) []T {
	omit := make(map[string]bool, len(removed)+len(changed))
	for _, removedName := range removed {
		omit[removedName] = true
	}
	for _, item := range changed {
		omit[name(item)] = true
	}
	var out []T
	for _, item := range old {
		if !omit[name(item)] {
			out = append(out, item)
		}
	}
	return append(out, changed...)
}
