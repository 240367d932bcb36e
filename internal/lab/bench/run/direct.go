package run

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
)

const (
	// DirectCall labels calls to a service VM that bypass the routers.
	DirectCall = "direct"
	// directRate is in calls per second, enough for a 99th percentile within seconds.
	directRate = 150
	directPath = "/status/direct-%d"
	// directStream separates the random source from those of the calls.
	directStream = 1 << 20
)

// directWorker calls service VMs directly during the measured phases of a
// surge, as a control. All parts of the bench share one process and its
// processors: a slowdown that also appears here is not caused by the routers'
// queue.
func (r *runner) directWorker(load context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, directStream))
	for n := 0; ; n++ {
		gap := time.Duration(rng.ExpFloat64() / directRate * float64(time.Second))
		if !pause.For(load, gap) {
			return
		}
		r.spawn(func() { r.callDirectly(n) })
	}
}

func (r *runner) callDirectly(n int) {
	start := time.Now()
	if err := r.get(r.fleet.ServiceURL(n) + fmt.Sprintf(directPath, n)); err != nil {
		r.callPhases.fail(DirectCall, start)
		return
	}
	r.callPhases.add(DirectCall, start, time.Since(start))
}

func (r *runner) get(url string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Error.Wrap(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return Error.New("service responded with status %s", res.Status)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return Error.Wrap(err)
}
