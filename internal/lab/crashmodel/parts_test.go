package crashmodel

import (
	"fmt"
	"os"
	"testing"
	"text/tabwriter"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"github.com/stretchr/testify/require"
)

// routersPartDesign returns the design of the routers.
func routersPartDesign() PartDesign {
	return PartDesign{Name: "as built", Limits: quarantine.DefaultLimits(), Isolate: true}
}

// partDesigns returns the designs that were weighed.
func partDesigns() []PartDesign {
	limits := quarantine.DefaultLimits()
	never, one, three, five := limits, limits, limits, limits
	never.SuspectScore = 1e9
	one.PartSuspectEnds, one.SuspectScore = 1, 5
	three.PartEnds, three.GuiltyScore = 3, 8
	five.PartEnds = 5
	return []PartDesign{
		{Name: "none", Off: true, Limits: limits},
		{Name: "five ends since the last complete answer", CountOnly: true, Limits: five},
		{Name: "attribution, five ends", Limits: withLimits(five, never)},
		{Name: "attribution, four ends", Limits: never},
		{Name: "and isolate from two (as built)", Limits: limits, Isolate: true},
		{Name: "as built, one at a time", Limits: limits, Isolate: true, Single: true},
		{Name: "as built, five ends", Limits: five, Isolate: true},
		{Name: "as built, three ends", Limits: three, Isolate: true},
		{Name: "as built, isolate from one", Limits: one, Isolate: true},
		{Name: "as built, no retry by the router", Limits: limits, Isolate: true, NoRetry: true},
		{Name: "as built, placed by the first unproven part", Limits: limits, Isolate: true, PlaceUnproven: true},
	}
}

// withLimits returns limits with the number of ends of others.
func withLimits(ends, rest quarantine.Limits) quarantine.Limits {
	rest.PartEnds = ends.PartEnds
	return rest
}

func smallParts() PartLoad {
	return PartLoad{
		Routers: 6, Engines: 12, Rate: 76, Documents: 60, First: 100 * time.Millisecond, Answer: 700 * time.Millisecond,
		CrashAfter: 60 * time.Millisecond, Back: 2300 * time.Millisecond, Spread: 30 * time.Millisecond, Length: 24 * time.Second,
	}
}

func largeParts() PartLoad {
	l := smallParts()
	l.Routers, l.Engines, l.Rate, l.Documents, l.Spread, l.Length = 295, 262, 1500, 1300, 100*time.Millisecond, 16*time.Second
	return l
}

func withParts(l PartLoad, change func(*PartLoad)) PartLoad {
	change(&l)
	return l
}

type partScenario struct {
	name string
	load PartLoad
}

func badScenarios() []partScenario {
	return []partScenario{
		{"one a second", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate = 1, 1 })},
		{"ten a second", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate = 1, 10 })},
		{"a hundred a second", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate = 1, 100 })},
		{"two, ten a second each", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate = 2, 10 })},
		{"ten a second, other parts each time", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate, l.Moving = 1, 10, true })},
		{"ten a second with a rare companion", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate, l.Companion = 1, 10, true })},
		{"two, five a second each, with a rare companion", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate, l.Companion = 2, 5, true })},
		{"three a second, an engine ends each 2 s", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate, l.Ends = 1, 3, 0.5 })},
		{"ten a second, long answers", withParts(smallParts(), func(l *PartLoad) { l.Bad, l.BadRate, l.Answer = 1, 10, 3*time.Second })},
	}
}

