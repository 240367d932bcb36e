package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

const (
	// crashAfter is the time from the start of a crashing request to the end of its engine.
	crashAfter = 40 * time.Millisecond
	// leaseTime is how long the entry of an engine that ended stays in the store, and replaceTime the
	// time after which another engine takes its place.
	leaseTime   = time.Second
	replaceTime = 1500 * time.Millisecond
	// provingCrashes is the number of ended engines that prove that a request crashes them, and
	// provingPartCrashes that of a part. Routers that no fault disturbs must know it within knownBound, and
	// send such requests at most maxLaterSends times after that.
	provingCrashes     = 3
	provingPartCrashes = 5
	knownBound         = 3 * time.Second
	maxLaterSends      = 3
)

// crashingPrefix begins the bodies that crash engines.
const crashingPrefix = "crash "

func isCrashing(body string) bool { return strings.HasPrefix(body, crashingPrefix) }

// badPrefix begins the parts of prompts that crash engines.
const badPrefix = "bad"

func isBadPart(part string) bool { return strings.HasPrefix(part, badPrefix) }

// culprit returns what of a request crashes engines: its body, or a part of its prompt; empty for nothing.
func culprit(r platformtest.Run) string {
	if isCrashing(r.Body) {
		return r.Body
	}
	parts := r.SharedParts()
	if i := slices.IndexFunc(parts, isBadPart); i >= 0 {
		return parts[i]
	}
	return ""
}

// letCrash makes an engine end when it executes a crashing request. Another one takes its place. What an
// engine sends before it ends differs from engine to engine. The caller holds the mutex.
func (cl *cluster) letCrash(e *engine) {
	answers := []platformtest.CrashAnswer{platformtest.CrashInStream, platformtest.CrashInAnswer, platformtest.CrashInUnframedAnswer}
	e.CrashOn(platformtest.Crash{
		On: isCrashing, OnPart: isBadPart, After: crashAfter, Answer: answers[len(cl.engines)%len(answers)],
		// A connection that the proxy still accepted would look like one to a live engine.
		Crashing: func(*platformtest.Engine) { e.proxy.close() },
		Crashed:  func(*platformtest.Engine) { cl.replaceCrashed(e) },
	})
}

// replaceCrashed records the end of an engine and starts another one.
func (cl *cluster) replaceCrashed(e *engine) {
	cl.markDraining(e)
	runs := e.Runs()
	first := slices.IndexFunc(runs, func(r platformtest.Run) bool { return culprit(r) != "" })
	cl.mu.Lock()
	name := culprit(runs[first])
	cl.crashes[name] = append(cl.crashes[name], time.Now())
	cl.mu.Unlock()
	time.AfterFunc(leaseTime, func() { cl.ifOpen(func() { cl.store.RemoveEngine(e.Engine) }) })
	time.AfterFunc(replaceTime, func() { cl.ifOpen(func() { cl.addEngine(e.Site) }) })
}

const (
	// quietTime is the time without a crash after which crashing requests count as stopped: longer
	// than the replacement of an engine, while which it is cold, and their pause.
	quietTime = 3 * time.Second
	// maxStopTime bounds the wait for that. checkCrashing reports what reaches engines later.
	maxStopTime = 20 * time.Second
)

// awaitCrashesStopped waits until crashing requests end no more engines. Each may end three, also
// after the faults, if routers that restarted have taken what was known of it along.
func (cl *cluster) awaitCrashesStopped() {
	end := time.Now().Add(maxStopTime)
	for time.Now().Before(end) {
		cl.mu.Lock()
		quiet := true
		for _, times := range cl.crashes {
			quiet = quiet && time.Since(times[len(times)-1]) >= quietTime
		}
		cl.mu.Unlock()
		if quiet {
			return
		}
		time.Sleep(quietTime / 20)
	}
}

