package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

func engineID(i int) string { return fmt.Sprintf("engine-%02d", i) }

// Class is a kind of request.
type Class struct {
	Name string
	// PerSecond is how many come in a second.
	PerSecond float64
	// Urgency ranks classes, 0 first.
	Urgency int
	// Objective is the time within which the first event is on time, MaxPause the same
	// for each later one.
	Objective, MaxPause time.Duration
	// Patience is how long a caller waits for the first event, Limit for all.
	Patience, Limit time.Duration
	// Worth is the benefit on time, LateShare the part of it when late.
	Worth, LateShare float64
	// First and Subject are the shared parts of a prompt: how many there are and how
	// long they are; Own is the length of the request's own part and Output of its
	// answer. Lengths are means.
	Firsts, FirstTokens, Subjects, SubjectTokens, Own, Output int
	// Work is the mean time of a request at a plain engine; zero for prompts.
	Work time.Duration
}

// CallerConfig says who calls.
type CallerConfig struct {
	Classes  []Class
	Accounts int
	// Retries is how often a caller comes back after a refusal.
	Retries int
	// LimitSpread is by which part of it at most a caller gives a shorter time limit.
	LimitSpread float64
	// Clump is how many requests come at once, in the mean.
	Clump float64
	// Load is by how much the rate differs from the usual at a moment, for a class and
	// an account; nil means not at all.
	Load func(now time.Duration, class, account int) float64
}

// state is where a request is.
type state uint8

const (
	// held requests are the router's: to be sent or refused.
	held state = iota
	sent
	ended
)

// Request is one attempt of a caller.
type Request struct {
	ID      int
	Class   *Class
	Kind    int
	Account int
	Prompt  []Part
	Own     int
	Output  int
	Work    time.Duration
	// Asked is when the caller first asked, Arrived when this attempt came.
	Asked, Arrived time.Duration
	Attempt        int
	// limit is how long the caller waits in all, limitLeft how long as of this attempt,
	// which is what it says.
	limit, limitLeft time.Duration

	at         *Router
	router     *Router
	engine     int
	state      state
	run        *run
	sentAt     time.Duration
	firstEvent time.Duration
	lastEvent  time.Duration
	longestGap time.Duration
}

func (r *Request) sharedTokens() int {
	total := 0
	for _, p := range r.Prompt {
		total += p.Tokens
	}
	return total
}

// prompted says whether the request has a prompt that engines cache.
func (r *Request) prompted() bool { return len(r.Prompt) > 0 }

// key is the hash of the longest shared part of the prompt.
func (r *Request) key() uint64 { return rendezvous.ID(r.Prompt[len(r.Prompt)-1].ID) }

func (r *Request) promptTokens() int { return r.sharedTokens() + r.Own }

// Remaining is how long the caller still waits at now.
func (r *Request) Remaining(now time.Duration) time.Duration { return r.Asked + r.limit - now }

// callers make requests and take answers.
type callers struct {
	w      *World
	config CallerConfig
	rng    *rand.Rand
	sizes  map[string]int
}

func newCallers(w *World, config CallerConfig) *callers {
	c := &callers{w: w, config: config, rng: rand.New(rand.NewPCG(w.config.Seed, 2)), sizes: make(map[string]int)}
	for kind := range config.Classes {
		for account := range config.Accounts {
			c.next(kind, account)
		}
	}
	return c
}

// accountShare is an account's part of the traffic: few are large.
func (c *callers) accountShare(account int) float64 {
	total := 0.0
	for i := range c.config.Accounts {
		total += 1 / float64(i+1)
	}
	return 1 / float64(account+1) / total
}

// next sets the next requests of a class and an account.
func (c *callers) next(kind, account int) {
	rate := c.config.Classes[kind].PerSecond * c.accountShare(account)
	if c.config.Load != nil {
		rate *= c.config.Load(c.w.Now(), kind, account)
	}
	clump := max(c.config.Clump, 1)
	// The rate is looked at again after a tenth of a second at most, so that it
	// follows Load.
	const look = 100 * time.Millisecond
	if rate <= 0 {
		c.w.After(look, func() { c.next(kind, account) })
		return
	}
	wait := time.Duration(c.rng.ExpFloat64() * clump / rate * float64(time.Second))
	if wait > look {
		c.w.After(look, func() { c.next(kind, account) })
		return
	}
	c.w.After(wait, func() {
		for range c.geometric(clump) {
			c.arrive(c.draw(kind, account))
		}
		c.next(kind, account)
	})
}

// geometric draws a number of at least one with the given mean.
func (c *callers) geometric(mean float64) int {
	n := 1
	for c.rng.Float64() > 1/mean {
		n++
	}
	return n
}

// around draws a length around a mean, long ones among them.
func (c *callers) around(mean int, spread float64) int {
	return max(1, int(float64(mean)*math.Exp(spread*c.rng.NormFloat64()-spread*spread/2)))
}

// part returns a shared part, which has the same length each time.
func (c *callers) part(id string, mean int) Part {
	if c.sizes[id] == 0 {
		c.sizes[id] = c.around(mean, 0.6)
	}
	return Part{ID: id, Tokens: c.sizes[id]}
}

func (c *callers) draw(kind, account int) *Request {
	class := &c.config.Classes[kind]
	c.w.nextID++
	r := &Request{
		ID: c.w.nextID, Class: class, Kind: kind, Account: account, Asked: c.w.Now(),
		Own: c.around(class.Own, 0.8), Output: c.around(class.Output, 0.5),
		limit: time.Duration((1 - c.config.LimitSpread*c.rng.Float64()) * float64(class.Limit)),
	}
	if class.Work > 0 {
		r.Work = time.Duration(c.around(int(class.Work), 0.5))
		c.w.Book.asked(r)
		return r
	}
	subject := int(math.Pow(c.rng.Float64(), 1.3) * float64(class.Subjects))
	if class.Firsts > 0 {
		r.Prompt = append(r.Prompt, c.part(fmt.Sprint(kind, "-first-", subject%class.Firsts), class.FirstTokens))
	}
	r.Prompt = append(r.Prompt, c.part(fmt.Sprint(kind, "-subject-", subject), class.SubjectTokens))
	c.w.Book.asked(r)
	return r
}

// arrive brings an attempt to a router.
func (c *callers) arrive(r *Request) {
	now := c.w.Now()
	r.Arrived = now
	r.limitLeft = r.Remaining(now)
	r.at = c.w.Routers[c.rng.IntN(len(c.w.Routers))]
	attempt := *r
	req := &attempt
	c.w.At(min(now+r.Class.Patience, r.Asked+r.limit), func() {
		if req.firstEvent == 0 {
			c.w.leave(req)
		}
	})
	c.w.At(r.Asked+r.limit, func() { c.w.leave(req) })
	req.at.policy.Arrived(req)
}

// callersShare is the part of the time left for which callers stay away at most.
const callersShare = 1.0 / 3

func (c *callers) refused(r *Request, retryAfter time.Duration) {
	left := r.Remaining(c.w.Now())
	if r.Attempt >= c.config.Retries || left <= 0 {
		c.w.Book.refused(r)
		return
	}
	wait := min(retryAfter, time.Duration(callersShare*float64(left)))
	again := Request{
		ID: r.ID, Class: r.Class, Kind: r.Kind, Account: r.Account, Prompt: r.Prompt, Own: r.Own, Output: r.Output, Work: r.Work,
		Asked: r.Asked, Attempt: r.Attempt + 1, limit: r.limit,
	}
	c.w.After(wait, func() { c.arrive(&again) })
}

func (c *callers) failed(r *Request) { c.w.Book.failed(r) }
