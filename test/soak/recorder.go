package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// observation is the result of one request, as observed by its caller.
type observation struct {
	path     string
	key      string
	sent     time.Time
	response platformtest.Response
}

// recorder collects the callers' observations, to be compared with the engines' records.
type recorder struct {
	mu           sync.Mutex
	observations []observation
	injected     []string
	// revokedAt is the time at which the store accepted a configuration without the key, by key.
	revokedAt  map[string]time.Time
	violations []string
	// tries and streams are what callers received that resume streams. resumedAfter is how many were
	// resumed after the faults, and how many were to be.
	tries        []streamTry
	streams      int
	resumedAfter [2]int
}

func (rec *recorder) record(e observation) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.observations = append(rec.observations, e)
}

func (rec *recorder) recordFault(text string) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.injected = append(rec.injected, text)
}

// violation records a violated guarantee.
func (rec *recorder) violation(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.violations = append(rec.violations, fmt.Sprintf(format, args...))
}

// check compares the callers' observations with the engines' records and returns the
// violated guarantees. No fault was injected after recoveredAt.
func (rec *recorder) check(cl *cluster, recoveredAt time.Time) []string {
	runs := make(map[string][]platformtest.Run)
	for _, e := range cl.engines {
		for _, r := range e.Runs() {
			runs[r.RequestID] = append(runs[r.RequestID], r)
			rec.checkDrained(e, r, recoveredAt)
			if e.Site == cl.evacuated && r.At.After(recoveredAt) {
				rec.violation("%s: executed at %s in the evacuated site", r.RequestID, e.ID)
			}
		}
		rec.checkCold(e)
	}
	for _, e := range rec.observations {
		rec.violations = append(rec.violations, platformtest.CheckResponse(e.path, e.response, runs[e.response.ID])...)
		rec.checkRevokedKey(e, runs[e.response.ID])
	}
	rec.checkExits(cl.exits())
	return rec.violations
}

// checkExits: a router may exit by itself only if it starts with unusable settings
// (status 1), or if a SIGHUP arrives before the process handles the signal. A panic,
// which exits with status 2, is a violation.
func (rec *recorder) checkExits(exits []string) {
	for _, exit := range exits {
		if !strings.HasSuffix(exit, "exit status 1") && !strings.HasSuffix(exit, "signal: hangup") {
			rec.violation("a router exited by itself: %s", exit)
		}
	}
}

// checkRevokedKey: no request with a revoked key was executed after revokeBound.
func (rec *recorder) checkRevokedKey(e observation, runs []platformtest.Run) {
	if at, ok := rec.revokedAt[e.key]; ok && e.sent.After(at.Add(revokeBound)) && len(runs) > 0 {
		rec.violation("%s: a request with key %s was executed, sent %v after the key was revoked", e.response.ID, e.key, e.sent.Sub(at))
	}
}

// checkCold: a cold engine gets no more requests in any second than it can serve.
func (rec *recorder) checkCold(e *engine) {
	if e.ColdFor == 0 {
		return
	}
	runs := e.Runs()
	warm := e.addedAt.Add(e.ColdFor)
	for i, first := range runs {
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.At) < time.Second && r.At.Before(warm) {
				n++
			}
		}
		if n > platformtest.ColdPerSecond {
			rec.violation("%s: %d requests in one second while the engine was cold", e.ID, n)
		}
	}
}

// checkDrained: a draining engine gets no new request after drainBound, once no fault prevents
// routers from receiving the drain.
func (rec *recorder) checkDrained(e *engine, r platformtest.Run, recoveredAt time.Time) {
	if e.drainedAt.IsZero() || r.At.Before(recoveredAt) || r.At.Before(e.drainedAt.Add(drainBound)) {
		return
	}
	rec.violation("%s: executed at %s %v after the engine began to drain", r.RequestID, e.ID, r.At.Sub(e.drainedAt))
}
