package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

const (
	// trials is how many keys are taken away, one after the other.
	trials = 15
	// bodyBytes and requestsPerSecond are the callers' requests at each machine, about as the sheet has them.
	bodyBytes         = 8_000
	requestsPerSecond = 10
)

// growths is by how many routes the config grows, in turn.
var growths = []int{1860, 1400}

// lostConfig lets the config grow by many routes, twice, and then takes away keys, one after the other. Requests with these keys
// are sent later than the bound.
func lostConfig(rec *record, trouble bool) (broken bool, err error) {
	keys := make([]string, trials)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-of-second-%d", i)
	}
	version, routes := int64(1), 0
	f, err := newFleet(rec, grownSheet, 3, platformtest.Config(version, keys))
	if err != nil {
		return false, err
	}
	defer f.close()
	engines, err := f.addEngines(6)
	if err != nil {
		return false, err
	}
	time.Sleep(f.stable)
	stop := f.pressLinks()
	defer stop()
	if got := call(f.machines[0], platformtest.Call{Path: "/once/x", Body: "x", Key: keys[0]}); got.Status != http.StatusOK {
		return false, fmt.Errorf("a request with a key in force got %d: %v", got.Status, got.Err)
	}
	if trouble {
		for _, more := range growths {
			routes += more
			version++
			f.putConfig(grown(platformtest.Config(version, keys), routes))
			rec.note("config %d is acknowledged, with %d more routes", version, more)
			time.Sleep(f.config + f.stable)
		}
	}
	for i, key := range keys {
		time.Sleep(rand.N(time.Second))
		version++
		f.putConfig(grown(platformtest.Config(version, keys[i+1:]), routes))
		acked := time.Now()
		rec.note("config %d is acknowledged, without %s", version, key)
		time.Sleep(f.revoke + 300*time.Millisecond)
		for _, m := range f.machines {
			sent := time.Now()
			got := call(m, platformtest.Call{Path: "/once/x", Body: "x", Key: key})
			hasRun := ran(engines, got.ID)
			rec.note("request %s with %s sent to %s %v after the acknowledgement: status %d, run: %v", got.ID, key, m.name,
				sent.Sub(acked).Round(time.Millisecond), got.Status, hasRun)
			broken = broken || hasRun
		}
		if broken {
			return true, nil
		}
	}
	return false, nil
}

// grown returns a config with more routes.
func grown(config any, n int) any {
	c := config.(map[string]any)
	routes := c["routes"].([]map[string]any)
	for i := range n {
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("more-%04d", i), "host": platformtest.Host, "prefix": fmt.Sprintf("/more-%04d/", i), "kind": "idempotent",
			"timeoutMs": 3000, "targetLatencyMs": 200, "gapAimMs": 0, "priority": 1, "service": "svc", "attempts": 2,
			"public": false, "sticky": false, "resumable": false,
		})
	}
	c["routes"] = routes
	return c
}

// pressLinks sends requests to all machines until the returned function is called, which notes how they ended.
func (f *fleet) pressLinks() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	body := strings.Repeat("x", bodyBytes)
	for _, m := range f.machines {
		wg.Go(func() {
			ticker := time.NewTicker(time.Second / requestsPerSecond)
			defer ticker.Stop()
			for {
				select {
				case <-done:
					return
				case <-ticker.C:
				}
				wg.Go(func() {
					got := call(m, platformtest.Call{Path: "/once/x", Body: body})
					mu.Lock()
					defer mu.Unlock()
					statuses[got.Status]++
				})
			}
		})
	}
	return func() {
		close(done)
		wg.Wait()
		f.rec.note("callers' requests by status (0: no answer): %v", statuses)
	}
}
