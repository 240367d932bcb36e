package soak

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
	"damaskrouter.example/damaskrouter/platform/standin"
)

const (
	// maxCopyAge is the greatest age of a copy from which the store returns, and maxAway the longest
	// time for which it is away before.
	maxCopyAge = 2 * time.Second
	maxAway    = time.Second
	// rewriteTime is the time after a return within which operators and engines write again what the
	// store has lost.
	rewriteTime = 2 * time.Second
)

// returnStore lets the store go away and return from a copy, again and again. Operators and engines
// write again what it has lost, each row at a random time.
func returnStore(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	for {
		copied := cl.store.Copy()
		time.Sleep(duration(rng, 100*time.Millisecond, maxCopyAge))
		if time.Now().After(end) {
			return
		}
		if cl.storeMu.TryLock() {
			rec.recordFault("store returns from an older copy")
			cl.returnFrom(copied, duration(rng, 0, maxAway))
			cl.storeMu.Unlock()
		}
		time.Sleep(duration(rng, 0, time.Second))
	}
}

// returnFrom lets the store go away for a time and return from a copy. What it has lost is written again.
func (cl *cluster) returnFrom(copied *standin.Copy, away time.Duration) {
	cl.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(away)
	writeAgain := cl.store.ReturnFrom(copied)
	cl.store.SetFaults(standin.Faults{})
	back := time.Now()
	for i, write := range writeAgain {
		time.Sleep(time.Until(back.Add(rewriteTime * time.Duration(i) / time.Duration(len(writeAgain)))))
		write()
	}
}

// lostRewrites is the number of entries that engines write in vain before the last return.
const lostRewrites = 20

// entrySpread is the time within which all routers have an entry of the store.
const entrySpread = 500 * time.Millisecond

// leaveAfterReturn lets the store return from a copy that lacks many versions, and an engine leave
// afterwards, by its state or by the removal of its entry. The store writes that at a version that the
// routers have known before the return. It ends when the engine may get no more requests.
func leaveAfterReturn(cl *cluster, rec *recorder, rng *rand.Rand) {
	rec.recordFault("store returns from an older copy, then an engine leaves")
	e := cl.pickServing(rng)
	copied := cl.store.Copy()
	for range lostRewrites {
		cl.store.PutEngine(e.Engine, e.proxy.address(), "ready")
	}
	time.Sleep(duration(rng, 500*time.Millisecond, time.Second))
	cl.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(duration(rng, 0, maxAway/2))
	for _, write := range cl.store.ReturnFrom(copied) {
		write()
	}
	cl.store.SetFaults(standin.Faults{})
	time.Sleep(duration(rng, 500*time.Millisecond, time.Second))
	cl.addEngine(e.Site)
	// Until the new engine is warm, the slots of the others may not be sufficient without the one that leaves.
	time.Sleep(platformtest.ColdStart + entrySpread)
	if rng.IntN(2) == 0 {
		cl.store.PutEngine(e.Engine, e.proxy.address(), "draining")
	} else {
		cl.store.RemoveEngine(e.Engine)
	}
	cl.markDraining(e)
	time.Sleep(drainBound)
}