func soundScenarios() []partScenario {
	return []partScenario{
		{"an engine ends each 0.4 s", withParts(smallParts(), func(l *PartLoad) { l.Ends = 2.5 })},
		{"an engine ends each 0.4 s, long answers", withParts(smallParts(), func(l *PartLoad) { l.Ends, l.Answer = 2.5, 3*time.Second })},
		{"an engine ends each 0.4 s, three requests a second", withParts(smallParts(), func(l *PartLoad) { l.Ends, l.Rate = 2.5, 3 })},
		{"an engine ends each 0.4 s, ten requests a second, long answers", withParts(smallParts(), func(l *PartLoad) { l.Ends, l.Rate, l.Answer = 2.5, 10, 3*time.Second })},
		{"a third end each 1.3 s", withParts(smallParts(), func(l *PartLoad) { l.MassEvery, l.MassShare = 1300*time.Millisecond, 0.34 })},
		{"a crashing request, repeated ten times a second", withParts(smallParts(), func(l *PartLoad) { l.Repeated, l.BadRate = true, 10 })},
	}
}

func largeScenarios() []partScenario {
	return []partScenario{
		{"295 routers, one a second", withParts(largeParts(), func(l *PartLoad) { l.Bad, l.BadRate = 1, 1 })},
		{"295 routers, ten a second", withParts(largeParts(), func(l *PartLoad) { l.Bad, l.BadRate = 1, 10 })},
		{"295 routers, three hundred a second", withParts(largeParts(), func(l *PartLoad) { l.Bad, l.BadRate = 1, 300 })},
		{"295 routers, ten engines end each second", withParts(largeParts(), func(l *PartLoad) { l.Ends = 10 })},
	}
}

// TestPartDesigns prints the results of all designs with -v, as means of seeds.
func TestPartDesigns(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints a table with -v")
	}
	seeds := uint64(6)
	scenarios, designs := append(badScenarios(), soundScenarios()...), partDesigns()
	if os.Getenv("LARGE") != "" {
		scenarios, designs, seeds = largeScenarios(), append(designs[:2:2], designs[4:6]...), 1
	}
	for _, sc := range scenarios {
		fmt.Println("\n" + sc.name)
		w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
		fmt.Fprintln(w, "design\tended\tmax\tlate\tfirst %\tafter %\trefused\theld\tcondemned\trecords/router")
		for _, d := range designs {
			var sum PartResult
			most := 0
			for seed := range seeds {
				r := RunParts(d, sc.load, seed)
				most = max(most, r.Ended)
				sum.Ended += r.Ended
				sum.Late += r.Late
				sum.Sound += r.Sound
				sum.First += r.First
				sum.AfterSound += r.AfterSound
				sum.AfterFirst += r.AfterFirst
				sum.Refused += r.Refused
				sum.Held += r.Held
				sum.Condemned += r.Condemned
				sum.Records += r.Records
			}
			mean := func(n int) float64 { return float64(n) / float64(seeds) }
			share := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
			fmt.Fprintf(w, "%s\t%.1f\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\n", d.Name, mean(sum.Ended), most, mean(sum.Late),
				share(sum.First, sum.Sound), share(sum.AfterFirst, sum.AfterSound), mean(sum.Refused), mean(sum.Held), mean(sum.Condemned), mean(sum.Records))
		}
		_ = w.Flush()
	}
}

// Guards against a part that crashes engines and reaches them after it has ended five, and against sound
// parts beside it that are condemned with it.
func TestBadPartsAreStopped(t *testing.T) {
	for seed := range uint64(3) {
		for _, sc := range badScenarios() {
			r := RunParts(routersPartDesign(), sc.load, seed)
			require.LessOrEqual(t, r.Late, 3, "%s, seed %d: %+v", sc.name, seed, r)
			require.GreaterOrEqual(t, 2*r.AfterFirst, r.AfterSound, "%s, seed %d: %+v", sc.name, seed, r)
			require.Zero(t, r.Condemned, "%s, seed %d: %+v", sc.name, seed, r)
		}
	}
}

// Guards against condemning parts because engines end by themselves or by a single request.
func TestSoundPartsAreNotCondemned(t *testing.T) {
	for seed := range uint64(3) {
		for _, sc := range soundScenarios() {
			r := RunParts(routersPartDesign(), sc.load, seed)
			require.Zero(t, r.Condemned, "%s, seed %d: %+v", sc.name, seed, r)
			require.Zero(t, r.Refused, "%s, seed %d: %+v", sc.name, seed, r)
		}
	}
}
