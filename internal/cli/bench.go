package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/report"
	"damaskrouter.example/damaskrouter/internal/lab/bench/run"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
)

// ErrGuarantee means that a run violated one of the system's guarantees.
var ErrGuarantee = errs.Class("promise broken")

// allStrategies is the strategy name that runs every strategy, one after another.
const allStrategies = "all"

// benchFlags are the flags of the command bench.
type benchFlags struct {
	workload string
	strategy string
	seed     uint64
	seconds  int
	report   string
	html     string
}

func benchCommand() *command {
	f := &benchFlags{strategy: run.Picker, seed: 1}
	c := newCommand("bench", "Run a workload against a fleet in this process and measure it.", func(ctx context.Context, con *console) error {
		return bench(ctx, con, f)
	})
	c.sub.String(&f.workload, "w", "workload", "The workload file.")
	c.sub.String(&f.strategy, "s", "strategy", strings.Join(run.Strategies(), ", ")+" or "+allStrategies+".")
	c.sub.UInt64(&f.seed, "e", "seed", "The seed of chats, churn and routers.")
	c.sub.Int(&f.seconds, "n", "seconds", "How long load is offered. Default: the workload's duration.")
	c.sub.String(&f.report, "r", "report", "A file for the results in JSON.")
	c.sub.String(&f.html, "t", "html", "A file for a page with plots.")
	return c
}

func bench(ctx context.Context, con *console, f *benchFlags) error {
	if f.workload == "" {
		return ErrUsage.New("bench needs --workload FILE")
	}
	if f.strategy != allStrategies && !run.Known(f.strategy) {
		return ErrUsage.New("no strategy %q", f.strategy)
	}
	w, err := workload.Load(f.workload)
	if err != nil {
		return err
	}
	results, err := f.runAll(ctx, con, w)
	if err != nil {
		return err
	}
	if err := f.write(con, results); err != nil {
		return err
	}
	return checkGuarantees(results)
}

func (f *benchFlags) runAll(ctx context.Context, con *console, w *workload.Workload) ([]*run.Result, error) {
	names := []string{f.strategy}
	if f.strategy == allStrategies {
		names = run.Strategies()
	}
	con.log.SetLevel(log.ErrorLevel)
	var results []*run.Result
	for _, name := range names {
		r, err := run.Run(ctx, run.Options{
			Workload: w,
			Strategy: name,
			Seed:     f.seed,
			Length:   time.Duration(f.seconds) * time.Second,
			Log:      con.log,
		})
		if err != nil {
			return nil, err
		}
		fmt.Fprintf(con.out, "%s: %d requests, reuse %.3f, skew %.2f\n", name, r.Requests, r.CacheReuse, r.Skew.Mean)
		results = append(results, r)
	}
	return results, nil
}

func (f *benchFlags) write(con *console, results []*run.Result) error {
	fmt.Fprintln(con.out)
	if err := report.Table(con.out, results); err != nil {
		return err
	}
	if f.report != "" {
		if err := report.JSON(f.report, results); err != nil {
			return err
		}
	}
	if f.html != "" {
		return report.HTML(f.html, results)
	}
	return nil
}

// checkGuarantees returns ErrGuarantee if a run violated a guarantee. Guarantees
// hold for every placement strategy.
func checkGuarantees(results []*run.Result) error {
	for _, r := range results {
		if !r.Kept() {
			return ErrGuarantee.New("%s: %d lost, %d mixed, %d doubled, %d falsely refused",
				r.Strategy, r.Lost, r.Mixed, r.Doubled, r.FalselyRefused)
		}
	}
	return nil
}
