package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
)

// fieldValidator returns the shared validator of field constraints. It is created
// on first use, because it compiles the struct tags.
var fieldValidator = sync.OnceValue(strictyaml.NewValidator)

// Validate checks a complete bundle: that its files can be parsed, that values
// are within bounds, and that all references can be resolved. It returns the
// problems of the base document, then those of the overlays, sorted by site. If
// any file can't be parsed, it returns only the parse problems of all files.
func Validate(b Bundle) []Problem {
	parsed, err := b.Parse()
	if err != nil {
		return asProblems(err)
	}
	c := newBaseChecker(parsed)
	c.run()
	problems := c.problems
	for _, site := range slices.Sorted(maps.Keys(parsed.Overlays)) {
		o := overlayChecker{base: c, site: site, src: parsed.overlaySources[site], overlay: parsed.Overlays[site]}
		o.run()
		problems = append(problems, o.problems...)
	}
	return problems
}

// asProblems returns the problems in an error of Bundle.Parse.
func asProblems(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return Problems{{File: BaseFile, Line: 1, Reason: err.Error()}}
}

// baseChecker validates the base document.
type baseChecker struct {
	doc      *Document
	src      *strictyaml.Source
	problems Problems

	teams, sites, services map[string]bool
	models                 map[string]*Model
	pools                  map[string]*Pool
}

func newBaseChecker(p *Parsed) *baseChecker {
	return &baseChecker{
		doc:    p.Document,
		src:    p.baseSource,
		models: make(map[string]*Model),
		pools:  make(map[string]*Pool),
	}
}

func (c *baseChecker) run() {
	c.problems = c.src.Fields(fieldValidator(), c.doc)
	c.collectNames()
	for i := range c.doc.Pools {
		c.checkPool(fmt.Sprintf("pools[%d]", i), &c.doc.Pools[i])
	}
	for i := range c.doc.Services {
		c.checkService(fmt.Sprintf("services[%d]", i), &c.doc.Services[i])
	}
	for i := range c.doc.Accounts {
		c.checkAccount(fmt.Sprintf("accounts[%d]", i), &c.doc.Accounts[i])
	}
	c.checkKeyHashes()
}

func (c *baseChecker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, c.src.At(path, format, args...))
}

func (c *baseChecker) collectNames() {
	c.teams = uniqueNames(c, "teams", c.doc.Teams, func(t Team) string { return t.Name })
	c.sites = uniqueNames(c, "sites", c.doc.Sites, func(s Site) string { return s.Name })
	c.services = uniqueNames(c, "services", c.doc.Services, func(s Service) string { return s.Name })
	uniqueNames(c, "models", c.doc.Models, func(m Model) string { return m.Name })
	uniqueNames(c, "pools", c.doc.Pools, func(p Pool) string { return p.Name })
	uniqueNames(c, "accounts", c.doc.Accounts, func(a Account) string { return a.Name })
	for i := range c.doc.Models {
		c.models[c.doc.Models[i].Name] = &c.doc.Models[i]
	}
	for i := range c.doc.Pools {
		c.pools[c.doc.Pools[i].Name] = &c.doc.Pools[i]
	}
}

// uniqueNames returns the names in a list and reports duplicates as problems.
func uniqueNames[T any](c *baseChecker, list string, items []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		n := name(item)
		if seen[n] {
			c.addProblem(fmt.Sprintf("%s[%d].name", list, i), "%q is already defined", n)
		}
		seen[n] = true
	}
	return seen
}

func (c *baseChecker) checkPool(path string, p *Pool) {
	for i, site := range p.Sites {
		if !c.sites[site] {
			c.addProblem(fmt.Sprintf("%s.sites[%d]", path, i), "no site is called %q", site)
		}
	}
	c.problems = append(c.problems, c.checkModel(c.src, path, p)...)
}

// checkModel checks the model, version and adapters of a pool, as the base
// document has it or with an overlay applied.
func (c *baseChecker) checkModel(src *strictyaml.Source, path string, p *Pool) Problems {
	if p.Model == "" {
		return checkPlainPool(src, path, p)
	}
	model, ok := c.models[p.Model]
	if !ok {
		return Problems{src.At(path+".model", "no model is called %q", p.Model)}
	}
	var problems Problems
	if !slices.Contains(model.Versions, p.Version) {
		problems = append(problems, src.At(path+".version", "model %s has no version %q", p.Model, p.Version))
	}
	for i, adapter := range p.Adapters {
		if !slices.Contains(model.Adapters, adapter) {
			adapterPath := fmt.Sprintf("%s.adapters[%d]", path, i)
			problems = append(problems, src.At(adapterPath, "model %s has no adapter %q", p.Model, adapter))
		}
	}
	return problems
}

