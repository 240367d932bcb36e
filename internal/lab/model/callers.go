package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

func engineID(i int) string { return fmt.Sprintf("engine-%02d", i) }

// Class is a class of requests.
type Class struct {
	Name string
	// PerSecond is the mean number of requests per second of all accounts, at a load
	// factor of 1.
	PerSecond float64
	// Urgency ranks classes; 0 is the most urgent.
	Urgency int
	// Objective is the maximum latency of the first event of a response that is on time,
	// MaxPause the maximum gap between its later events.
	Objective, MaxPause time.Duration
	// FirstEventTimeout is how long a caller waits for the first event, Timeout for the
	// whole response.
	FirstEventTimeout, Timeout time.Duration
	// Value is the value of a response on time, LateShare the share of it that a late response is
	// worth.
	Value, LateShare float64
	// A prompt consists of a shared system prompt, a shared subject, and tokens of its
	// own. SystemPrompts and Subjects are the numbers of distinct ones,
	// SystemPromptTokens and SubjectTokens their mean lengths. UniqueTokens is the mean
	// length of the rest of the prompt, OutputTokens that of the response.
	SystemPrompts, SystemPromptTokens, Subjects, SubjectTokens, UniqueTokens, OutputTokens int
	// HintError is the spread of the logarithm of the caller's hint of the output's length around the
	// length; zero for no hint.
	HintError float64
	// Work is the mean execution time at a plain engine; zero for requests with
	// prompts.
	Work time.Duration
}

// CallerConfig configures the traffic of callers.
type CallerConfig struct {
	Classes  []Class
	Accounts int
	// Retries is the number of times that a caller retries after a refusal.
	Retries int
	// Repeats reports whether the callers of an account repeat a refused request at once, and again, instead of
	// waiting as they are told; nil means that none does.
	Repeats func(account int) bool
	// LeaveShare is the share of the callers that leave if the first event has not come within the objective.
	LeaveShare float64
	// TimeoutSpread is the largest share by which a caller shortens its timeout, drawn
	// uniformly.
	TimeoutSpread float64
	// BurstSize is the mean number of requests that arrive at once.
	BurstSize float64
	// EqualAccounts gives all accounts the same share of the traffic.
	EqualAccounts bool
	// LoadFactor returns the factor on the rate of a class and an account at a time;
	// nil means a factor of 1.
	LoadFactor func(now time.Duration, class, account int) float64
}

// requestState is the state of a request.
type requestState uint8

const (
	// pending requests are at a router, which must send or refuse them.
	pending requestState = iota
	sent
	ended
)

// Request is one attempt of a caller.
type Request struct {
	ID           int
	Class        *Class
	ClassIndex   int
	Account      int
	Prompt       []Segment
	UniqueTokens int
	OutputTokens int
	// Hint is the length of the output that the caller expects; zero for none.
	Hint int
	Work time.Duration
	// FirstArrived is when the first attempt arrived, Arrived when this one did.
	FirstArrived, Arrived time.Duration
	Attempt               int
	// timeout is how long the caller waits from the first attempt on, timeoutLeft how
	// long from this attempt on. The caller sends the latter with the request.
	timeout, timeoutLeft time.Duration

	arrivedAt  *Router
	sentBy     *Router
	engine     int
	state      requestState
	execution  *execution
	sentAt     time.Duration
	firstEvent time.Duration
	lastEvent  time.Duration
	longestGap time.Duration
	// beyond marks a request beyond its account's fair share.
	beyond bool
}

func (r *Request) sharedTokens() int {
	total := 0
	for _, p := range r.Prompt {
		total += p.Tokens
	}
	return total
}

// hasPrompt reports whether the request has a prompt that engines cache.
func (r *Request) hasPrompt() bool { return len(r.Prompt) > 0 }

// prefixKey returns the hash of the longest shared prefix of the prompt.
func (r *Request) prefixKey() uint64 { return rendezvous.ID(r.Prompt[len(r.Prompt)-1].ID) }

func (r *Request) promptTokens() int { return r.sharedTokens() + r.UniqueTokens }

// Remaining returns how long the caller still waits at now.
func (r *Request) Remaining(now time.Duration) time.Duration { return r.FirstArrived + r.timeout - now }

// callers generates requests and handles their outcome.
type callers struct {
	sim           *Simulation
	config        CallerConfig
	rng           *rand.Rand
	segmentTokens map[string]int
}

func newCallers(sim *Simulation, config CallerConfig) *callers {
	c := &callers{sim: sim, config: config, rng: rand.New(rand.NewPCG(sim.config.Seed, 2)), segmentTokens: make(map[string]int)}
	for class := range config.Classes {
		for account := range config.Accounts {
			c.scheduleNext(class, account)
		}
	}
	return c
}

// accountShare returns an account's share of the traffic. It falls with the account's
// index, so that a few accounts are large.
func (c *callers) accountShare(account int) float64 {
	if c.config.EqualAccounts {
		return 1 / float64(c.config.Accounts)
	}
	total := 0.0
	for i := range c.config.Accounts {
		total += 1 / float64(i+1)
	}
	return 1 / float64(account+1) / total
}

