package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
)

func fleetCommand() *command {
	var f operatorFlags
	var routers routersFlags
	diff := fleetDiffCommand()
	c := newCommand("fleet", "Show the routers: which run which settings and configuration, and the odd ones.", func(ctx context.Context, con *console) error {
		if diff.sub.Used {
			return diff.run(ctx, con)
		}
		if f.admin == "" && routers.address() != "" {
			routers.json = f.json
			return showRouters(ctx, con, &routers)
		}
		var fleet api.Fleet
		printed, err := f.get(ctx, con, api.PathFleet, nil, &fleet)
		if printed || err != nil {
			return err
		}
		return printFleet(con.out, fleet)
	})
	f.add(c.sub)
	c.sub.String(&routers.router, "r", "router", "On the platform, the metrics address of any router, HOST:PORT. Default: "+envRouter+" from the environment.")
	c.sub.String(&routers.site, "", "site", "Only routers of this site (with --router).")
	c.sub.Bool(&routers.watch, "w", "watch", "Show it again every two seconds (with --router).")
	c.sub.Bool(&routers.all, "", "all", "List every router, not only those that differ from most (with --router).")
	c.sub.AttachSubcommand(diff.sub, 1)
	return c
}

func printFleet(out io.Writer, f api.Fleet) error {
	fmt.Fprintf(out, "seen by %s, configuration version %d\n", f.SeenBy, f.ConfigVersion)
	err := table(out, true, "\nROUTER\tSITE\tSTATE\tADDRESS\tCONFIG", func(w io.Writer) error {
		for _, r := range f.Routers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", r.Name, r.Site, r.State, r.Address, r.ConfigVersion)
		}
		return nil
	})
	if err != nil {
		return err
	}
	return table(out, true, "\nENGINE\tKIND\tPOOL\tSITE\tSTATE\tOWNER\tMODEL\tADMITTED", func(w io.Writer) error {
		for _, e := range f.Engines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s %s\t%s\n", e.Name, e.Kind, e.Pool, e.Site, engineState(f.SeenBy, e),
				e.Owner, e.Model, e.Version, admittedText(e))
		}
		return nil
	})
}

// admittedText returns the number of unfinished requests, or "?" if it is unknown.
func admittedText(e api.Engine) string {
	if !e.Heard {
		return "?"
	}
	return strconv.Itoa(e.Admitted)
}

// engineState returns the engine's state as seen by the router that replied. Only
// the owner receives the engine's reports, so on other routers a missing report
// has no meaning.
func engineState(seenBy string, e api.Engine) string {
	switch {
	case e.Leaving:
		return "leaving"
	case !e.Known && e.Owner == seenBy:
		return "no report"
	}
	return "live"
}
