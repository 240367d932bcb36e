package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// Options sets the size of a run.
type Options struct {
	Seed    uint64
	Routers int
	Engines int
	Callers int
	// CrashingRequests is the number of requests that crash engines and are repeated all the time.
	CrashingRequests int
	// BadParts is the number of parts of prompts that crash engines, in requests of which no two are alike.
	BadParts int
	// FaultDuration is the time for which faults are injected.
	FaultDuration time.Duration
	// Dir is the directory for settings and logs of the routers, Binary the path of the
	// program.
	Dir, Binary string
	// Network is the third number of the routers' addresses, to separate concurrent
	// runs.
	Network int
}

// Result is the result of a run.
type Result struct {
	Requests int
	Served   int
	// AfterRecovery and AfterRecoveryServed count the requests after the faults and the
	// time for recovery.
	AfterRecovery, AfterRecoveryServed int
	// UnexpectedExits describes the routers that exited without a signal from the test.
	UnexpectedExits []string
	Faults          []string
	// Streams counts the streams of callers that resume them, and Resumed how many of those were resumed
	// after the faults, and how many were to be.
	Streams int
	Resumed [2]int
	// Crashes is the number of engines that each crashing request and each bad part ended.
	Crashes map[string]int
	// Violations describes the violated guarantees.
	Violations []string
}

const (
	// recoveryTime is the time for the system to recover after the faults.
	recoveryTime = 5 * time.Second
	// measureTime is the time for which requests are counted after recoveryTime.
	measureTime = 2 * time.Second
	// callTimeout is the timeout of callers.
	callTimeout = 2500 * time.Millisecond
)

// Run runs one seed. An error means that the run could not be set up; violated
// guarantees are in the result.
func Run(o Options) (Result, error) {
	cl, err := newCluster(o.Dir, o.Binary, o.Network, o.Routers, o.Engines)
	if err != nil {
		return Result{}, err
	}
	defer cl.close()
	defer closeOnSignal(cl)()
	cl.store.StateEra(int64(o.Seed % 3))
	rec := &recorder{revokedAt: make(map[string]time.Time)}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	if err := cl.awaitReady(); err != nil {
		return Result{}, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runCaller(cl, rec, i, rand.New(rand.NewPCG(o.Seed, uint64(i+1))), stop)
		}()
	}
	for i := range o.CrashingRequests {
		path, body := crashingRequest(i)
		wg.Add(1)
		go func() {
			defer wg.Done()
			runCrasher(cl, path, body, rand.New(rand.NewPCG(o.Seed, uint64(1000+i))), stop)
		}()
	}
	for i := range o.BadParts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runBadPart(cl, i, rand.New(rand.NewPCG(o.Seed, uint64(5000+i))), stop)
		}()
	}
	for i := range streamCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			runStreamCaller(cl, rec, rand.New(rand.NewPCG(o.Seed, uint64(3000+i))), stop)
		}()
	}
	runFaults(cl, rec, rng, o.FaultDuration)
	faultsEnd := time.Now()
	recoveredAt, measuredUntil := cl.measure()
	cl.checkSettings(rec)
	rec.checkResumed(cl, recoveredAt, measuredUntil)
	leaveAfterReturn(cl, rec, rand.New(rand.NewPCG(o.Seed, 2000)))
	time.Sleep(measureTime)
	close(stop)
	wg.Wait()
	rec.checkCrashing(cl, faultsEnd)
	rec.checkSignals(cl, recoveredAt, measuredUntil)
	return rec.result(cl, recoveredAt, measuredUntil), nil
}

// maxMeasurements bounds how often the time of the measurement is begun anew.
const maxMeasurements = 3

// measure waits for the system to recover and then for the time in which requests are counted. If an engine
// ends meanwhile, it begins anew: while that engine is replaced and its successor is cold, the slots of the others may
// not be sufficient for the callers, whatever routers do. The last time counts in any case.
func (cl *cluster) measure() (recoveredAt, until time.Time) {
	for range maxMeasurements {
		cl.awaitCrashesStopped()
		begun := time.Now()
		time.Sleep(recoveryTime)
		recoveredAt = time.Now()
		time.Sleep(measureTime)
		until = time.Now()
		if cl.firstCrashAfter(begun).IsZero() {
			break
		}
	}
	return recoveredAt, until
}

// closeOnSignal ends the routers if the test is stopped by a signal, until the returned function is
// called. Routers that are left behind go on calling the store's address, which an engine of a later
// run may get.
func closeOnSignal(cl *cluster) (stop func()) {
	signals, done := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			cl.close()
			os.Exit(1)
		case <-done:
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// awaitReady waits until each router has served a request, at most 20 s in all.
func (cl *cluster) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, r := range cl.routers {
		for {
			a := platformtest.Call{Address: cl.address(r), Path: platformtest.PathSafe}.Do(context.Background(), http.DefaultClient)
			if a.Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not become ready within 20 s: status %d, %w", r.name, a.Status, a.Err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// runCaller sends requests to random routers until stop is closed. It keeps connections
// open and reuses them.
func runCaller(cl *cluster, rec *recorder, caller int, rng *rand.Rand, stop <-chan struct{}) {
	i := 0
	callUntil(stop, rng, minCallPause, maxCallPause, func(client *http.Client) {
		e := observation{path: pick(rng, platformtest.Paths), key: pick(rng, []string{platformtest.FirstKey, "key-2", "key-3"}), sent: time.Now()}
		r := pick(rng, cl.routers)
		e.response = platformtest.Call{
			Address: cl.address(r), Path: e.path + "?" + routerQuery + "=" + r.name, Key: e.key, Body: fmt.Sprint("body ", caller, " ", i), Prompt: soundPrompt(caller, i), TimeoutMS: int(callTimeout.Milliseconds()),
		}.Do(context.Background(), client)
		rec.record(e)
		i++
	})
}

// minCallPause and maxCallPause bound the pause of a caller before each request.
const (
	minCallPause = 2 * time.Millisecond
	maxCallPause = 40 * time.Millisecond
)

// callUntil calls f after a random pause, again and again, until stop is closed, with a client that keeps
// connections open.
func callUntil(stop <-chan struct{}, rng *rand.Rand, minPause, maxPause time.Duration, f func(*http.Client)) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(duration(rng, minPause, maxPause)):
		}
		f(client)
	}
}

