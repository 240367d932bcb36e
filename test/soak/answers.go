package soak

import (
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// oddAnswers are answers with neither a length nor chunks, and ones that are none.
var oddAnswers = []platformtest.Behaviour{
	platformtest.Unframed, platformtest.Unframed, platformtest.SpoilBody, platformtest.StatusZero, platformtest.BlankName,
	platformtest.EndlessHeader, platformtest.EndlessBody, platformtest.Overflow,
}

const (
	// maxOdd is the longest time for which an engine sends odd answers, and maxResetPause the longest pause between two
	// resets of its connections.
	maxOdd        = 2500 * time.Millisecond
	maxResetPause = 150 * time.Millisecond
	// maxDown is the longest time for which all routers are down at once.
	maxDown = time.Second
)

// spoilAnswers makes engines send odd answers, again and again, and resets their connections meanwhile.
func spoilAnswers(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 100*time.Millisecond, 800*time.Millisecond))
		e, b := cl.pickServing(rng), pick(rng, oddAnswers)
		childRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		rec.recordFault("odd answers of an engine")
		wg.Go(func() { cl.spoil(e, b, childRNG, time.Now().Add(duration(childRNG, 200*time.Millisecond, maxOdd))) })
	}
}

// spoil makes an engine send odd answers until a time. It is not restarted in place meanwhile: the stand-in accepts
// connections again at once, as no process does, so that the end of an answer could not be told from that of the engine.
func (cl *cluster) spoil(e *engine, b platformtest.Behaviour, rng *rand.Rand, end time.Time) {
	e.startMu.Lock()
	defer e.startMu.Unlock()
	defer cl.disturb(e.ID)()
	e.Behave(b)
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 0, maxResetPause))
		e.proxy.resetAll()
	}
	e.Behave(platformtest.Serve)
	// Answers that have begun may still have no length.
	time.Sleep(callTimeout)
}

// restartAll kills all routers at once and starts them again, while the store has all that it has acknowledged: nobody
// else would know what it has lost.
func restartAll(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	time.Sleep(duration(rng, 0, time.Until(end)))
	cl.storeMu.Lock()
	defer cl.storeMu.Unlock()
	rec.recordFault("all routers killed")
	if err := cl.killAll(duration(rng, 0, maxDown)); err != nil {
		rec.violation("restart: %v", err)
	}
	// The routers know nothing yet of what the store might lose.
	time.Sleep(rewriteTime)
}

// killAll kills all routers at once and starts them after a time.
func (cl *cluster) killAll(down time.Duration) error {
	for _, r := range cl.routers {
		r.restartMu.Lock()
		defer r.restartMu.Unlock()
		defer cl.disturb(r.name)()
	}
	for _, r := range cl.routers {
		r.expectExit()
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
	}
	for _, r := range cl.routers {
		r.wait(stopTime)
	}
	time.Sleep(down)
	var failed []error
	for _, r := range cl.routers {
		failed = append(failed, cl.start(r))
	}
	return errors.Join(failed...)
}
