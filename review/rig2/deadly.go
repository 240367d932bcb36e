package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

const (
	// deadlyPrefix begins the bodies of requests that crash each engine that begins to run them.
	deadlyPrefix = "deadly"
	// backAfter is when an engine is back after a crash, and silentFor how long it is silent before the store drops its
	// entry: three check-in intervals.
	backAfter = 4 * time.Second
	silentFor = 3600 * time.Millisecond
	// provingCrashes is the number of crashes from which on the bound counts, and mostRetries the number of retries that
	// may reach engines later.
	provingCrashes = 3
	mostRetries    = 3
	// documents is the number of shared parts with which prompts begin.
	documents = 40
	// soundBefore is for how long there are only sound requests at first.
	soundBefore = 8 * time.Second
	// runTime is how long engines run a request.
	runTime = 60 * time.Millisecond
)

// sameID repeats a request that crashes each engine that begins to run it. The engines are back after some seconds,
// under the ID and at the address that they had, as a new start.
func sameID(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeadlyFleet(rec, 4)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.keepIDs, d.deadlyPath, d.path, d.soundEvery = true, "/prompt/once/x", "/prompt/once/x", 20*time.Millisecond
	if trouble {
		d.letCrash()
	}
	d.repeat(14, 5*time.Second, deadlyPrefix)
	return d.judge(), nil
}

// idleTime is after how long engines drop an idle connection.
const idleTime = 300 * time.Millisecond

// deadlyAmongCuts repeats two such requests at engines that drop idle connections without notice. The engines are back
// after some seconds, under another ID.
func deadlyAmongCuts(rec *record, trouble bool) (broken bool, err error) {
	d, err := newDeadlyFleet(rec, 9)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.deadlyPath, d.path, d.soundEvery = "/once/x", "/safe/x", 33*time.Millisecond
	for _, e := range d.engines {
		if os.Getenv("KEEP_IDLE") == "" {
			e.dropsIdle = idleTime
		}
	}
	if trouble {
		d.letCrash()
	}
	d.repeat(26, 3*time.Second, deadlyPrefix+" a", deadlyPrefix+" b")
	return d.judge(), nil
}

// deadlyFleet is a deployment to which a request is sent that crashes engines.
type deadlyFleet struct {
	*fleet
	engines []*engine
	// keepIDs is set if engines keep their IDs.
	keepIDs bool
	// deadlyPath is the path of the deadly request, path that of sound ones, and soundEvery the time between two of these.
	deadlyPath, path string
	soundEvery       time.Duration

	mu sync.Mutex
	// crashes holds the times of all crashes by the body of the request that caused them.
	crashes map[string][]time.Time
	starts  int
}

func newDeadlyFleet(rec *record, engines int) (*deadlyFleet, error) {
	f, err := newFleet(rec, smallSheet, 3, platformtest.Config(1, nil))
	if err != nil {
		return nil, err
	}
	d := &deadlyFleet{fleet: f, crashes: make(map[string][]time.Time)}
	if d.engines, err = f.addEngines(engines); err != nil {
		f.close()
		return nil, err
	}
	for _, e := range d.engines {
		e.work, e.crashed = runTime, d.crashed
	}
	time.Sleep(f.stable)
	return d, nil
}

// letCrash makes the deadly request crash the engines.
func (d *deadlyFleet) letCrash() {
	for _, e := range d.engines {
		e.deadly = func(_ *http.Request, body string) bool { return strings.HasPrefix(body, deadlyPrefix) }
	}
}

// crashed brings an engine back.
func (d *deadlyFleet) crashed(e *engine, body string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.crashes[body] = append(d.crashes[body], time.Now())
	id := e.currentID()
	d.rec.note("engine %s crashes, as it runs %q", id, body)
	time.AfterFunc(silentFor, func() { d.store.Remove("servers", id) })
	if !d.keepIDs {
		d.starts++
		e.rename(fmt.Sprintf("i-7f3a9%03d", 100+d.starts))
	}
	time.AfterFunc(backAfter, func() {
		if err := e.start(); err != nil {
			d.rec.note("engine %s is not back: %v", id, err)
			return
		}
		d.register(e)
		d.rec.note("engine %s is back as %s", id, e.currentID())
	})
}

// repeat sends the deadly requests to one machine after the other, each so many times and so often, beside sound requests.
func (d *deadlyFleet) repeat(times int, every time.Duration, bodies ...string) {
	stop := d.runCallers()
	defer stop()
	time.Sleep(soundBefore)
	for i := range times * len(bodies) {
		m, body := d.machines[i%len(d.machines)], bodies[i%len(bodies)]
		sent := time.Now()
		got := call(m, platformtest.Call{Path: d.deadlyPath, Body: body, Prompt: d.prompt(1, 0)})
		d.rec.note("%q, request %s, sent to %s: status %d %s", body, got.ID, m.name, got.Status, got.Body)
		time.Sleep(time.Until(sent.Add(every / time.Duration(len(bodies)))))
	}
}

// judge reports whether a deadly request has reached engines too often later than the bound after its third crash.
func (d *deadlyFleet) judge() (broken bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for body, crashes := range d.crashes {
		if len(crashes) < provingCrashes {
			d.rec.note("%q has crashed %d engines", body, len(crashes))
			continue
		}
		proved := crashes[provingCrashes-1]
		later := d.sentLater(body, proved.Add(d.stable))
		d.rec.note("%q has crashed %d engines, the third at %.3f; it reached engines %d times later than %v after that, %d may be", body, len(crashes),
			proved.Sub(d.rec.began).Seconds(), later, d.stable, mostRetries)
		broken = broken || later > mostRetries
	}
	return broken
}

// sentLater returns how many requests with a body engines have begun to run later than a time.
func (d *deadlyFleet) sentLater(body string, after time.Time) (n int) {
	for _, e := range d.engines {
		for _, x := range e.executions() {
			if x.body == body && x.at.After(after) {
				n++
			}
		}
	}
	return n
}

// runCallers sends sound requests until the returned function is called, which notes how they ended.
func (d *deadlyFleet) runCallers() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	send := func(i int) {
		c := platformtest.Call{Path: d.path, Body: fmt.Sprint("sound ", i), Prompt: d.prompt(i%documents+1, i+1)}
		got := call(d.machines[i%len(d.machines)], c)
		mu.Lock()
		defer mu.Unlock()
		statuses[got.Status]++
	}
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(d.soundEvery):
			}
			wg.Go(func() { send(i) })
		}
	})
	return func() {
		close(done)
		wg.Wait()
		d.rec.note("sound requests by status (0: no answer): %v", statuses)
	}
}

// prompt returns the prompt of the i-th request about a document; empty on a route without prompts.
func (d *deadlyFleet) prompt(document, i int) string {
	if !strings.Contains(d.path, "prompt") {
		return ""
	}
	return fmt.Sprintf("%x:800,%x:250", document, documents+1+i)
}
