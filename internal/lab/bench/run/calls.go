package run

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
)

const (
	callTimeout = 20 * time.Second
	// maxCallsOpen bounds the number of concurrent calls of one kind.
	maxCallsOpen = 200
)

// callWorker sends the calls of one kind as a Poisson process, without waiting
// for earlier calls.
func (r *runner) callWorker(load context.Context, i int) {
	c := &r.w.Calls[i]
	rng := rand.New(rand.NewPCG(r.o.Seed, uint64(i)))
	open := make(chan struct{}, maxCallsOpen)
	for n := 0; ; n++ {
		gap := time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
		if !pause.For(load, gap) {
			return
		}
		select {
		case open <- struct{}{}:
		case <-load.Done():
			return
		}
		r.spawn(func() {
			r.call(c, fmt.Sprintf("%s-%d", c.Name, n))
			<-open
		})
	}
}

// call makes one call. It repeats an operation whose outcome is unknown with
// the same key, and does not repeat one that was not executed.
func (r *runner) call(c *workload.Call, id string) {
	key := ""
	if !c.Idempotent() {
		key = id
	}
	for attempt := range maxAttempts {
		reply, err := r.send(c, id, key)
		o := classifyReply(c, id, reply, err)
		r.tally.add(o, fmt.Sprintf("%s (%d)", id, attempt), err)
		if o == refused && key != "" {
			r.tally.addRefusedKey(keyAtService(c, id))
		}
		if o != interrupted {
			return
		}
		time.Sleep(backoff(err))
	}
}

func (r *runner) send(c *workload.Call, id, key string) (client.Reply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	start := time.Now()
	cl := r.clients[c.Account]
	reply, err := cl.Call(ctx, c.Method, workload.ServiceName, c.Target(id), key, []byte("{}"))
	if err != nil {
		r.callPhases.fail(c.Name, start)
		return reply, err
	}
	took := time.Since(start)
	r.calls.Add(c.Name, took)
	r.callPhases.add(c.Name, start, took)
	return reply, nil
}

// keyAtService returns the idempotency key that the service receives: routers
// prepend the account, so that equal keys of two accounts differ.
func keyAtService(c *workload.Call, key string) string { return c.Account + "/" + key }

// classifyReply checks that the reply belongs to the call.
func classifyReply(c *workload.Call, id string, reply client.Reply, err error) outcome {
	if err != nil {
		return classifyError(err)
	}
	if reply.Status >= http.StatusBadRequest {
		return interrupted
	}
	if c.Idempotent() {
		return classifyLookup(c, id, reply.Body)
	}
	var rec service.Record
	switch {
	case json.Unmarshal(reply.Body, &rec) != nil:
		return lost
	case rec.Key != keyAtService(c, id):
		return mixed
	}
	return answered
}

func classifyLookup(c *workload.Call, id string, body []byte) outcome {
	kind := path.Base(path.Dir(c.Path))
	want, err := json.Marshal(service.Lookup{Kind: kind, ID: id, State: service.LookupState(kind, id)})
	if err != nil || !json.Valid(body) {
		return lost
	}
	if !bytes.Equal(bytes.TrimSpace(body), want) {
		return mixed
	}
	return answered
}
