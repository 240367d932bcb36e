package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
	"github.com/stretchr/testify/require"
)

// Guards against streams that go on at an engine of another version because the router at which their
// callers resume them was cut off from the others, or stood still, while engines of that version joined.
func TestRouterOutOfStepResumesNoStreamAtAnotherVersion(t *testing.T) {
	binary := buildRouter(t)
	cutPeers := func(cl *cluster, m mode) {
		for _, r := range cl.routers {
			r.peers.set(m)
		}
	}
	for i, test := range []struct {
		name       string
		begin, end func(cl *cluster, r *router)
	}{
		{"stands still",
			func(_ *cluster, r *router) { r.signal(syscall.SIGSTOP) },
			func(_ *cluster, r *router) { r.signal(syscall.SIGCONT) }},
		{"cut off from the routers",
			func(cl *cluster, _ *router) { cutPeers(cl, droppingAll) },
			func(cl *cluster, _ *router) { cutPeers(cl, passing) }},
		{"cut off from the routers and the store",
			func(cl *cluster, r *router) { cutPeers(cl, droppingAll); r.store.set(droppingAll) },
			func(cl *cluster, r *router) { r.store.set(passing); cutPeers(cl, passing) }},
	} {
		for j, joinAfter := range []time.Duration{200 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
			t.Run(test.name+", join after "+joinAfter.String(), func(t *testing.T) {
				t.Parallel()
				cl, err := newCluster(t.TempDir(), binary, 240+3*i+j, 4, 3)
				require.NoError(t, err)
				defer cl.close()
				require.NoError(t, cl.awaitReady())
				time.Sleep(2 * time.Second)
				outOfStep := cl.routers[3]
				test.begin(cl, outOfStep)
				time.Sleep(joinAfter)
				cl.setVersion(versionName(1))
				for _, site := range sites {
					cl.addEngine(site)
				}
				streams := resumeAt(cl, cl.routers[:3], outOfStep, 3*time.Second, func() { test.end(cl, outOfStep) })
				begun, mixed := 0, 0
				for _, s := range streams {
					if s.Events[0].Version == versionName(1) {
						begun++
					}
					for _, event := range s.Events {
						if event.Version != s.Events[0].Version {
							mixed++
							break
						}
					}
				}
				t.Logf("%d streams, %d begun at the new version", len(streams), begun)
				require.Positive(t, begun)
				require.Zero(t, mixed)
			})
		}
	}
}

// resumeAt begins streams at some routers, leaves each after its first events and resumes it at another
// router, for a duration after which it calls after, and a second more. It returns the streams that have
// begun.
func resumeAt(cl *cluster, begin []*router, resume *router, duration time.Duration, after func()) []*platformtest.Stream {
	const firstEvents, tries = 3, 3
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	call := func(r *router) platformtest.Call {
		return platformtest.Call{Address: cl.address(r), Path: platformtest.PathResume, TimeoutMS: 4000}
	}
	var mu sync.Mutex
	var streams []*platformtest.Stream
	var wg sync.WaitGroup
	end := time.Now().Add(duration + time.Second)
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			s := &platformtest.Stream{}
			s.Receive(context.Background(), client, call(begin[i%len(begin)]), firstEvents)
			if len(s.Events) == 0 {
				return
			}
			for range tries {
				if s.Receive(context.Background(), client, call(resume), 0); s.Done {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, s)
		})
		if after != nil && time.Until(end) < time.Second {
			after()
			after = nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return streams
}
