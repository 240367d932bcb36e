package cli

import (
	"context"
	"fmt"

	"damaskrouter.example/damaskrouter/internal/lab/bench/report"
	"damaskrouter.example/damaskrouter/internal/lab/bench/run"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/workloads"
	"github.com/charmbracelet/log"
)

const (
	demoSeed = 1
	// progressInterval is the interval between lines of progress, in seconds.
	progressInterval = 3
)

func demoCommand() *command {
	var file string
	c := newCommand("demo", "Show a fleet at work in this process for half a minute.", func(ctx context.Context, con *console) error {
		return demo(ctx, con, file)
	})
	c.sub.String(&file, "r", "report", "A file for what was measured, in JSON.")
	return c
}

func demo(ctx context.Context, con *console, file string) error {
	data, err := workloads.Files.ReadFile(workloads.Demo)
	if err != nil {
		return workload.ErrRead.Wrap(err)
	}
	w, err := workload.Parse(workloads.Demo, data)
	if err != nil {
		return err
	}
	con.log.SetLevel(log.ErrorLevel)
	fmt.Fprintf(con.out, "Starting a stand-in store, %d engines, %d service VMs and %d routers in this process.\n",
		w.Engines.Count, w.Services.Count, w.Routers)
	fmt.Fprintf(con.out, "%d chats return for %s; receipts are issued; engines join and leave.\n", w.Chats.Open, w.Duration)
	r, err := run.Run(ctx, run.Options{
		Workload: w,
		Strategy: run.Picker,
		Seed:     demoSeed,
		Log:      con.log,
		Progress: func(p run.Progress) { printProgress(con, p) },
		Event:    func(ev workload.ChurnEvent) { printEvent(con, ev) },
	})
	if err != nil {
		return err
	}
	return printDemoResult(con, file, r)
}

func printProgress(con *console, p run.Progress) {
	elapsed := int(p.Elapsed.Seconds())
	if elapsed%progressInterval != 0 {
		return
	}
	fmt.Fprintf(con.out, "%3d s of %.0f s: %d requests, %d answered, %d refused, %d interrupted\n",
		elapsed, p.Length.Seconds(), p.Counts.Requests, p.Counts.Answered, p.Counts.Refused, p.Counts.Interrupted)
}

func printEvent(con *console, ev workload.ChurnEvent) {
	actions := map[workload.ChurnKind]string{
		workload.ChurnLeave:   "leaves as planned",
		workload.ChurnCrash:   "crashes",
		workload.ChurnRestart: "restarts with an empty cache",
	}
	fmt.Fprintf(con.out, "      engine %d %s\n", ev.Engine+1, actions[ev.Kind])
}

func printDemoResult(con *console, file string, r *run.Result) error {
	s := report.Summarize(r)
	fmt.Fprintf(con.out, "\nCache reuse of returning turns: %.1f%% (%.1f%% of what an all-knowing cache would reach)\n",
		100*s.CacheReuse, 100*r.ReuseShare)
	fmt.Fprintf(con.out, "Skew, busiest engine over the mean, 1 s windows: mean %.2f, worst %.2f (%d of %d windows with enough load)\n",
		s.Skew, r.Skew.Worst, r.Skew.Windows, r.Skew.Total)
	fmt.Fprintf(con.out, "Control traffic: %.0f bytes per router and second\n", s.ControlBytes)
	fmt.Fprintf(con.out, "Requests: %d; refused as not run: %d; interrupted by a crash and told so: %d\n", s.Requests, r.Refused, r.Interrupted)
	fmt.Fprintf(con.out, "Lost: %d  mixed: %d  doubled: %d  falsely refused: %d\n", s.Lost, s.Mixed, s.Doubled, s.FalselyRefused)
	for _, text := range r.Samples {
		fmt.Fprintln(con.out, "  failure:", text)
	}
	if file != "" {
		if err := report.JSON(file, s); err != nil {
			return err
		}
	}
	return checkGuarantees([]*run.Result{r})
}
