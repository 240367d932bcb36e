package admin

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// catalog caches the decoded active configuration of this router. It does not use
// the store, so lists remain available during an outage.
type catalog struct {
	activeConfig func() (uint64, config.Bundle, error)

	mu      sync.Mutex
	version uint64
	parsed  *config.Parsed
}

// notReady returns the error of a router that has no configuration yet.
func notReady() *apierr.Error {
	return apierr.New(apierr.CodeNotReady, http.StatusServiceUnavailable, "no configuration in force yet").
		WithRetryAfter(time.Second)
}

// current returns the active configuration. Errors: notReady, those of
// Options.InForce and config.Bundle.Parse.
func (g *catalog) current() (*config.Parsed, error) {
	version, bundle, err := g.activeConfig()
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return nil, notReady()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.parsed != nil && g.version == version {
		return g.parsed, nil
	}
	parsed, err := bundle.Parse()
	if err != nil {
		return nil, err
	}
	g.version, g.parsed = version, parsed
	return parsed, nil
}

// accountTeam returns the team of an account. It is access.FleetWide for an
// account that is not in the configuration, so that only operators of the whole
// fleet may act on it.
func (g *catalog) accountTeam(account string) (string, error) {
	parsed, err := g.current()
	if err != nil {
		return "", err
	}
	return accountTeam(parsed.Document, account), nil
}

// effective returns the configuration of the site in the query, or the base
// configuration if the query names no site.
func (g *catalog) effective(c *requestContext) (*config.Effective, error) {
	parsed, err := g.current()
	if err != nil {
		return nil, err
	}
	doc := parsed.Document
	site := c.QueryParam(api.ParamSite)
	if site == "" {
		return &config.Effective{
			Sites: doc.Sites, Models: doc.Models, Pools: doc.Pools, Services: doc.Services, Accounts: doc.Accounts,
		}, nil
	}
	e, err := config.NewEffective(doc, parsed.Overlays, site)
	if config.ErrUnknownSite.Has(err) {
		return nil, apierr.New(apierr.CodeNotFound, http.StatusNotFound, "no such site").WithCause(err)
	}
	return e, err
}

func (s *Server) accounts(c *requestContext) error {
	return listPage(s, c, access.ActionReadConfig, func(e *config.Effective) []api.Account {
		out := make([]api.Account, 0, len(e.Accounts))
		for _, a := range e.Accounts {
			out = append(out, accountView(a))
		}
		return out
	}, func(a api.Account) (string, string) { return a.Name, a.Team })
}

func (s *Server) services(c *requestContext) error {
	return listPage(s, c, access.ActionReadConfig, func(e *config.Effective) []config.Service { return e.Services },
		func(v config.Service) (string, string) { return v.Name, v.Team })
}

// Sites and pools belong to no team and reveal nothing about teams, so all
// operators may list them.

func (s *Server) sites(c *requestContext) error {
	return listPage(s, c, access.ActionReadStatus, func(e *config.Effective) []config.Site { return e.Sites },
		func(v config.Site) (string, string) { return v.Name, access.FleetWide })
}

func (s *Server) pools(c *requestContext) error {
	return listPage(s, c, access.ActionReadStatus, func(e *config.Effective) []config.Pool { return e.Pools },
		func(v config.Pool) (string, string) { return v.Name, access.FleetWide })
}

func accountView(a config.Account) api.Account {
	return api.Account{
		Name: a.Name, Team: a.Team, Keys: len(a.KeyHashes), Weight: a.Weight,
		RequestsPerSecond: a.RequestsPerSecond, Burst: a.Burst, Concurrency: a.Concurrency,
		MaxPriority: a.MaxPriority, Services: nonNil(a.Services), Models: nonNil(a.Models),
	}
}

// listPage responds with a page of the items of the active configuration that the
// operator may see. nameAndTeam returns the name and the team of an item. The
// cursor is a name, so that no item is repeated or skipped when others are added
// or removed between pages.
func listPage[T any](s *Server, c *requestContext, action access.Action, items func(*config.Effective) []T, nameAndTeam func(T) (name, team string)) error {
	if err := checkParams(c, api.ParamLimit, api.ParamCursor, api.ParamSite, api.ParamTeam); err != nil {
		return err
	}
	limit, err := pageLimit(c)
	if err != nil {
		return err
	}
	e, err := s.catalog.effective(c)
	if err != nil {
		return err
	}
	visibleItems := items(e)
	visibleItems = slices.DeleteFunc(slices.Clone(visibleItems), func(item T) bool {
		name, team := nameAndTeam(item)
		return name <= c.QueryParam(api.ParamCursor) || !visible(c, action, team)
	})
	slices.SortFunc(visibleItems, func(a, b T) int {
		first, _ := nameAndTeam(a)
		second, _ := nameAndTeam(b)
		return cmp.Compare(first, second)
	})
	page := api.Page[T]{Items: nonNil(visibleItems)}
	if len(visibleItems) > limit {
		page.Items = visibleItems[:limit]
		page.Next, _ = nameAndTeam(visibleItems[limit-1])
	}
	return c.JSON(http.StatusOK, page)
}

// visible reports whether the operator's scope and the team filter of the query
// include team.
func visible(c *requestContext, action access.Action, team string) bool {
	if want := c.QueryParam(api.ParamTeam); want != "" && want != team {
		return false
	}
	return access.Authorize(c.op, action, team) == nil
}