func checkPlainPool(src *strictyaml.Source, path string, p *Pool) Problems {
	if p.Version == "" && len(p.Adapters) == 0 {
		return nil
	}
	return Problems{src.At(path, "a pool without a model has no version and no adapters")}
}

func (c *baseChecker) checkService(path string, s *Service) {
	c.checkTeam(path, s.Team)
	pool, ok := c.pools[s.Pool]
	switch {
	case !ok:
		c.addProblem(path+".pool", "no pool is called %q", s.Pool)
	case pool.Model != "":
		c.addProblem(path+".pool", "pool %q serves a model, not plain services", s.Pool)
	}
	seen := make(map[string]bool)
	for i, r := range s.Routes {
		routePath := fmt.Sprintf("%s.routes[%d]", path, i)
		if reason := invalidPatternReason(r.Path); reason != "" {
			c.addProblem(routePath+".path", "%s", reason)
		}
		route := r.Method + " " + r.Path
		if seen[route] {
			c.addProblem(routePath, "route %s is already defined", route)
		}
		seen[route] = true
	}
}

func (c *baseChecker) checkAccount(path string, a *Account) {
	c.checkTeam(path, a.Team)
	for i, name := range a.Services {
		if !c.services[name] {
			c.addProblem(fmt.Sprintf("%s.services[%d]", path, i), "no service is called %q", name)
		}
	}
	for i, name := range a.Models {
		if _, ok := c.models[name]; !ok {
			c.addProblem(fmt.Sprintf("%s.models[%d]", path, i), "no model is called %q", name)
		}
	}
}

func (c *baseChecker) checkTeam(path, name string) {
	if !c.teams[name] {
		c.addProblem(path+".team", "no team is called %q", name)
	}
}

// checkKeyHashes rejects an API key that belongs to two accounts, because the
// chats and limits of either account could then apply to a request with that
// key.
func (c *baseChecker) checkKeyHashes() {
	owners := make(map[string]string)
	for i, a := range c.doc.Accounts {
		for j, hash := range a.KeyHashes {
			if other, ok := owners[hash]; ok && other != a.Name {
				c.addProblem(fmt.Sprintf("accounts[%d].key_hashes[%d]", i, j), "is a key of account %q", other)
			}
			owners[hash] = a.Name
		}
	}
}

// overlayChecker validates one overlay against the base document.
type overlayChecker struct {
	base     *baseChecker
	site     string
	src      *strictyaml.Source
	overlay  *Overlay
	problems Problems
}

func (c *overlayChecker) run() {
	c.problems = c.src.Fields(fieldValidator(), c.overlay)
	switch {
	case c.overlay.Site != c.site:
		c.addProblem("site", "the file is that of site %q", c.site)
	case !c.base.sites[c.site]:
		c.addProblem("site", "no site is called %q", c.site)
	}
	c.checkPools()
	c.checkAccounts()
}

func (c *overlayChecker) addProblem(path, format string, args ...any) {
	c.problems = append(c.problems, c.src.At(path, format, args...))
}

func (c *overlayChecker) checkPools() {
	seen := make(map[string]bool)
	for i := range c.overlay.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		override := &c.overlay.Pools[i]
		if seen[override.Name] {
			c.addProblem(path+".name", "%q is already changed", override.Name)
		}
		seen[override.Name] = true
		c.checkPool(path, override)
	}
}

func (c *overlayChecker) checkPool(path string, override *PoolOverlay) {
	pool, ok := c.base.pools[override.Name]
	if !ok || !slices.Contains(pool.Sites, c.site) {
		c.addProblem(path+".name", "site %s has no pool called %q", c.site, override.Name)
		return
	}
	effective := *pool
	override.applyTo(&effective)
	if override.Version == nil && override.Adapters == nil {
		return
	}
	c.problems = append(c.problems, c.base.checkModel(c.src, path, &effective)...)
}

func (c *overlayChecker) checkAccounts() {
	known := make(map[string]bool)
	for _, a := range c.base.doc.Accounts {
		known[a.Name] = true
	}
	seen := make(map[string]bool)
	for i, override := range c.overlay.Accounts {
		path := fmt.Sprintf("accounts[%d].name", i)
		if !known[override.Name] {
			c.addProblem(path, "no account is called %q", override.Name)
		}
		if seen[override.Name] {
			c.addProblem(path, "%q is already changed", override.Name)
		}
		seen[override.Name] = true
	}
}
