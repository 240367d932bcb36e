package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// listCommand returns a command that lists items of the active configuration.
func listCommand[T any](name, description string, list listing[T]) *command {
	var f listFlags
	c := newCommand(name, description, func(ctx context.Context, con *console) error { return list.run(ctx, con, &f) })
	f.add(c.sub)
	c.sub.String(&f.team, "", "team", "Only what this team owns.")
	c.sub.String(&f.site, "d", "site", "As it applies at this data centre. Default: as the base file has it.")
	c.sub.Int(&f.limit, "n", "limit", "How many to list; 0 for all.")
	return c
}

func accountsCommand() *command {
	return listCommand("accounts", "List the client accounts in force.", listing[api.Account]{
		path:    api.PathAccounts,
		columns: "ACCOUNT\tTEAM\tKEYS\tWEIGHT\tPER SECOND\tCONCURRENCY\tMAX PRIORITY\tSERVICES",
		row: func(a api.Account) string {
			return fmt.Sprintf("%s\t%s\t%d\t%g\t%g\t%d\t%s\t%s", a.Name, a.Team, a.Keys, a.Weight,
				a.RequestsPerSecond, a.Concurrency, a.MaxPriority, strings.Join(a.Services, ","))
		},
	})
}

func sitesCommand() *command {
	return listCommand("sites", "List the data centres.", listing[config.Site]{
		path:    api.PathSites,
		columns: "SITE\tREGION",
		row:     func(s config.Site) string { return s.Name + "\t" + s.Region },
	})
}

func servicesCommand() *command {
	return listCommand("services", "List the plain services in force.", listing[config.Service]{
		path:    api.PathServices,
		columns: "SERVICE\tTEAM\tPOOL\tDEDUPLICATES\tROUTES",
		row: func(s config.Service) string {
			var routes []string
			for _, r := range s.Routes {
				routes = append(routes, r.Method+" "+r.Path)
			}
			return fmt.Sprintf("%s\t%s\t%s\t%t\t%s", s.Name, s.Team, s.Pool, s.Deduplicates, strings.Join(routes, ", "))
		},
	})
}

func poolsCommand() *command {
	return listCommand("pools", "List the pools in force.", listing[config.Pool]{
		path:    api.PathPools,
		columns: "POOL\tSITES\tMODEL\tVERSION\tADAPTERS\tLOAD BOUND\tMAX BATCH",
		row: func(p config.Pool) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%g\t%d", p.Name, strings.Join(p.Sites, ","), p.Model, p.Version,
				strings.Join(p.Adapters, ","), p.LoadBound, p.MaxBatch)
		},
	})
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
