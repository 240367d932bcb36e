package run

import (
	"maps"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
)

// surgeSettleTime is the length of the first part of a surge. It is measured
// separately, since all chats of the surge begin at once.
const surgeSettleTime = time.Second

// Surge compares the latencies before a surge with those during it. A request
// belongs to the phase in which it was sent.
type Surge struct {
	Account string  `json:"account"`
	Factor  float64 `json:"factor"`
	// Calls holds the latencies of calls by name. DirectCall is the name of calls
	// that bypass the routers.
	Calls map[string]Phases `json:"calls"`
	// FirstToken holds the latencies of first tokens by priority class; those of
	// the surging account are under its name instead.
	FirstToken map[string]Phases `json:"first_token"`
}

// Phases are the latencies of one kind of request before and during a surge.
type Phases struct {
	Before measure.Percentiles `json:"before"`
	During measure.Percentiles `json:"during"`
	// Settling is the surge's first second, which During excludes.
	Settling measure.Percentiles `json:"settling"`
	// Ratio is the 99th percentile during the surge divided by the one before,
	// or 0 if one of them is missing.
	Ratio float64 `json:"p99_ratio"`
	// FailedBefore and FailedDuring count requests without a response, whose
	// latencies are in no percentile.
	FailedBefore int `json:"failed_before"`
	FailedDuring int `json:"failed_during"`
	// FailedSettling counts the requests without a response that were sent in the
	// surge's first second.
	FailedSettling int `json:"failed_settling"`
}

// phase is a part of a run that is measured separately.
type phase int

const (
	beforeSurge phase = iota
	settling
	duringSurge
	phaseCount
)

// phaseTimes are the start and end of each phase.
type phaseTimes struct {
	from, to [phaseCount]time.Time
}

// newPhaseTimes returns the phases of a run that starts at from. Without a surge
// all of them are empty. No phase includes the ramp, in which the first chats
// begin.
func newPhaseTimes(w *workload.Workload, from time.Time) phaseTimes {
	var t phaseTimes
	s := &w.Surge
	if s.Account == "" {
		return t
	}
	start := from.Add(s.Start)
	t.from[beforeSurge] = from.Add(w.Chats.Ramp)
	t.to[beforeSurge] = start
	t.from[settling] = start
	t.to[settling] = start.Add(surgeSettleTime)
	t.from[duringSurge] = t.to[settling]
	t.to[duringSurge] = start.Add(s.Length)
	return t
}

// at returns the phase of the moment, or false if there is none.
func (t *phaseTimes) at(moment time.Time) (phase, bool) {
	for p := range phaseCount {
		if !moment.Before(t.from[p]) && moment.Before(t.to[p]) {
			return p, true
		}
	}
	return 0, false
}

// phaseLatencies collects latencies by phase and label. It is safe for
// concurrent use.
type phaseLatencies struct {
	times     phaseTimes
	latencies [phaseCount]*measure.Latency

	mu     sync.Mutex
	failed [phaseCount]map[string]int
}

func newPhaseLatencies(t phaseTimes) *phaseLatencies {
	p := &phaseLatencies{times: t}
	for i := range phaseCount {
		p.latencies[i] = measure.NewLatency()
		p.failed[i] = make(map[string]int)
	}
	return p
}

// add records a request that was sent at start and took d.
func (p *phaseLatencies) add(label string, start time.Time, d time.Duration) {
	if i, ok := p.times.at(start); ok {
		p.latencies[i].Add(label, d)
	}
}

// fail counts a request that was sent at start and got no response.
func (p *phaseLatencies) fail(label string, start time.Time) {
	i, ok := p.times.at(start)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[i][label]++
}

// result returns the phases of each label.
func (p *phaseLatencies) result() map[string]Phases {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, during := p.latencies[beforeSurge].Percentiles(), p.latencies[duringSurge].Percentiles()
	settled := p.latencies[settling].Percentiles()
	out := make(map[string]Phases)
	for _, label := range p.labels(before, settled, during) {
		out[label] = Phases{
			Before:         before[label],
			During:         during[label],
			Settling:       settled[label],
			Ratio:          ratio(during[label].P99, before[label].P99),
			FailedBefore:   p.failed[beforeSurge][label],
			FailedDuring:   p.failed[duringSurge][label],
			FailedSettling: p.failed[settling][label],
		}
	}
	return out
}

func (p *phaseLatencies) labels(latencies ...map[string]measure.Percentiles) []string {
	var all []string
	for _, byLabel := range latencies {
		all = slices.AppendSeq(all, maps.Keys(byLabel))
	}
	for _, byLabel := range p.failed {
		all = slices.AppendSeq(all, maps.Keys(byLabel))
	}
	slices.Sort(all)
	return slices.Compact(all)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// surge returns the comparison, or nil if the run had no surge.
func (r *runner) surge() *Surge {
	s := &r.w.Surge
	if s.Account == "" || r.o.Length <= s.Start+surgeSettleTime {
		return nil
	}
	return &Surge{
		Account:    s.Account,
		Factor:     s.Factor,
		Calls:      r.callPhases.result(),
		FirstToken: r.firstPhases.result(),
	}
}

// firstTokenLabel returns the label of a first-token latency. The surging account
// has a label of its own, since its chats may wait because the account exceeds
// its share, unlike others of the same priority class.
func (r *runner) firstTokenLabel(account, class string) string {
	if account == r.w.Surge.Account {
		return account
	}
	return class
}
