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
	// maxCallsOpen bounds the calls of one kind that wait at one time.
	maxCallsOpen = 200
)

// caller sends the calls of one kind at random times, whether or not earlier
// ones have been answered.
func (r *runner) caller(load context.Context, i int) {
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
		r.goRun(func() {
			r.call(c, fmt.Sprintf("%s-%d", c.Name, n))
			<-open
		})
	}
}

// call makes one call. An operation whose outcome is unknown is asked for
// again with the same key; one that did not run is left at that.
func (r *runner) call(c *workload.Call, id string) {
	key := ""
	if !c.Idempotent() {
		key = id
	}
	for attempt := range maxAttempts {
		reply, err := r.send(c, id, key)
		v := judgeReply(c, id, reply, err)
		r.tally.add(v, fmt.Sprintf("%s (%d)", id, attempt), err)
		if v == refused && key != "" {
			r.tally.refusedKey(keyAtService(c, id))
		}
		if v != interrupted {
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

// keyAtService is the idempotency key as the service sees it: routers put the
// account before it, so that two accounts' equal keys differ.
func keyAtService(c *workload.Call, key string) string { return c.Account + "/" + key }

// judgeReply checks that the reply belongs to the call.
func judgeReply(c *workload.Call, id string, reply client.Reply, err error) verdict {
	if err != nil {
		return judgeError(err)
	}
	if reply.Status >= http.StatusBadRequest {
		return interrupted
	}
	if c.Idempotent() {
		return judgeLookup(c, id, reply.Body)
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

func judgeLookup(c *workload.Call, id string, body []byte) verdict {
	kind := path.Base(path.Dir(c.Path))
	due, err := json.Marshal(service.Lookup{Kind: kind, ID: id, State: service.LookupState(kind, id)})
	if err != nil || !json.Valid(body) {
		return lost
	}
	if !bytes.Equal(bytes.TrimSpace(body), due) {
		return mixed
	}
	return answered
}
