package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
	"damaskrouter.example/damaskrouter/platform/standin"
)

// fault is a temporary fault.
type fault struct {
	name string
	// inject starts the fault and ends it after d. Faults without a duration return at
	// once.
	inject func(cl *cluster, rng *rand.Rand, d time.Duration)
}

// Faults of links, of the store and of engines.
var (
	badLinks   = []mode{delayed, resetting, droppingReplies, droppingAll}
	badStores  = []standin.Fault{standin.Unavailable, standin.RateLimited, standin.Unresponsive, standin.StaleWatches}
	badEngines = []platformtest.Behaviour{
		platformtest.Reject, platformtest.RespondError, platformtest.Reset, platformtest.NeverRespond,
		platformtest.TruncateBody, platformtest.OmitLength, platformtest.SecondResponse, platformtest.OmitSeal,
	}
)

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

var faults = []fault{
	{"store link", func(cl *cluster, rng *rand.Rand, d time.Duration) {
		p := pick(rng, cl.routers).store
		p.set(pick(rng, badLinks))
		time.Sleep(d)
		p.set(passing)
	}},
	{"router link", func(cl *cluster, rng *rand.Rand, d time.Duration) {
		l := pick(rng, cl.routers).peers
		l.set(pick(rng, badLinks))
		time.Sleep(d)
		l.set(passing)
	}},
	{"store", func(cl *cluster, rng *rand.Rand, d time.Duration) {
		bad := pick(rng, badStores)
		cl.store.SetClientFaults(func(string) standin.Fault { return bad })
		time.Sleep(d)
		cl.store.SetClientFaults(func(string) standin.Fault { return standin.NoFault })
	}},
	{"store history compacted", func(cl *cluster, _ *rand.Rand, _ time.Duration) { cl.store.Compact() }},
	{"engine link", func(cl *cluster, rng *rand.Rand, d time.Duration) {
		e := cl.pickServing(rng)
		defer cl.disturb(e.ID)()
		p := e.proxy
		p.set(pick(rng, badLinks))
		time.Sleep(d)
		p.set(passing)
	}},
	{"engine", func(cl *cluster, rng *rand.Rand, d time.Duration) {
		e := cl.pickServing(rng)
		defer cl.disturb(e.ID)()
		e.Behave(pick(rng, badEngines))
		time.Sleep(d)
		e.Behave(platformtest.Serve)
	}},
	{"pause", func(cl *cluster, rng *rand.Rand, d time.Duration) {
		r := pick(rng, cl.routers)
		defer cl.disturb(r.name)()
		r.signal(syscall.SIGSTOP)
		time.Sleep(d)
		r.signal(syscall.SIGCONT)
	}},
	{"hangup", func(cl *cluster, rng *rand.Rand, _ time.Duration) { pick(rng, cl.routers).signal(syscall.SIGHUP) }},
}

// restart stops a router with a signal, calls whileDown and starts the router again.
// inTime reports whether the process exited within stopTime and a second.
func restart(cl *cluster, r *router, s syscall.Signal, whileDown func()) (inTime bool, err error) {
	r.restartMu.Lock()
	defer r.restartMu.Unlock()
	defer cl.disturb(r.name)()
	r.expectExit()
	r.signal(syscall.SIGCONT)
	r.signal(s)
	inTime = r.wait(stopTime + time.Second)
	whileDown()
	return inTime, cl.start(r)
}

// removeWithoutDrain adds a new engine, then removes e's entry without marking it as
// draining first. e continues to serve requests that reach it.
func removeWithoutDrain(cl *cluster, e *engine) {
	cl.addEngine(e.Site)
	cl.store.RemoveEngine(e.Engine)
	cl.markDraining(e)
}

// drain adds a new engine, marks e as draining, and removes its entry after drainBound
// and a second.
func drain(cl *cluster, e *engine) {
	cl.addEngine(e.Site)
	cl.store.PutEngine(e.Engine, e.proxy.address(), "draining")
	cl.markDraining(e)
	time.Sleep(drainBound + time.Second)
	cl.store.RemoveEngine(e.Engine)
}

// injectFaults injects overlapping random faults until stop is closed, and waits for
// their end.
func injectFaults(cl *cluster, rng *rand.Rand, stop <-chan struct{}, record func(string)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(duration(rng, 50*time.Millisecond, 600*time.Millisecond)):
		}
		f := faults[rng.IntN(len(faults))]
		d := duration(rng, 200*time.Millisecond, 2500*time.Millisecond)
		childRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		record(f.name)
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.inject(cl, childRNG, d)
		}()
	}
}
