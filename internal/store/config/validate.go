package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
)

// fieldValidator is built on first use: it compiles the struct tags.
var fieldValidator = sync.OnceValue(strictyaml.NewValidator)

// Validate checks a whole bundle: that its files can be read, that values are
// within bounds, and that every name refers to something. It returns all
// problems, base document first, then the overlays by site.
func Validate(b Bundle) []Problem {
	parsed, err := b.Parse()
	if err != nil {
		return asProblems(err)
	}
	c := newBaseCheck(parsed)
	c.run()
	problems := c.problems
	for _, site := range slices.Sorted(maps.Keys(parsed.Overlays)) {
		o := overlayCheck{base: c, site: site, src: parsed.sites[site], overlay: parsed.Overlays[site]}
		o.run()
		problems = append(problems, o.problems...)
	}
	return problems
}

// asProblems unwraps the error of Bundle.Parse.
func asProblems(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return Problems{{File: BaseFile, Line: 1, Reason: err.Error()}}
}

// baseCheck validates the base document.
type baseCheck struct {
	doc      *Document
	src      *strictyaml.Source
	problems Problems

	teams, sites, services map[string]bool
	models                 map[string]*Model
	pools                  map[string]*Pool
}

func newBaseCheck(p *Parsed) *baseCheck {
	return &baseCheck{
		doc:    p.Document,
		src:    p.base,
		models: make(map[string]*Model),
		pools:  make(map[string]*Pool),
	}
}

func (c *baseCheck) run() {
	c.problems = c.src.Fields(fieldValidator(), c.doc)
	c.collectNames()
	for i := range c.doc.Pools {
		c.pool(fmt.Sprintf("pools[%d]", i), &c.doc.Pools[i])
	}
	for i := range c.doc.Services {
		c.service(fmt.Sprintf("services[%d]", i), &c.doc.Services[i])
	}
	for i := range c.doc.Accounts {
		c.account(fmt.Sprintf("accounts[%d]", i), &c.doc.Accounts[i])
	}
	c.keyHashes()
}

func (c *baseCheck) fail(path, format string, args ...any) {
	c.problems = append(c.problems, c.src.At(path, format, args...))
}

func (c *baseCheck) collectNames() {
	c.teams = names(c, "teams", c.doc.Teams, func(t Team) string { return t.Name })
	c.sites = names(c, "sites", c.doc.Sites, func(s Site) string { return s.Name })
	c.services = names(c, "services", c.doc.Services, func(s Service) string { return s.Name })
	names(c, "models", c.doc.Models, func(m Model) string { return m.Name })
	names(c, "pools", c.doc.Pools, func(p Pool) string { return p.Name })
	names(c, "accounts", c.doc.Accounts, func(a Account) string { return a.Name })
	for i := range c.doc.Models {
		c.models[c.doc.Models[i].Name] = &c.doc.Models[i]
	}
	for i := range c.doc.Pools {
		c.pools[c.doc.Pools[i].Name] = &c.doc.Pools[i]
	}
}

// names collects the names of a list and reports those that occur twice.
func names[T any](c *baseCheck, list string, items []T, name func(T) string) map[string]bool {
	seen := make(map[string]bool, len(items))
	for i, item := range items {
		n := name(item)
		if seen[n] {
			c.fail(fmt.Sprintf("%s[%d].name", list, i), "%q is already defined", n)
		}
		seen[n] = true
	}
	return seen
}

func (c *baseCheck) pool(path string, p *Pool) {
	for i, site := range p.Sites {
		if !c.sites[site] {
			c.fail(fmt.Sprintf("%s.sites[%d]", path, i), "no site is called %q", site)
		}
	}
	c.problems = append(c.problems, c.served(c.src, path, p)...)
}

// served checks what a pool's engines serve, in the base document or after an
// overlay.
func (c *baseCheck) served(src *strictyaml.Source, path string, p *Pool) Problems {
	if p.Model == "" {
		return servedByPlain(src, path, p)
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
			at := fmt.Sprintf("%s.adapters[%d]", path, i)
			problems = append(problems, src.At(at, "model %s has no adapter %q", p.Model, adapter))
		}
	}
	return problems
}

