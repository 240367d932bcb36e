package cli

import (
	"context"
	"fmt"

	"damaskrouter.example/damaskrouter/internal/lab/bench/report"
	"damaskrouter.example/damaskrouter/platform/journal"
)

func worthCommand() *command {
	dir, plot := "journal", ""
	c := newCommand("worth", "List what the users' bench has measured, a line a round, from its journal.", func(_ context.Context, con *console) error {
		return printScores(con, dir, plot)
	})
	c.sub.String(&dir, "j", "journal", "The folder of the journal.")
	c.sub.String(&plot, "p", "plot", "A file for a plot as SVG.")
	return c
}

func printScores(con *console, dir, plot string) error {
	rounds, err := journal.Rounds(dir)
	if err != nil {
		return err
	}
	for _, r := range rounds {
		suffix := ""
		if !r.Kept {
			suffix = " (a rule broken)"
		}
		fmt.Fprintf(con.out, "%s  %-18s %.4f%s  %s\n", r.At.Format("2006-01-02 15:04:05"), r.Site, r.Worth, suffix, r.Why)
	}
	if plot == "" {
		return nil
	}
	return report.Worth(plot, rounds)
}
