package model

import "time"

// Window is the span over which benefit is added up.
const Window = 2 * time.Second

// Tally counts how requests ended.
type Tally struct {
	Asked, OnTime, Late, Refused, Left, Failed int
	// Owed and Earned are the benefit that there was to earn, and that was.
	Owed, Earned float64
}

// Share is the part of the benefit that was earned.
func (t Tally) Share() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Earned / t.Owed
}

func (t *Tally) add(o Tally) {
	t.Asked += o.Asked
	t.OnTime += o.OnTime
	t.Late += o.Late
	t.Refused += o.Refused
	t.Left += o.Left
	t.Failed += o.Failed
	t.Owed += o.Owed
	t.Earned += o.Earned
}

// Book counts how requests ended, by class and by the window in which they were asked.
type Book struct {
	tallies map[bookKey]*Tally
}

type bookKey struct {
	class   string
	account int
	window  int
}

func newBook() *Book {
	return &Book{tallies: make(map[bookKey]*Tally)}
}

func (b *Book) of(r *Request) *Tally {
	key := bookKey{r.Class.Name, r.Account, int(r.Asked / Window)}
	t := b.tallies[key]
	if t == nil {
		t = &Tally{}
		b.tallies[key] = t
	}
	return t
}

func (b *Book) asked(r *Request) {
	t := b.of(r)
	t.Asked++
	t.Owed += r.Class.Worth
}

func (b *Book) served(r *Request) {
	t := b.of(r)
	wait := r.firstEvent - r.Asked
	if wait <= r.Class.Objective && r.longestGap <= r.Class.MaxPause {
		t.OnTime++
		t.Earned += r.Class.Worth
		return
	}
	t.Late++
	t.Earned += r.Class.Worth * r.Class.LateShare
}

func (b *Book) refused(r *Request) { b.of(r).Refused++ }
func (b *Book) left(r *Request)    { b.of(r).Left++ }
func (b *Book) failed(r *Request)  { b.of(r).Failed++ }

// Sum adds up what pick accepts.
func (b *Book) Sum(pick func(class string, account int, from time.Duration) bool) Tally {
	var out Tally
	for key, t := range b.tallies {
		if pick(key.class, key.account, time.Duration(key.window)*Window) {
			out.add(*t)
		}
	}
	return out
}

// Between adds up a class's requests that were asked in a span; the empty class stands
// for all.
func (b *Book) Between(class string, from, to time.Duration) Tally {
	return b.Sum(func(c string, _ int, at time.Duration) bool {
		return (class == "" || c == class) && at >= from && at < to
	})
}
