package run

import (
	"maps"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
)

// surgeSettle is measured apart: all the surge's chats begin at one moment.
const surgeSettle = time.Second

// Surge compares the time before a surge with the time during it. What a
// request belongs to is decided by when it was sent.
type Surge struct {
	Account string  `json:"account"`
	Factor  float64 `json:"factor"`
	// Calls are by name. DirectCall is a call that no router has seen.
	Calls map[string]Phases `json:"calls"`
	// FirstToken is by priority class, and by name for the surging account.
	FirstToken map[string]Phases `json:"first_token"`
}

// Phases are the times of one kind of request before and during a surge.
type Phases struct {
	Before measure.Percentiles `json:"before"`
	During measure.Percentiles `json:"during"`
	// Settling is the surge's first second, which is not in During.
	Settling measure.Percentiles `json:"settling"`
	// Ratio is the 99th percentile during the surge over the one before; 0
	// where one of them is missing.
	Ratio float64 `json:"p99_ratio"`
	// FailedBefore and FailedDuring count requests without an answer, whose
	// times are in no percentile.
	FailedBefore int `json:"failed_before"`
	FailedDuring int `json:"failed_during"`
	// FailedSettling is of the first second.
	FailedSettling int `json:"failed_settling"`
}

// phase is a part of a run that is measured apart.
type phase int

const (
	beforeSurge phase = iota
	settling
	duringSurge
	phaseCount
)

// timetable says when the phases are.
type timetable struct {
	from, to [phaseCount]time.Time
}

// newTimetable returns the phases of a run that starts at from. Without a
// surge all of them are empty. The time in which the first chats begin is in none.
func newTimetable(w *workload.Workload, from time.Time) timetable {
	var t timetable
	s := &w.Surge
	if s.Account == "" {
		return t
	}
	start := from.Add(s.Start)
	t.from[beforeSurge] = from.Add(w.Chats.Ramp)
	t.to[beforeSurge] = start
	t.from[settling] = start
	t.to[settling] = start.Add(surgeSettle)
	t.from[duringSurge] = t.to[settling]
	t.to[duringSurge] = start.Add(s.Length)
	return t
}

// at returns the phase of the moment, and false if it is in none.
func (t *timetable) at(moment time.Time) (phase, bool) {
	for p := range phaseCount {
		if !moment.Before(t.from[p]) && moment.Before(t.to[p]) {
			return p, true
		}
	}
	return 0, false
}

// phased collects times by phase and label. It is safe for concurrent use.
type phased struct {
	table timetable
	times [phaseCount]*measure.Latency

	mu     sync.Mutex
	failed [phaseCount]map[string]int
}

func newPhased(t timetable) *phased {
	p := &phased{table: t}
	for i := range phaseCount {
		p.times[i] = measure.NewLatency()
		p.failed[i] = make(map[string]int)
	}
	return p
}

// add records a request that was sent at start and took d.
func (p *phased) add(label string, start time.Time, d time.Duration) {
	if i, ok := p.table.at(start); ok {
		p.times[i].Add(label, d)
	}
}

// fail counts a request that was sent at start and got no answer.
func (p *phased) fail(label string, start time.Time) {
	i, ok := p.table.at(start)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed[i][label]++
}

// result joins the phases of each label.
func (p *phased) result() map[string]Phases {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, during := p.times[beforeSurge].Percentiles(), p.times[duringSurge].Percentiles()
	settled := p.times[settling].Percentiles()
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

func (p *phased) labels(times ...map[string]measure.Percentiles) []string {
	var all []string
	for _, byLabel := range times {
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

// surge returns the comparison, or nil where the run had no surge.
func (r *runner) surge() *Surge {
	s := &r.w.Surge
	if s.Account == "" || r.o.Length <= s.Start+surgeSettle {
		return nil
	}
	return &Surge{
		Account:    s.Account,
		Factor:     s.Factor,
		Calls:      r.callPhases.result(),
		FirstToken: r.firstPhases.result(),
	}
}

// firstTokenLabel keeps the surging account apart from its class: its own
// chats may wait for its share.
func (r *runner) firstTokenLabel(account, class string) string {
	if account == r.w.Surge.Account {
		return account
	}
	return class
}
