package main

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// linkBytesPerMS is the pace of an engine that sends without end: a link of 1,000 Mbit/s.
const linkBytesPerMS = 125_000

func init() { cases["memory"] = runMemory }

// runMemory lets engines send bytes that are not a response and have no end, and counts the routers that the
// platform kills for their memory.
func runMemory(l *lab, trouble bool) (broken []string, err error) {
	const models = 5
	if err := startSmall(l, 3, models); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	for _, r := range l.routers {
		r.limitMemory = true
	}
	if trouble {
		for _, e := range l.engines[:models*3/5] {
			e.faultEvery = garbledEvery
			e.fault = sendWithoutEnd
		}
	}
	c := &callers{lab: l}
	load(12, time.Now().Add(85*time.Second), func() { c.send(c.summary(keyOffice), "") })
	served, cut := 0, 0
	for _, r := range c.all() {
		switch {
		case r.err == nil && r.status == 200 && len(r.events()) == streamEvents:
			served++
		case r.status == 200:
			cut++
		}
	}
	l.note("%d of %d streams complete, %d cut", served, len(c.all()), cut)
	if !trouble && served < len(c.all())*9/10 {
		return nil, errNotServed
	}
	often := 0
	var counts []string
	for _, r := range l.routers {
		r.mu.Lock()
		counts = append(counts, fmt.Sprintf("%s: %d (peak %d MB)", r.name, r.memoryEnds, r.peakMB))
		if r.memoryEnds >= 3 {
			often++
		}
		r.mu.Unlock()
	}
	l.note("processes over their memory: %s", strings.Join(counts, ", "))
	fmt.Println("processes over their memory:", strings.Join(counts, ", "), "- streams complete", served, "cut", cut, "of", len(c.all()))
	if often >= 2 {
		broken = append(broken, fmt.Sprintf("processes on %d of %d machines ended three times or more over their memory: %s", often, len(l.routers), strings.Join(counts, ", ")))
	}
	return broken, nil
}

// sendWithoutEnd sends bytes that are not a response until the connection is closed or the time limit of the
// request has passed.
func sendWithoutEnd(x *answer) {
	x.e.lab.note("engine %s sends bytes that are not a response to %s", x.e.id, x.run.id)
	junk := strings.Repeat("E", 8*linkBytesPerMS)
	sent := 0
	for x.work(8 * time.Millisecond) {
		n, err := io.WriteString(x.c, junk)
		sent += n
		if err != nil {
			x.finish(fmt.Sprintf("connection closed after %d MB", sent>>20))
			return
		}
	}
}