func servedByPlain(src *strictyaml.Source, path string, p *Pool) Problems {
	if p.Version == "" && len(p.Adapters) == 0 {
		return nil
	}
	return Problems{src.At(path, "a pool without a model has no version and no adapters")}
}

func (c *baseCheck) service(path string, s *Service) {
	c.team(path, s.Team)
	pool, ok := c.pools[s.Pool]
	switch {
	case !ok:
		c.fail(path+".pool", "no pool is called %q", s.Pool)
	case pool.Model != "":
		c.fail(path+".pool", "pool %q serves a model, not plain services", s.Pool)
	}
	seen := make(map[string]bool)
	for i, r := range s.Routes {
		at := fmt.Sprintf("%s.routes[%d]", path, i)
		if reason := checkPattern(r.Path); reason != "" {
			c.fail(at+".path", "%s", reason)
		}
		rule := r.Method + " " + r.Path
		if seen[rule] {
			c.fail(at, "route %s is already defined", rule)
		}
		seen[rule] = true
	}
}

func (c *baseCheck) account(path string, a *Account) {
	c.team(path, a.Team)
	for i, name := range a.Services {
		if !c.services[name] {
			c.fail(fmt.Sprintf("%s.services[%d]", path, i), "no service is called %q", name)
		}
	}
	for i, name := range a.Models {
		if _, ok := c.models[name]; !ok {
			c.fail(fmt.Sprintf("%s.models[%d]", path, i), "no model is called %q", name)
		}
	}
}

func (c *baseCheck) team(path, name string) {
	if !c.teams[name] {
		c.fail(path+".team", "no team is called %q", name)
	}
}

// keyHashes refuses one API key for two accounts: the key would then decide
// by chance whose chats and limits a caller gets.
func (c *baseCheck) keyHashes() {
	owner := make(map[string]string)
	for i, a := range c.doc.Accounts {
		for j, hash := range a.KeyHashes {
			if other, ok := owner[hash]; ok && other != a.Name {
				c.fail(fmt.Sprintf("accounts[%d].key_hashes[%d]", i, j), "is a key of account %q", other)
			}
			owner[hash] = a.Name
		}
	}
}

// overlayCheck validates one overlay against the base document.
type overlayCheck struct {
	base     *baseCheck
	site     string
	src      *strictyaml.Source
	overlay  *Overlay
	problems Problems
}

func (c *overlayCheck) run() {
	c.problems = c.src.Fields(fieldValidator(), c.overlay)
	switch {
	case c.overlay.Site != c.site:
		c.fail("site", "the file is that of site %q", c.site)
	case !c.base.sites[c.site]:
		c.fail("site", "no site is called %q", c.site)
	}
	c.pools()
	c.accounts()
}

func (c *overlayCheck) fail(path, format string, args ...any) {
	c.problems = append(c.problems, c.src.At(path, format, args...))
}

func (c *overlayCheck) pools() {
	seen := make(map[string]bool)
	for i := range c.overlay.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		change := &c.overlay.Pools[i]
		if seen[change.Name] {
			c.fail(path+".name", "%q is already changed", change.Name)
		}
		seen[change.Name] = true
		c.pool(path, change)
	}
}

func (c *overlayCheck) pool(path string, change *PoolOverlay) {
	pool, ok := c.base.pools[change.Name]
	if !ok || !slices.Contains(pool.Sites, c.site) {
		c.fail(path+".name", "site %s has no pool called %q", c.site, change.Name)
		return
	}
	changed := *pool
	change.applyTo(&changed)
	if change.Version == nil && change.Adapters == nil {
		return
	}
	c.problems = append(c.problems, c.base.served(c.src, path, &changed)...)
}

func (c *overlayCheck) accounts() {
	known := make(map[string]bool)
	for _, a := range c.base.doc.Accounts {
		known[a.Name] = true
	}
	seen := make(map[string]bool)
	for i, change := range c.overlay.Accounts {
		path := fmt.Sprintf("accounts[%d].name", i)
		if !known[change.Name] {
			c.fail(path, "no account is called %q", change.Name)
		}
		if seen[change.Name] {
			c.fail(path, "%q is already changed", change.Name)
		}
		seen[change.Name] = true
	}
}
