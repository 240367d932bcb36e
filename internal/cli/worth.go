package cli

import (
	"context"
	"fmt"

	"damaskrouter.example/damaskrouter/internal/lab/bench/report"
	"damaskrouter.example/damaskrouter/platform/journal"
)

func worthCommand() *command {
	folder, plot := "journal", ""
	c := newCommand("worth", "List what the users' bench has measured, a line a round, from its journal.", func(_ context.Context, con *console) error {
		return worth(con, folder, plot)
	})
	c.sub.String(&folder, "j", "journal", "The folder of the journal.")
	c.sub.String(&plot, "p", "plot", "A file for a plot as SVG.")
	return c
}

func worth(con *console, folder, plot string) error {
	rounds, err := journal.Rounds(folder)
	if err != nil {
		return err
	}
	for _, r := range rounds {
		broken := ""
		if !r.Kept {
			broken = " (a rule broken)"
		}
		fmt.Fprintf(con.out, "%s  %-18s %.4f%s  %s\n", r.At.Format("2006-01-02 15:04:05"), r.Site, r.Worth, broken, r.Why)
	}
	if plot == "" {
		return nil
	}
	return report.Worth(plot, rounds)
}
