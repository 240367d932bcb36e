package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// Options size a run.
type Options struct {
	Seed    uint64
	Routers int
	Engines int
	Callers int
	// Faulty is how long faults are injected.
	Faulty time.Duration
	// Dir takes the settings and logs of the routers, Binary is the program.
	Dir, Binary string
	// Network makes the routers' addresses differ from those of other runs.
	Network int
}

// Result is what a run found.
type Result struct {
	Requests int
	Served   int
	// Calm and CalmServed count the requests after the faults had ended.
	Calm, CalmServed int
	// Endings says which routers ended without being told to, and how.
	Endings []string
	Faults  []string
	// Broken are the promises that were broken.
	Broken []string
}

const (
	// settle is how long the system gets to recover before it is judged.
	settle = 5 * time.Second
	// calm is how long it is judged for.
	calm = 2 * time.Second
	// callTimeout is the callers' time limit.
	callTimeout = 2500 * time.Millisecond
)

// Run plays one seed. Errors are those of the machine, not of the system.
func Run(o Options) (Result, error) {
	w, err := newWorld(o.Dir, o.Binary, o.Network, o.Routers, o.Engines)
	if err != nil {
		return Result{}, err
	}
	defer w.close()
	b := &books{revoked: make(map[string]time.Time)}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	if err := w.awaitReady(); err != nil {
		return Result{}, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range o.Callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			callers(w, b, rand.New(rand.NewPCG(o.Seed, uint64(i+1))), stop)
		}()
	}
	disturb(w, b, rng, o.Faulty)
	time.Sleep(settle)
	calmFrom := time.Now()
	time.Sleep(calm)
	w.checkSettings(b)
	close(stop)
	wg.Wait()
	return b.result(w, calmFrom), nil
}

// awaitReady waits until each router has served a request.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, r := range w.routers {
		for {
			a := platformtest.Call{Address: w.address(r), Path: platformtest.PathSafe}.Do(context.Background(), http.DefaultClient)
			if a.Status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not get ready: status %d, %w", r.name, a.Status, a.Err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// callers is one caller: it keeps its connections open, and uses each router's
// for as long as there is one.
func callers(w *world, b *books, rng *rand.Rand, stop <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		case <-time.After(duration(rng, 2*time.Millisecond, 40*time.Millisecond)):
		}
		e := entry{path: pick(rng, platformtest.Paths), key: pick(rng, []string{platformtest.FirstKey, "key-2", "key-3"}), sent: time.Now()}
		e.answer = platformtest.Call{
			Address: w.address(pick(rng, w.routers)), Path: e.path, Key: e.key, Body: "body", TimeoutMS: int(callTimeout.Milliseconds()),
		}.Do(context.Background(), client)
		b.record(e)
	}
}

// disturb injects faults, restarts, leaves and changes of the configuration, all
// overlapping, for d.
func disturb(w *world, b *books, rng *rand.Rand, d time.Duration) {
	w.configure([]string{"key-2", "key-3"})
	end := time.Now().Add(d)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	series := []func(*rand.Rand){
		func(rng *rand.Rand) { plague(w, rng, stop, b.note) },
		func(rng *rand.Rand) { restarts(w, b, rng, end) },
		func(rng *rand.Rand) { changes(w, b, rng, end) },
		func(rng *rand.Rand) { rewrite(w, b, rng, end) },
		func(rng *rand.Rand) { evacuations(w, b, rng, end) },
		func(rng *rand.Rand) { removalsDuringRestarts(w, b, rng, end) },
	}
	for _, play := range series {
		own := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		wg.Add(1)
		go func() {
			defer wg.Done()
			play(own)
		}()
	}
	time.Sleep(time.Until(end))
	close(stop)
	wg.Wait()
}

// restarts ends routers by signals, one after the other.
func restarts(w *world, b *books, rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 300*time.Millisecond, 2*time.Second))
		s := pick(rng, []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL})
		b.note("restart by " + s.String())
		inTime, err := restart(w, pick(rng, w.routers), s, func() {})
		if err != nil {
			b.fail("restart: %v", err)
		}
		if !inTime {
			b.fail("a router did not end within %v of %v", stopTime+time.Second, s)
		}
	}
}

// changes takes keys away for good, and lets engines leave.
func changes(w *world, b *books, rng *rand.Rand, end time.Time) {
	left := [][]string{{"key-2"}, nil}
	gone := []string{"key-3", "key-2"}
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 500*time.Millisecond, 2*time.Second))
		if len(left) > 0 && rng.IntN(2) == 0 {
			w.configure(left[0])
			b.mu.Lock()
			b.revoked[gone[0]] = time.Now()
			b.mu.Unlock()
			left, gone = left[1:], gone[1:]
			b.note("key taken away")
			continue
		}
		b.note("engine leaves")
		drain(w, pick(rng, w.serving()))
	}
}

// removalsDuringRestarts removes engine entries that were not marked as draining, each while a router is
// down. It guards against a restarted router, which reads the engines only after the removal, hiding the
// removal from routers that have not received it yet and query the restarted one.
func removalsDuringRestarts(w *world, b *books, rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 300*time.Millisecond, time.Second))
		b.note("engine entry removed during a router restart")
		if _, err := restart(w, pick(rng, w.routers), syscall.SIGKILL, func() { removeWithoutDrain(w, pick(rng, w.serving())) }); err != nil {
			b.fail("restart: %v", err)
		}
	}
}

// evacuations evacuates a site again and again, and leaves it evacuated in half of the runs.
func evacuations(w *world, b *books, rng *rand.Rand, end time.Time) {
	site := pick(rng, sites)
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 100*time.Millisecond, time.Second))
		b.note("evacuation of " + site)
		w.store.Put("op", "evacuate/"+site, struct{}{})
		time.Sleep(duration(rng, 50*time.Millisecond, time.Second))
		w.store.Remove("op", "evacuate/"+site)
	}
	if rng.IntN(2) == 0 {
		b.note(site + " stays evacuated")
		w.store.Put("op", "evacuate/"+site, struct{}{})
		w.evacuated = site
	}
}

// result compares the books.
func (b *books) result(w *world, calmFrom time.Time) Result {
	out := Result{Requests: len(b.entries), Endings: w.ended(), Faults: b.faults, Broken: b.check(w, calmFrom)}
	for _, e := range b.entries {
		served := e.answer.Status == http.StatusOK && e.answer.Err == nil
		if served {
			out.Served++
		}
		if e.sent.After(calmFrom) && e.key == platformtest.FirstKey {
			out.Calm++
			if served {
				out.CalmServed++
			}
		}
	}
	return out
}
