package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

const (
	// maxVersions is the number of versions that releases draw from, so that later ones return to earlier
	// ones.
	maxVersions = 3
	// maxEntryLag is the longest time after the start of an engine until its entry shows it.
	maxEntryLag = 500 * time.Millisecond
	// streamCallers is the number of callers that resume streams, and maxTries how often each resumes one.
	streamCallers = 6
	maxTries      = 3
	// eventPause is the time before each event of a stream.
	eventPause = 4 * time.Millisecond
	// minResumed is the number of resumed streams from which their share counts.
	minResumed = 12
)

// streamTry is one attempt of a caller at a stream.
type streamTry struct {
	platformtest.Attempt
	// version is the one that began the stream, or empty.
	version string
}

// versionName returns the i-th version. Their order means nothing.
func versionName(i int) string { return fmt.Sprint("v1.", i%maxVersions) }

// releaseVersions replaces engines by those of other versions, in steps, and restarts some in place.
func releaseVersions(cl *cluster, rec *recorder, rng *rand.Rand, end time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 100*time.Millisecond, 900*time.Millisecond))
		version := versionName(rng.IntN(maxVersions))
		cl.setVersion(version)
		if rng.IntN(3) == 0 {
			rec.recordFault("engine restarted in place as " + version)
			cl.restartAs(cl.pickServing(rng), version, duration(rng, 0, maxEntryLag))
			continue
		}
		rec.recordFault("engine replaced by one of " + version)
		old := cl.pickServing(rng)
		wg.Go(func() { drain(cl, old) })
	}
}

// setVersion sets the version of the engines that are added from now on.
func (cl *cluster) setVersion(version string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.engineVersion = version
}

// restartAs restarts an engine in place with another version; its entry follows later.
func (cl *cluster) restartAs(e *engine, version string, lag time.Duration) {
	if !e.startMu.TryLock() {
		return
	}
	defer e.startMu.Unlock()
	defer cl.disturb(e.ID)()
	e.Restart(version)
	time.Sleep(lag)
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if e.drainedAt.IsZero() {
		cl.store.PutEngine(e.Engine, e.proxy.address(), "ready")
	}
}

// runStreamCaller begins streams, leaves them after the first event, in the middle or before the last,
// and resumes them at other routers, until stop is closed.
func runStreamCaller(cl *cluster, rec *recorder, rng *rand.Rand, stop <-chan struct{}) {
	callUntil(stop, rng, minCallPause, maxCallPause, func(client *http.Client) {
		stream := new(platformtest.Stream)
		for try := 0; try < maxTries && !stream.Done; try++ {
			leaveAfter := rng.IntN(platformtest.StreamEvents)
			version := ""
			if stream.First != "" {
				version = stream.Events[0].Version
			}
			r := pick(rng, cl.routers)
			a := stream.Receive(context.Background(), client, platformtest.Call{
				Address: cl.address(r), Path: platformtest.PathResume + "?" + routerQuery + "=" + r.name, TimeoutMS: int(callTimeout.Milliseconds()),
			}, leaveAfter)
			rec.recordTry(streamTry{Attempt: a, version: version})
			time.Sleep(duration(rng, 0, 20*time.Millisecond))
		}
		rec.recordStream(stream)
	})
}

func (rec *recorder) recordTry(t streamTry) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.tries = append(rec.tries, t)
}

// recordStream checks a stream: its events are of one version, in order, each once.
func (rec *recorder) recordStream(s *platformtest.Stream) {
	rec.mu.Lock()
	rec.streams++
	rec.mu.Unlock()
	if versions := s.Versions(); len(versions) > 1 {
		rec.violation("stream %s: events of %s", s.First, strings.Join(versions, " and "))
	}
	if gap := s.Gap(); gap != "" {
		rec.violation("stream %s: %s", s.First, gap)
	}
	if s.Done && len(s.Events) != platformtest.StreamEvents {
		rec.violation("stream %s: complete with %d events", s.First, len(s.Events))
	}
}

// checkResumed: once the faults are over, streams are resumed at least half as often as new ones begin,
// while two engines of their version serve.
func (rec *recorder) checkResumed(cl *cluster, recoveredAt, measuredUntil time.Time) {
	serving := make(map[string]int)
	for _, e := range cl.serving() {
		if e.Site != cl.evacuated {
			serving[e.CurrentVersion()]++
		}
	}
	var began, resumed, sent, asked float64
	var missed []string
	rec.mu.Lock()
	for _, t := range rec.tries {
		switch {
		case t.Sent.Before(recoveredAt) || t.Sent.After(measuredUntil):
		case !t.Resumed:
			sent++
			if t.Events > 0 {
				began++
			}
		case serving[t.version] >= 2:
			asked++
			if t.Events > 0 || t.Err == nil && t.Status == http.StatusOK {
				resumed++
				continue
			}
			missed = append(missed, fmt.Sprintf("%s %v after the recovery, of %s: status %d, error %v, %s", t.ID, t.Sent.Sub(recoveredAt), t.version, t.Status, t.Err, t.Body))
		}
	}
	rec.resumedAfter = [2]int{int(resumed), int(asked)}
	rec.mu.Unlock()
	if asked >= minResumed && resumed/asked < began/sent {
		rec.violation("%.0f of %.0f streams resumed after the faults, %.0f of %.0f new ones begun; not resumed: %v", resumed, asked, began, sent, missed)
	}
}
