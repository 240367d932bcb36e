package main

import (
	"fmt"
	"net"
	"time"
)

const (
	// cutTime is how long a machine has lost its path to an engine, and killAfter how long after the begin of that
	// the engine is killed. Another one takes its place after downTime.
	cutTime   = 5 * time.Second
	killAfter = 3 * time.Second
	downTime  = 4500 * time.Millisecond
	rounds    = 3
)

func init() { cases["cutoff"] = runCutoff }

// runCutoff kills an engine to which one machine has lost its path, while it sends answers without a length, and
// looks for successes that are not the whole answer.
func runCutoff(l *lab, trouble bool) (broken []string, err error) {
	const models, routers = 5, 4
	l.ownSources = true
	if err := startSmall(l, routers, models); err != nil {
		return nil, err
	}
	for _, e := range l.engines {
		e.unframed = true
	}
	time.Sleep(settleTime)
	c := &callers{lab: l}
	const perRound = 12 * time.Second
	done := make(chan struct{})
	go func() {
		defer close(done)
		load(25, time.Now().Add(rounds*perRound), func() { c.send(c.summary(keyOffice), "") })
	}()
	cut := l.routers[1]
	for i := range rounds {
		begin := time.Now()
		e := l.engines[i]
		time.Sleep(2 * time.Second)
		if trouble {
			l.note("%s and %s lose the path to one another", cut.name, e.id)
			e.ln.setCut([]net.IP{net.ParseIP(cut.source)})
			time.Sleep(killAfter)
			e.crash()
			time.Sleep(cutTime - killAfter)
			e.ln.setCut(nil)
			l.note("the path of %s is back", cut.name)
			time.Sleep(downTime - (cutTime - killAfter))
			next, err := l.startEngine(e.id+"-next", serviceLLM)
			if err != nil {
				return nil, err
			}
			next.unframed = true
		}
		time.Sleep(perRound - time.Since(begin))
	}
	<-done
	from := make(map[string]string)
	for _, e := range l.engines {
		e.mu.Lock()
		for _, run := range e.runs {
			from[run.id] += fmt.Sprintf(" %s from %s (%s)", run.engine, run.from, run.outcome)
		}
		e.mu.Unlock()
	}
	served := 0
	for _, r := range c.all() {
		switch {
		case r.err != nil || r.status != 200:
		case len(r.events()) == streamEvents:
			served++
		default:
			broken = append(broken, fmt.Sprintf("request %s at %s: a complete answer with status 200 and %s has %d of %d events; it ran at%s",
				r.id, r.router, r.seal, len(r.events()), streamEvents, from[r.id]))
		}
	}
	l.note("%d of %d streams complete", served, len(c.all()))
	if served < len(c.all())*8/10 {
		return nil, errNotServed
	}
	return broken, nil
}
