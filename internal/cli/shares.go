package cli

import (
	"context"
	"fmt"
	"io"

	"damaskrouter.example/damaskrouter/internal/edge/node"
)

// sharesCommand returns the command that shows how congested services are divided among accounts.
func sharesCommand() *command {
	var f routersFlags
	c := newCommand("shares", "Show what client accounts request and get of services that can't serve all requests.", func(ctx context.Context, con *console) error {
		return showShares(ctx, con, &f)
	})
	c.sub.String(&f.router, "r", "router", "The metrics address of any router, HOST:PORT. Default: "+envRouter+" from the environment.")
	c.sub.Bool(&f.json, "j", "json", "Print JSON.")
	return c
}

func showShares(ctx context.Context, con *console, f *routersFlags) error {
	if f.address() == "" {
		return ErrUsage.New("name a router with --router ADDRESS (or %s)", envRouter)
	}
	var list node.ShareList
	body, err := f.fetchJSON(ctx, node.PathShares, nil, &list)
	if err != nil {
		return err
	}
	if f.json {
		_, err := fmt.Fprintf(con.out, "%s\n", body)
		return err
	}
	fmt.Fprintf(con.out, "seen by %s, in work per second of all routers\n", list.Router)
	if len(list.Accounts) == 0 {
		_, err := fmt.Fprintln(con.out, "no service is congested")
		return err
	}
	return table(con.out, true, "\nSERVICE\tACCOUNT\tREQUESTED\tGRANTED\tUSUAL\tSHARE\tWITHIN", func(w io.Writer) error {
		for _, a := range list.Accounts {
			fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", a.Service, accountText(a.Account), a.Asked, a.Granted, a.Usual, a.Share, withinText(a.Within[:]))
		}
		return nil
	})
}

// accountText returns the name of an account, or a dash for requests of public routes.
func accountText(name string) string {
	if name == "" {
		return "-"
	}
	return name
}

// withinText returns the parts within the share, by rank of urgency, in percent.
func withinText(within []float64) (text string) {
	for i, part := range within {
		if i > 0 {
			text += "/"
		}
		text += fmt.Sprintf("%.0f%%", 100*part)
	}
	return text
}