// firstCrashAfter returns when the first engine was ended after t; zero if none was.
func (cl *cluster) firstCrashAfter(t time.Time) (first time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, times := range cl.crashes {
		for _, at := range times {
			if at.After(t) && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	return first
}

// ifOpen calls f unless the cluster is closed.
func (cl *cluster) ifOpen(f func()) {
	if !cl.isClosed() {
		f()
	}
}

// runCrasher repeats a request that crashes engines, at random routers, until stop is closed.
func runCrasher(cl *cluster, path, body string, rng *rand.Rand, stop <-chan struct{}) {
	callUntil(stop, rng, 100*time.Millisecond, 500*time.Millisecond, func(client *http.Client) {
		platformtest.Call{
			Address: cl.address(pick(rng, cl.routers)), Path: path, Body: body, TimeoutMS: int(callTimeout.Milliseconds()),
		}.Do(context.Background(), client)
	})
}

// crashingRequest returns the path and the body of the i-th crashing request.
func crashingRequest(i int) (path, body string) {
	return platformtest.Paths[i%len(platformtest.Paths)], fmt.Sprint(crashingPrefix, i)
}

// rareCompanion is a part that some bad parts always come with, and few other requests have.
const rareCompanion = "companion"

// soundPrompt returns the prompt of the i-th request of a caller. All share their first part.
func soundPrompt(caller, i int) string {
	parts := []string{"base", fmt.Sprint("document", i%3)}
	if i%40 == 7 {
		parts = append(parts, rareCompanion)
	}
	return promptOf(append(parts, fmt.Sprint("own", caller, "x", i)))
}

func promptOf(parts []string) string { return strings.Join(parts, ":100,") + ":100" }

// runBadPart sends requests with a bad part in their prompts at random routers, no two alike, until stop
// is closed. Where the part stands, what comes with it and how often it comes is drawn.
func runBadPart(cl *cluster, i int, rng *rand.Rand, stop <-chan struct{}) {
	beside := []string{"base"}
	if rng.IntN(3) == 0 {
		beside = append(beside, rareCompanion)
	}
	position, path := rng.IntN(3), pick(rng, platformtest.Paths)
	minPause, maxPause := 50*time.Millisecond, 300*time.Millisecond
	if rng.IntN(3) == 0 {
		minPause, maxPause = 400*time.Millisecond, 1200*time.Millisecond
	}
	n := 0
	callUntil(stop, rng, minPause, maxPause, func(client *http.Client) {
		n++
		parts := append(slices.Clone(beside), fmt.Sprint("document", n%5))
		at := position
		if position == 2 {
			at = rng.IntN(len(parts) + 1)
		}
		parts = append(slices.Insert(parts, at, fmt.Sprint(badPrefix, i)), fmt.Sprint("own", badPrefix, i, "x", n))
		platformtest.Call{
			Address: cl.address(pick(rng, cl.routers)), Path: path, Body: fmt.Sprint("with a bad part ", i, " ", n),
			Prompt: promptOf(parts), TimeoutMS: int(callTimeout.Milliseconds()),
		}.Do(context.Background(), client)
	})
}

// checkCrashing: once no fault disturbs the routers, a request that has proved to crash engines
// reaches them no more, and no other request is refused as the cause.
func (rec *recorder) checkCrashing(cl *cluster, faultsEnd time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for name, times := range cl.crashes {
		proving := provingCrashes
		if isBadPart(name) {
			proving = provingPartCrashes
		}
		if len(times) < proving {
			continue
		}
		known := times[proving-1]
		if known.Before(faultsEnd) {
			known = faultsEnd
		}
		sends := 0
		for _, e := range cl.engines {
			for _, r := range e.Runs() {
				if culprit(r) == name && r.At.After(known.Add(knownBound)) {
					sends++
				}
			}
		}
		if sends > maxLaterSends {
			rec.violation("%q ended %d engines and was sent %d times later than %v after the one that proved it", name, len(times), sends, knownBound)
		}
	}
	for _, e := range rec.observations {
		if strings.Contains(e.response.Body, "quarantined") || strings.Contains(e.response.Body, "request_held") {
			rec.violation("%s: refused as the cause of a crash: %s", e.response.ID, e.response.Body)
		}
	}
}
