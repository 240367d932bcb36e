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
	// DirectCall labels calls that go to a service VM without a router.
	DirectCall = "direct"
	// directRate is calls per second, enough for a 99th percentile in seconds.
	directRate = 150
	directPath = "/status/direct-%d"
	// streamDirect keeps the random source apart from those of the calls.
	streamDirect = 1 << 20
)

// directCaller calls service VMs without a router, while the phases of a surge
// are measured. All parts of the bench share one process and its processors:
// what becomes slower here as well is not the routers' queue.
func (r *runner) directCaller(load context.Context) {
	rng := rand.New(rand.NewPCG(r.o.Seed, streamDirect))
	for n := 0; ; n++ {
		gap := time.Duration(rng.ExpFloat64() / directRate * float64(time.Second))
		if !pause.For(load, gap) {
			return
		}
		r.goRun(func() { r.direct(n) })
	}
}

func (r *runner) direct(n int) {
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
		return Error.New("service answered %s", res.Status)
	}
	_, err = io.Copy(io.Discard, res.Body)
	return Error.Wrap(err)
}
