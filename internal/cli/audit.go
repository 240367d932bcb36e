package cli

import (
	"context"
	"fmt"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
)

func auditCommand() *command {
	f := listFlags{limit: api.DefaultLimit}
	list := listing[audit.Entry]{
		path:    api.PathAudit,
		columns: "TIME\tWHO\tWHAT\tOUTCOME\tTEAM\tTARGET\tFROM VERSION\tDETAIL",
		row: func(e audit.Entry) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s", e.Time.Format(timeFormat), e.Actor, e.Action, e.Outcome,
				e.Team, e.Target, e.FromVersion, e.Detail)
		},
	}
	c := newCommand("audit", "List what operators changed, newest first.", func(ctx context.Context, con *console) error {
		return list.run(ctx, con, &f)
	})
	f.add(c.sub)
	c.sub.String(&f.team, "", "team", "Only what this team owns.")
	c.sub.Int(&f.limit, "n", "limit", "How many entries to list; 0 for all.")
	return c
}