// runFaults injects faults, restarts, drains and configuration changes for d, all of
// them overlapping.
func runFaults(cl *cluster, rec *recorder, rng *rand.Rand, d time.Duration) {
	cl.configure([]string{"key-2", "key-3"})
	end := time.Now().Add(d)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	series := []func(*rand.Rand){
		func(rng *rand.Rand) { injectFaults(cl, rng, stop, rec.recordFault) },
		func(rng *rand.Rand) { restartRouters(cl, rec, rng, end) },
		func(rng *rand.Rand) { changeConfig(cl, rec, rng, end) },
		func(rng *rand.Rand) { rewriteSettings(cl, rec, rng, end) },
		func(rng *rand.Rand) { evacuateSites(cl, rec, rng, end) },
		func(rng *rand.Rand) { removeDuringRestarts(cl, rec, rng, end) },
		func(rng *rand.Rand) { signalEngines(cl, rec, rng, end) },
		func(rng *rand.Rand) { returnStore(cl, rec, rng, end) },
		func(rng *rand.Rand) { cutRouters(cl, rec, rng, end) },
		func(rng *rand.Rand) { weakenEngines(cl, rec, rng, end) },
		func(rng *rand.Rand) { releaseVersions(cl, rec, rng, end) },
		func(rng *rand.Rand) { spoilAnswers(cl, rec, rng, end) },
		func(rng *rand.Rand) { restartAll(cl, rec, rng, end) },
	}
	for _, run := range series {
		childRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Add(1)
		go func() {
			defer wg.Done()
			run(childRNG)
		}()
	}
	time.Sleep(time.Until(end))
	close(stop)
	wg.Wait()
}

// restartRouters stops routers by signals and starts them again, one at a time.
func restartRouters(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 300*time.Millisecond, 2*time.Second))
		s := pick(rng, []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL})
		rec.recordFault("restart by " + s.String())
		inTime, err := restart(cl, pick(rng, cl.routers), s, func() {})
		if err != nil {
			rec.violation("restart: %v", err)
		}
		if !inTime {
			rec.violation("a router did not exit within %v of %v", stopTime+time.Second, s)
		}
	}
}

// changeConfig revokes keys permanently and drains engines.
func changeConfig(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	remainingKeys := [][]string{{"key-2"}, nil}
	revokedKeys := []string{"key-3", "key-2"}
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 500*time.Millisecond, 2*time.Second))
		if len(remainingKeys) > 0 && rng.IntN(2) == 0 {
			cl.configure(remainingKeys[0])
			rec.mu.Lock()
			rec.revokedAt[revokedKeys[0]] = time.Now()
			rec.mu.Unlock()
			remainingKeys, revokedKeys = remainingKeys[1:], revokedKeys[1:]
			rec.recordFault("key revoked")
			continue
		}
		rec.recordFault("engine draining")
		drain(cl, cl.pickServing(rng))
	}
}

// removeDuringRestarts removes engine entries that were not marked as draining, each while a router
// is down. The restarted router reads the engines only after the removal. It must not hide the
// removal from routers that have not received it yet and query the restarted one.
func removeDuringRestarts(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 300*time.Millisecond, time.Second))
		rec.recordFault("engine entry removed during a router restart")
		if _, err := restart(cl, pick(rng, cl.routers), syscall.SIGKILL, func() { removeWithoutDrain(cl, cl.pickServing(rng)) }); err != nil {
			rec.violation("restart: %v", err)
		}
	}
}

// evacuateSites repeatedly evacuates a site, and leaves it evacuated in half of the
// runs.
func evacuateSites(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	site := pick(rng, sites)
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 100*time.Millisecond, time.Second))
		rec.recordFault("evacuation of " + site)
		cl.store.Put("op", "evacuate/"+site, struct{}{})
		time.Sleep(duration(rng, 50*time.Millisecond, time.Second))
		cl.store.Remove("op", "evacuate/"+site)
	}
	if rng.IntN(2) == 0 {
		rec.recordFault(site + " stays evacuated")
		cl.store.Put("op", "evacuate/"+site, struct{}{})
		cl.evacuated = site
	}
}

// result summarizes the run. Requests count as sent after the faults until an engine ends after the
// measurement, or until the end of the run.
func (rec *recorder) result(cl *cluster, recoveredAt, measuredUntil time.Time) Result {
	out := Result{Requests: len(rec.observations), UnexpectedExits: cl.exits(), Faults: rec.injected, Violations: rec.check(cl, recoveredAt), Crashes: make(map[string]int), Streams: rec.streams, Resumed: rec.resumedAfter}
	for body, times := range cl.crashes {
		out.Crashes[body] = len(times)
	}
	crashedAt := cl.firstCrashAfter(measuredUntil)
	for _, e := range rec.observations {
		served := e.response.Status == http.StatusOK && e.response.Err == nil
		if served {
			out.Served++
		}
		if e.sent.After(recoveredAt) && (crashedAt.IsZero() || e.sent.Before(crashedAt)) && e.key == platformtest.FirstKey {
			out.AfterRecovery++
			if served {
				out.AfterRecoveryServed++
			}
		}
	}
	return out
}
