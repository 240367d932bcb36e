package main

import (
	"fmt"
	"time"
)

const (
	// garbledEvery makes 2.9 in 100 answers of an engine faulty; the sheets have 3 in 100.
	garbledEvery = 34
	// soundEvents is the number of events before the bytes that are no chunk.
	soundEvents = 3
	// twiceBound is the time after which the engine before must not work any more.
	twiceBound = 400 * time.Millisecond
)

func init() { cases["resume"] = runResume }

// runResume breaks streams by bytes that are no chunk, and looks whether the engine that sent them is still at
// work when another one goes on with the stream.
func runResume(l *lab, trouble bool) (broken []string, err error) {
	const models = 5
	if err := startSmall(l, 3, models); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	if trouble {
		for _, e := range l.engines[:models*3/5] {
			e.faultEvery = garbledEvery
			e.fault = func(x *answer) {
				if !x.beginStream() || !x.stream(soundEvents, true) {
					return
				}
				x.e.lab.note("engine %s sends bytes that are no chunk in its answer to %s", x.e.id, x.run.id)
				if writef(x.c, "~~~ not a chunk ~~~\r\n") {
					x.stream(streamEvents, true)
				}
			}
		}
	}
	c := &callers{lab: l}
	load(12, time.Now().Add(50*time.Second), func() { c.send(c.summary(keyOffice), "") })
	served := 0
	for _, r := range c.all() {
		if r.err == nil && r.status == 200 && len(r.events()) == streamEvents {
			served++
		}
	}
	l.note("%d of %d streams complete", served, len(c.all()))
	if served < len(c.all())*9/10 {
		return nil, errNotServed
	}
	runs := make(map[string][]run)
	for _, e := range l.engines {
		e.mu.Lock()
		for _, r := range e.runs {
			runs[r.id] = append(runs[r.id], *r)
		}
		e.mu.Unlock()
	}
	for id, list := range runs {
		for _, first := range list {
			for _, next := range list {
				if next.began.After(first.began) && first.ended.Sub(next.began) > twiceBound {
					broken = append(broken, fmt.Sprintf("request %s goes on at %s after event %s, and %s works on it for %v more (%s)",
						id, next.engine, next.lastEvent, first.engine, first.ended.Sub(next.began).Round(time.Millisecond), first.outcome))
				}
			}
		}
	}
	return broken, nil
}
