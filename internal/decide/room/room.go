// Package room decides whether another request fits into the memory of a model engine.
//
// Load pattern: prompts that are long against the memory and share few parts. The memory is full while
// slots are free, and the engine then preempts running requests in the middle of their streams and reads
// their prompts again.
//
// A running request holds its prompt and what it has generated so far, and frees both at its end. The
// memory that is needed at most is found by following the running requests to their expected ends:
// requests that end soon free what the others still grow by. The sum of what each holds at its own end
// would leave memory unused.
//
// The types are not safe for concurrent use and read no clock.
package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Part is a part of a prompt that several requests may share. An engine holds it once.
type Part struct {
	ID     uint64
	Tokens int
}

// Need is the memory that a request needs, in tokens.
type Need struct {
	// Own is the part of the prompt that no other request has, and Parts are the others.
	Own   int
	Parts []Part
	// Output is the expected length of the output, and Most the greatest; zero if that is not known.
	Output, Most int
}

// Known reports whether anything is known of the need.
func (n Need) Known() bool { return n.Own > 0 || n.Output > 0 || len(n.Parts) > 0 }

// Prompt returns the length of the prompt.
func (n Need) Prompt() int {
	total := n.Own
	for _, p := range n.Parts {
		total += p.Tokens
	}
	return total
}

const (
	// overrun is the share of what a request has generated beyond its expected length by which it is
	// expected to go on. Lengths are spread widely, so that the longer a request runs over, the more is to come.
	overrun = 0.3
	// smoothing is the least weight of the newest request in the means.
	smoothing = 1.0 / 32
	// raiseStep is the share of the memory that is kept free after the engine has stated that it is short
	// of memory, maxReserve the largest one, and reserveWindow the time constant in which it returns. shortFrom is
	// the share that must be needed by the known requests for that.
	raiseStep     = 0.01
	shortFrom     = 0.8
	maxReserve    = 0.3
	reserveWindow = 10 * time.Second
)

// Memory is the memory of one engine and the requests that hold it. The zero value has no bound.
type Memory struct {
	tokens  int
	holders map[string]holder
	// others is the number of requests at the engine of which nothing is known. They count as the mean, and
	// before that is known as the one that is to be sent.
	others int
	// meanHeld and meanOutput are the means of the needs, meanTime that of the time in seconds for which
	// requests have held memory.
	meanHeld, meanOutput, meanTime movingMean
	// reserve is the share that was kept free at reserveAt.
	reserve   float64
	reserveAt time.Time

	// growing and seen are used by peak only.
	growing []growth
	seen    map[uint64]bool
}

// holder is a running request.
type holder struct {
	need  Need
	since time.Time
}

// growth is what a request holds, and by how much it is expected to grow until its end.
type growth struct {
	held, remaining float64
	parts           []Part
}

// SetTokens sets the size of the memory; zero for no bound.
func (m *Memory) SetTokens(n int) { m.tokens = max(n, 0) }

// SetOthers sets how many requests are at the engine of which nothing is known.
func (m *Memory) SetOthers(n int) { m.others = max(n, 0) }

// Holders returns the number of requests at the engine whose needs are counted.
func (m *Memory) Holders() int { return len(m.holders) }

// Fits reports whether a request fits into a share of the memory, beside those that run, until all of
// them have ended. A request that fits into the empty memory fits if nothing else runs.
func (m *Memory) Fits(now time.Time, need Need, share float64) bool {
	if m.tokens == 0 || len(m.holders)+m.others == 0 {
		return true
	}
	return m.peak(now, m.assumed(need)) <= share*(1-m.reserved(now))*float64(m.tokens)
}

// Start records that a request has been sent to the engine.
func (m *Memory) Start(now time.Time, id string, need Need) {
	if m.tokens == 0 {
		return
	}
	need = m.assumed(need)
	if m.holders == nil {
		m.holders = make(map[string]holder)
	}
	m.meanHeld.add(float64(m.additional(need)))
	m.meanOutput.add(float64(need.Output))
	m.holders[id] = holder{need: need, since: now}
}

// assumed returns a need, or the mean one if nothing is known of it.
func (m *Memory) assumed(need Need) Need {
	if need.Known() {
		return need
	}
	return Need{Own: int(m.meanHeld.value), Output: int(m.meanOutput.value)}
}

// End records that a request has left the engine. completed means that its output is whole.
func (m *Memory) End(now time.Time, id string, completed bool) {
	h, ok := m.holders[id]
	if !ok {
		return
	}
	delete(m.holders, id)
	if completed {
		m.meanTime.add(now.Sub(h.since).Seconds())
	}
}