// scheduleNext schedules the next burst of a class and an account.
func (c *callers) scheduleNext(class, account int) {
	rate := c.config.Classes[class].PerSecond * c.accountShare(account)
	if c.config.LoadFactor != nil {
		rate *= c.config.LoadFactor(c.sim.Now(), class, account)
	}
	burstSize := max(c.config.BurstSize, 1)
	// The rate is evaluated at least every 100 ms, so that it follows LoadFactor.
	const maxInterval = 100 * time.Millisecond
	if rate <= 0 {
		c.sim.After(maxInterval, func() { c.scheduleNext(class, account) })
		return
	}
	wait := time.Duration(c.rng.ExpFloat64() * burstSize / rate * float64(time.Second))
	if wait > maxInterval {
		c.sim.After(maxInterval, func() { c.scheduleNext(class, account) })
		return
	}
	c.sim.After(wait, func() {
		for range c.geometric(burstSize) {
			c.arrive(c.newRequest(class, account))
		}
		c.scheduleNext(class, account)
	})
}

// geometric draws from a geometric distribution of at least 1 with the given mean.
func (c *callers) geometric(mean float64) int {
	n := 1
	for c.rng.Float64() > 1/mean {
		n++
	}
	return n
}

// logNormal draws a length from a log-normal distribution with the given mean, at least
// 1.
func (c *callers) logNormal(mean int, spread float64) int {
	return max(1, int(float64(mean)*math.Exp(spread*c.rng.NormFloat64()-spread*spread/2)))
}

// segment returns a shared segment. Its length is drawn once.
func (c *callers) segment(id string, mean int) Segment {
	if c.segmentTokens[id] == 0 {
		c.segmentTokens[id] = c.logNormal(mean, 0.6)
	}
	return Segment{ID: id, Tokens: c.segmentTokens[id]}
}

func (c *callers) newRequest(index, account int) *Request {
	class := &c.config.Classes[index]
	c.sim.lastID++
	r := &Request{
		ID: c.sim.lastID, Class: class, ClassIndex: index, Account: account, FirstArrived: c.sim.Now(),
		UniqueTokens: c.logNormal(class.UniqueTokens, 0.8), OutputTokens: c.logNormal(class.OutputTokens, 0.5),
		timeout: time.Duration((1 - c.config.TimeoutSpread*c.rng.Float64()) * float64(class.Timeout)),
	}
	if class.Work > 0 {
		r.Work = time.Duration(c.logNormal(int(class.Work), 0.5))
		c.sim.Results.recordRequest(r)
		return r
	}
	subject := int(math.Pow(c.rng.Float64(), 1.3) * float64(class.Subjects))
	if class.SystemPrompts > 0 {
		r.Prompt = append(r.Prompt, c.segment(fmt.Sprint(index, "-first-", subject%class.SystemPrompts), class.SystemPromptTokens))
	}
	r.Prompt = append(r.Prompt, c.segment(fmt.Sprint(index, "-subject-", subject), class.SubjectTokens))
	if class.HintError > 0 {
		r.Hint = max(1, int(float64(r.OutputTokens)*math.Exp(class.HintError*c.rng.NormFloat64())))
	}
	c.sim.Results.recordRequest(r)
	return r
}

// arrive delivers an attempt to a random router.
func (c *callers) arrive(r *Request) {
	now := c.sim.Now()
	r.Arrived = now
	r.timeoutLeft = r.Remaining(now)
	r.arrivedAt = c.sim.Routers[c.rng.IntN(len(c.sim.Routers))]
	attempt := *r
	req := &attempt
	c.sim.At(min(now+r.Class.FirstEventTimeout, r.FirstArrived+r.timeout), func() {
		if req.firstEvent == 0 {
			c.sim.abort(req)
		}
	})
	c.sim.At(r.FirstArrived+r.timeout, func() { c.sim.abort(req) })
	if c.leaves(r) {
		c.sim.At(max(r.FirstArrived+r.Class.Objective, now), func() {
			if req.firstEvent == 0 {
				c.sim.abort(req)
			}
		})
	}
	req.arrivedAt.policy.Arrived(req)
}

// leaves reports whether the caller of a request leaves early.
func (c *callers) leaves(r *Request) bool { return float64(r.ID%100) < 100*c.config.LeaveShare }

const (
	// repeatPause and maxRepeats are how callers repeat at once.
	repeatPause = 20 * time.Millisecond
	maxRepeats  = 8
)

// retry returns how long the caller waits before it retries, and how often it does.
func (c *callers) retry(account int, retryAfter time.Duration) (wait time.Duration, retries int) {
	if c.config.Repeats != nil && c.config.Repeats(account) {
		return repeatPause, maxRepeats
	}
	return retryAfter, c.config.Retries
}

// maxDelayShare is the largest share of its remaining time that a caller waits before a
// retry.
const maxDelayShare = 1.0 / 3

func (c *callers) requestRefused(r *Request, retryAfter time.Duration) {
	remaining := r.Remaining(c.sim.Now())
	retryAfter, retries := c.retry(r.Account, retryAfter)
	if r.Attempt >= retries || remaining <= 0 {
		c.sim.Results.recordRefused(r)
		return
	}
	wait := min(retryAfter, time.Duration(maxDelayShare*float64(remaining)))
	retry := Request{
		ID: r.ID, Class: r.Class, ClassIndex: r.ClassIndex, Account: r.Account, Prompt: r.Prompt, UniqueTokens: r.UniqueTokens, OutputTokens: r.OutputTokens, Hint: r.Hint, Work: r.Work,
		FirstArrived: r.FirstArrived, Attempt: r.Attempt + 1, timeout: r.timeout,
	}
	c.sim.After(wait, func() { c.arrive(&retry) })
}

func (c *callers) requestFailed(r *Request) { c.sim.Results.recordFailed(r) }
