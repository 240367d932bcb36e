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

// catalog is the configuration in force at this router, decoded. It needs no
// store, so the lists work through an outage.
type catalog struct {
	inForce func() (uint64, config.Bundle, error)

	mu      sync.Mutex
	version uint64
	parsed  *config.Parsed
}

// notReady is the refusal of a router without a configuration.
func notReady() *apierr.Error {
	return apierr.New(apierr.CodeNotReady, http.StatusServiceUnavailable, "no configuration in force yet").
		WithRetryAfter(time.Second)
}

// current returns the configuration in force. Errors: notReady, those of
// config.Bundle.Parse.
func (g *catalog) current() (*config.Parsed, error) {
	version, bundle, err := g.inForce()
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

// teamOf returns the team of an account; access.FleetWide for one that is not
// in the configuration, so that only operators of the fleet may act on it.
func (g *catalog) teamOf(account string) (string, error) {
	parsed, err := g.current()
	if err != nil {
		return "", err
	}
	return teamOf(parsed.Document, account), nil
}

// at returns the configuration as it applies at the site in the query, or as
// the base document has it.
func (g *catalog) at(c *call) (*config.Effective, error) {
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

func (s *Server) accounts(c *call) error {
	return list(s, c, access.ActionReadConfig, func(e *config.Effective) []api.Account {
		out := make([]api.Account, 0, len(e.Accounts))
		for _, a := range e.Accounts {
			out = append(out, accountOf(a))
		}
		return out
	}, func(a api.Account) (string, string) { return a.Name, a.Team })
}

func (s *Server) services(c *call) error {
	return list(s, c, access.ActionReadConfig, func(e *config.Effective) []config.Service { return e.Services },
		func(v config.Service) (string, string) { return v.Name, v.Team })
}

// sites and pools belong to no team, and show nothing of any.

func (s *Server) sites(c *call) error {
	return list(s, c, access.ActionReadStatus, func(e *config.Effective) []config.Site { return e.Sites },
		func(v config.Site) (string, string) { return v.Name, access.FleetWide })
}

func (s *Server) pools(c *call) error {
	return list(s, c, access.ActionReadStatus, func(e *config.Effective) []config.Pool { return e.Pools },
		func(v config.Pool) (string, string) { return v.Name, access.FleetWide })
}

func accountOf(a config.Account) api.Account {
	return api.Account{
		Name: a.Name, Team: a.Team, Keys: len(a.KeyHashes), Weight: a.Weight,
		RequestsPerSecond: a.RequestsPerSecond, Burst: a.Burst, Concurrency: a.Concurrency,
		MaxPriority: a.MaxPriority, Services: orEmpty(a.Services), Models: orEmpty(a.Models),
	}
}

// list answers with those items of the configuration in force that the
// operator may see. Pages go by name, so that no item is shown twice or left
// out because others came or went; identity returns an item's name and team.
func list[T any](s *Server, c *call, action access.Action, items func(*config.Effective) []T, identity func(T) (name, team string)) error {
	if err := checkParams(c, api.ParamLimit, api.ParamCursor, api.ParamSite, api.ParamTeam); err != nil {
		return err
	}
	limit, err := limitOf(c)
	if err != nil {
		return err
	}
	e, err := s.catalog.at(c)
	if err != nil {
		return err
	}
	seen := items(e)
	seen = slices.DeleteFunc(slices.Clone(seen), func(item T) bool {
		name, team := identity(item)
		return name <= c.QueryParam(api.ParamCursor) || !visible(c, action, team)
	})
	slices.SortFunc(seen, func(a, b T) int {
		first, _ := identity(a)
		second, _ := identity(b)
		return cmp.Compare(first, second)
	})
	page := api.Page[T]{Items: orEmpty(seen)}
	if len(seen) > limit {
		page.Items = seen[:limit]
		page.Next, _ = identity(seen[limit-1])
	}
	return c.JSON(http.StatusOK, page)
}

// visible applies the operator's scope and the filter by team.
func visible(c *call, action access.Action, team string) bool {
	if want := c.QueryParam(api.ParamTeam); want != "" && want != team {
		return false
	}
	return access.Authorize(c.op, action, team) == nil
}