// Observe records what the engine has stated about its load. Requests that wait while slots are free, and while
// little memory is known to be, wait for memory: more has to be kept free for requests that grow beyond
// what was expected. With more memory free, they wait for their prompts to be read.
func (m *Memory) Observe(now time.Time, running, waiting, slots int) {
	if m.tokens == 0 || waiting == 0 || running+waiting > slots || m.peak(now, Need{}) < shortFrom*float64(m.tokens) {
		return
	}
	m.reserve, m.reserveAt = min(m.reserved(now)+raiseStep, maxReserve), now
}

// Requests returns how many requests of the mean need fit into the memory; false if there is no bound or
// the need is not known.
func (m *Memory) Requests() (n float64, bounded bool) {
	each := m.meanHeld.value + m.meanOutput.value/2
	if m.tokens == 0 || each == 0 {
		return 0, false
	}
	return float64(m.tokens) / each, true
}

func (m *Memory) reserved(now time.Time) float64 {
	return m.reserve * math.Exp(-now.Sub(m.reserveAt).Seconds()/reserveWindow.Seconds())
}

// additional returns the tokens of the prompt that the engine does not hold for another request.
func (m *Memory) additional(need Need) int {
	total := need.Own
	for _, p := range need.Parts {
		if !m.holds(p.ID) {
			total += p.Tokens
		}
	}
	return total
}

func (m *Memory) holds(part uint64) bool {
	for _, h := range m.holders {
		if slices.ContainsFunc(h.need.Parts, func(p Part) bool { return p.ID == part }) {
			return true
		}
	}
	return false
}

// peak returns the most memory that the running requests and another one need until they have ended. All
// generate tokens at the same pace: when one ends, those that have more left to generate still run.
func (m *Memory) peak(now time.Time, next Need) float64 {
	m.growing = m.growing[:0]
	for _, h := range m.holders {
		generated := m.generated(now.Sub(h.since), h.need)
		remaining := max(float64(h.need.Output)-generated, overrun*generated)
		if h.need.Most > 0 {
			remaining = min(remaining, float64(h.need.Most)-generated)
		}
		m.growing = append(m.growing, growth{held: float64(h.need.Own) + generated, remaining: remaining, parts: h.need.Parts})
	}
	others, output := m.meanHeld.value, m.meanOutput.value
	if others == 0 {
		others, output = float64(next.Prompt()), float64(next.Output)
	}
	for range m.others {
		m.growing = append(m.growing, growth{held: others + output/2, remaining: output / 2})
	}
	m.growing = append(m.growing, growth{held: float64(next.Own), remaining: float64(next.Output), parts: next.Parts})
	slices.SortFunc(m.growing, func(a, b growth) int { return cmp.Compare(b.remaining, a.remaining) })
	if m.seen == nil {
		m.seen = make(map[uint64]bool)
	}
	clear(m.seen)
	held, most := 0.0, 0.0
	for i, g := range m.growing {
		held += g.held
		for _, p := range g.parts {
			if !m.seen[p.ID] {
				m.seen[p.ID] = true
				held += float64(p.Tokens)
			}
		}
		most = max(most, held+g.remaining*float64(i+1))
	}
	return most
}

// generated returns how many tokens a request has generated after some time.
func (m *Memory) generated(elapsed time.Duration, need Need) float64 {
	out := float64(need.Output) / 2
	if m.meanTime.value > 0 && m.meanOutput.value > 0 {
		out = max(elapsed.Seconds(), 0) / m.meanTime.value * m.meanOutput.value
	}
	if need.Most > 0 {
		out = min(out, float64(need.Most))
	}
	return out
}

// Mean is the mean need of the requests to a service, as one router sees them. The zero value is ready to
// use. It is not safe for concurrent use.
type Mean struct{ tokens movingMean }

// Add adds a request. Half of its output stands for what it has generated on average while it runs.
func (m *Mean) Add(need Need) {
	if need.Known() {
		m.tokens.add(float64(need.Prompt()) + float64(need.Output)/2)
	}
}

// Requests returns how many requests of the mean need fit into a memory; zero if that is not known.
func (m *Mean) Requests(memory int) int {
	if m.tokens.value == 0 || memory == 0 {
		return 0
	}
	return max(int(float64(memory)/m.tokens.value), 1)
}

// movingMean is the mean of the first values, and then a moving average in which each further one has the
// weight smoothing.
type movingMean struct{ value, count float64 }

func (m *movingMean) add(value float64) {
	m.count++
	m.value += max(1/m.count, smoothing) * (value - m.value)
}
