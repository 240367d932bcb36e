package model

import "time"

// Window is the interval over which results are summed.
const Window = 2 * time.Second

// Counts counts how requests ended.
type Counts struct {
	Requests, OnTime, Late, Refused, Aborted, Failed int
	// OfferedValue is the value of all requests, EarnedValue the value earned.
	OfferedValue, EarnedValue float64
}

// EarnedShare returns the earned share of the offered value, 1 if there is none.
func (c Counts) EarnedShare() float64 {
	if c.OfferedValue == 0 {
		return 1
	}
	return c.EarnedValue / c.OfferedValue
}

func (c *Counts) add(other Counts) {
	c.Requests += other.Requests
	c.OnTime += other.OnTime
	c.Late += other.Late
	c.Refused += other.Refused
	c.Aborted += other.Aborted
	c.Failed += other.Failed
	c.OfferedValue += other.OfferedValue
	c.EarnedValue += other.EarnedValue
}

// Results holds the counts by class, account, and the window of the first attempt.
type Results struct {
	counts map[resultKey]*Counts
}

type resultKey struct {
	class   string
	account int
	window  int
}

func newResults() *Results {
	return &Results{counts: make(map[resultKey]*Counts)}
}

func (r *Results) countsFor(req *Request) *Counts {
	key := resultKey{req.Class.Name, req.Account, int(req.FirstArrived / Window)}
	counts := r.counts[key]
	if counts == nil {
		counts = &Counts{}
		r.counts[key] = counts
	}
	return counts
}

func (r *Results) recordRequest(req *Request) {
	counts := r.countsFor(req)
	counts.Requests++
	counts.OfferedValue += req.Class.Value
}

func (r *Results) recordServed(req *Request) {
	counts := r.countsFor(req)
	wait := req.firstEvent - req.FirstArrived
	if wait <= req.Class.Objective && req.longestGap <= req.Class.MaxPause {
		counts.OnTime++
		counts.EarnedValue += req.Class.Value
		return
	}
	counts.Late++
	counts.EarnedValue += req.Class.Value * req.Class.LateShare
}

func (r *Results) recordRefused(req *Request) { r.countsFor(req).Refused++ }
func (r *Results) recordAborted(req *Request) { r.countsFor(req).Aborted++ }
func (r *Results) recordFailed(req *Request)  { r.countsFor(req).Failed++ }

// Sum returns the sum of the counts that pick accepts.
func (r *Results) Sum(pick func(class string, account int, from time.Duration) bool) Counts {
	var out Counts
	for key, counts := range r.counts {
		if pick(key.class, key.account, time.Duration(key.window)*Window) {
			out.add(*counts)
		}
	}
	return out
}

// Between returns the counts of a class's requests whose window starts in [from, to).
// An empty class selects all classes.
func (r *Results) Between(class string, from, to time.Duration) Counts {
	return r.Sum(func(c string, _ int, at time.Duration) bool {
		return (class == "" || c == class) && at >= from && at < to
	})
}
