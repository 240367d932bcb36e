// Package report renders the results of runs as a table for the terminal, as
// JSON, and as an HTML page with plots.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/lab/bench/run"
	"github.com/zeebo/errs"
)

// Error is the class of failures to write a report.
var Error = errs.Class("report")

const (
	cellPadding = 2
	fileMode    = 0o644
	// shownSamples bounds the failures in the table; the JSON has more.
	shownSamples = 5
)

// Table writes one line per result, followed by the details of each result.
func Table(out io.Writer, results []*run.Result) error {
	t := tabwriter.NewWriter(out, 0, 0, cellPadding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "strategy\treuse\tof bound\tskew mean\tp99\tworst\tcount skew\tB/s router\tfirst p50\tp99 ms\tnext p50\tp99 ms\trequests\trefused\tinterrupted\tlost\tmixed\tdoubled\tfalse no\t")
	for _, r := range results {
		first, next := largestClass(r.FirstToken), largestClass(r.NextToken)
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.0f\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			r.Strategy, r.CacheReuse, r.ReuseShare, r.Skew.Mean, r.Skew.P99, r.Skew.Worst, r.SkewRequests.Mean, r.ControlBytes,
			first.P50, first.P99, next.P50, next.P99,
			r.Requests, r.Refused, r.Interrupted, r.Lost, r.Mixed, r.Doubled, r.FalselyRefused)
	}
	if err := t.Flush(); err != nil {
		return Error.Wrap(err)
	}
	for _, r := range results {
		writeDetails(out, r)
	}
	return nil
}

// largestClass returns the percentiles of the class with the most samples:
// percentiles of several histograms cannot be merged.
func largestClass(byClass map[string]measure.Percentiles) measure.Percentiles {
	var largest measure.Percentiles
	for _, p := range byClass {
		if p.Count > largest.Count {
			largest = p
		}
	}
	return largest
}

// writeDetails writes the latencies by class and the failures of one run.
func writeDetails(out io.Writer, r *run.Result) {
	fmt.Fprintf(out, "\n%s on %s, seed %d, %.0f s: all-knowing bound %.3f over %d returning turns; skew over %d of %d windows; churn %v\n",
		r.Strategy, r.Workload, r.Seed, r.Seconds, r.ReuseBound, r.Returning, r.Skew.Windows, r.Skew.Total, r.Churn)
	fmt.Fprintf(out, "  control bytes per router and second: %.0f by UDP, %.0f by TCP, sent and received; busiest router %.0f\n",
		r.ControlUDP, r.ControlTCP, r.ControlBytesPeak)
	up := &r.ControlUpstream
	fmt.Fprintf(out, "  beside these, to and from upstreams: polls %.0f (status reports %.0f, cache events %.0f), KV transfers %.0f; busiest router %.0f\n",
		up.Polls(), up.Status, up.Events, up.Transfers, up.Busiest)
	fmt.Fprintf(out, "  skew by requests: mean %.2f, p99 %.2f; in windows of %s: mean %.2f, p99 %.2f, worst %.2f (%d of %d)\n",
		r.SkewRequests.Mean, r.SkewRequests.P99, run.SkewShortWindow, r.SkewShort.Mean, r.SkewShort.P99, r.SkewShort.Worst, r.SkewShort.Windows, r.SkewShort.Total)
	fmt.Fprintf(out, "  admission: %v\n", r.Admission)
	writeLatencies(out, "first token", r.FirstToken)
	writeLatencies(out, "next token", r.NextToken)
	writeLatencies(out, "call", r.Calls)
	writeSurge(out, r.Surge)
	if len(r.Outcomes) > 0 {
		fmt.Fprintf(out, "  failures by code and whether it ran: %v; engines lost %d requests in crashes\n", r.Outcomes, r.EngineLost)
	}
	for _, s := range r.Samples[:min(len(r.Samples), shownSamples)] {
		fmt.Fprintln(out, "  sample:", s)
	}
}

func writeLatencies(out io.Writer, what string, byLabel map[string]measure.Percentiles) {
	for _, label := range slices.Sorted(maps.Keys(byLabel)) {
		p := byLabel[label]
		fmt.Fprintf(out, "  %s, %s: %d, p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, max %.1f ms\n",
			what, label, p.Count, p.P50, p.P95, p.P99, p.Max)
	}
}

// writeSurge compares the time before a surge with the surge; nil writes nothing.
func writeSurge(out io.Writer, s *run.Surge) {
	if s == nil {
		return
	}
	fmt.Fprintf(out, "  surge of %s, chats %g times the usual:\n", s.Account, s.Factor)
	writePhases(out, "call", s.Calls)
	writePhases(out, "first token", s.FirstToken)
}

func writePhases(out io.Writer, what string, byLabel map[string]run.Phases) {
	for _, label := range slices.Sorted(maps.Keys(byLabel)) {
		p := byLabel[label]
		fmt.Fprintf(out, "    %s, %s: p99 %.2f times; %s; %s; %s\n", what, label, p.Ratio,
			formatPhase("before", p.Before, p.FailedBefore),
			formatPhase("first second", p.Settling, p.FailedSettling),
			formatPhase("then", p.During, p.FailedDuring))
	}
}

func formatPhase(name string, p measure.Percentiles, failed int) string {
	return fmt.Sprintf("%s %d, p50 %.1f ms, p99 %.1f ms, max %.1f ms, %d failed", name, p.Count, p.P50, p.P99, p.Max, failed)
}

// JSON writes value to a file as indented JSON.
func JSON(file string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(file, append(data, '\n'), fileMode))
}

// Summary is the short form of a result.
type Summary struct {
	CacheReuse     float64 `json:"cache_reuse"`
	Skew           float64 `json:"skew"`
	ControlBytes   float64 `json:"control_bytes_per_router_second"`
	Requests       int     `json:"requests"`
	Lost           int     `json:"lost"`
	Mixed          int     `json:"mixed"`
	Doubled        int     `json:"doubled"`
	FalselyRefused int     `json:"falsely_refused"`
}

// Summarize returns the short form of a result.
func Summarize(r *run.Result) Summary {
	return Summary{
		CacheReuse:     r.CacheReuse,
		Skew:           r.Skew.Mean,
		ControlBytes:   r.ControlBytes,
		Requests:       r.Requests,
		Lost:           r.Lost,
		Mixed:          r.Mixed,
		Doubled:        r.Doubled,
		FalselyRefused: r.FalselyRefused,
	}
}
