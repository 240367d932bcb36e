package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// awayTime is how long the store is away, and rewriteDelay how long after its return the operator and the
	// engines write again what it has lost.
	awayTime     = 500 * time.Millisecond
	rewriteDelay = time.Second
)

func init() { cases["revoke"] = runRevoke }

// runRevoke takes a key away, lets the store return from a copy that is older than that, and restarts a router
// before the operator has written the configuration again.
func runRevoke(l *lab, trouble bool) (broken []string, err error) {
	if err := startSmall(l, 3, 3); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	c := &callers{lab: l}
	done := make(chan struct{})
	go func() {
		defer close(done)
		load(15, time.Now().Add(16*time.Second), func() { c.send(c.status(keyOffice), "") })
	}()
	time.Sleep(2 * time.Second)
	copied, copiedAt := l.store.Copy(), time.Now()
	l.note("store: copy made")
	time.Sleep(500 * time.Millisecond)
	revoked := l.configure(nil)
	time.Sleep(revokeBound + 500*time.Millisecond)
	r := l.routers[0]
	if trouble {
		setStoreDown(l, true)
		time.Sleep(awayTime - restartDelay/2)
		// The platform starts the process again after restartDelay.
		r.signal(syscall.SIGKILL)
		time.Sleep(restartDelay / 2)
		writeAgain := l.store.ReturnFrom(copied)
		setStoreDown(l, false)
		l.note("store: back from its copy, which lacks what was written in the last %v", time.Since(copiedAt).Round(time.Millisecond))
		time.AfterFunc(rewriteDelay, func() {
			for _, write := range writeAgain {
				write()
			}
			l.note("operator and engines: written again")
		})
	}
	load(100, time.Now().Add(3*time.Second), func() { c.send(c.status(keyBranch), r.address(portFront)) })
	<-done
	if err := l.awaitReady(time.Second); err != nil {
		return nil, err
	}
	served := 0
	results := c.all()
	ran := make(map[string]string)
	for _, e := range l.engines {
		e.mu.Lock()
		for _, run := range e.runs {
			ran[run.id] = run.engine
		}
		e.mu.Unlock()
	}
	for _, q := range results {
		if q.key == keyOffice && q.status == 200 {
			served++
		}
		if q.key == keyBranch && q.sent.After(revoked.Add(revokeBound)) && ran[q.id] != "" {
			broken = append(broken, fmt.Sprintf("request %s with the key that was taken away, sent %v after the acknowledgement, ran at %s, status %d",
				q.id, q.sent.Sub(revoked).Round(time.Millisecond), ran[q.id], q.status))
		}
	}
	l.note("%d requests with the other key served", served)
	if served == 0 {
		return nil, errNotServed
	}
	return broken, nil
}
