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
	c := newCommand("fleet", "Show the routers and engines, as the asked router sees them.", func(ctx context.Context, con *console) error {
		var fleet api.Fleet
		printed, err := f.get(ctx, con, api.PathFleet, nil, &fleet)
		if printed || err != nil {
			return err
		}
		return printFleet(con.out, fleet)
	})
	f.add(c.sub)
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
				e.Owner, e.Model, e.Version, admitted(e))
		}
		return nil
	})
}

// admitted is the number of unfinished requests, where it is known.
func admitted(e api.Engine) string {
	if !e.Heard {
		return "?"
	}
	return strconv.Itoa(e.Admitted)
}

// engineState is the state as the asked router sees it. Only the owner gets the
// engine's reports, so that their absence says nothing elsewhere.
func engineState(seenBy string, e api.Engine) string {
	switch {
	case e.Leaving:
		return "leaving"
	case !e.Known && e.Owner == seenBy:
		return "no report"
	}
	return "live"
}
