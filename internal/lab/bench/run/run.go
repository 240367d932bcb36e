// Package run executes one experiment: it starts a fleet, runs the workload's
// chats and calls through the client library, stops and restarts engines,
// checks every response against the expected one, and compares the responses
// to callers with the upstreams' own records.
package run

import (
	"context"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/lab/bench/fleet"
	"damaskrouter.example/damaskrouter/internal/lab/bench/measure"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
)

// Error is the class of failures of the run itself.
var Error = errs.Class("bench run")

// errAnswer is the class of errors for answers that differ from the expected
// one.
var errAnswer = errs.Class("bench run: wrong answer")

// Options configures a run.
type Options struct {
	Workload *workload.Workload
	// Strategy is one of Strategies.
	Strategy string
	Seed     uint64
	// Length replaces the workload's duration if it is not zero.
	Length time.Duration
	// Log receives the routers' logs; nil discards them.
	Log *log.Logger
	// Progress is called every second, and Event before each churn event.
	// Either may be nil.
	Progress func(Progress)
	Event    func(workload.ChurnEvent)
}

// Progress is the state of a run in progress.
type Progress struct {
	Elapsed, Length time.Duration
	Counts          Counts
}

// progressPeriod is the time between two calls of Options.Progress.
const progressPeriod = time.Second

// endTimeout bounds the wait for the last responses.
const endTimeout = requestTimeout + 10*time.Second

type runner struct {
	o          Options
	w          *workload.Workload
	fleet      *fleet.Fleet
	clients    map[string]*client.Client
	tally      *tally
	firstToken *measure.Latency
	nextToken  *measure.Latency
	calls      *measure.Latency
	// callPhases and firstPhases compare the time before a surge with the surge.
	callPhases  *phaseLatencies
	firstPhases *phaseLatencies
	churnCounts map[string]int
	wg          sync.WaitGroup
}

// Run executes one experiment. It returns somewhat after the workload's
// duration, or when ctx ends, after all requests have ended. Errors: Error,
// ErrStrategy, fleet.Error, and those of package client.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Length == 0 {
		o.Length = o.Workload.Duration
	}
	r := &runner{
		o:           o,
		w:           o.Workload,
		clients:     make(map[string]*client.Client),
		tally:       newTally(),
		firstToken:  measure.NewLatency(),
		nextToken:   measure.NewLatency(),
		calls:       measure.NewLatency(),
		churnCounts: make(map[string]int),
	}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.close()
	return r.run(ctx)
}

func (r *runner) start(ctx context.Context) error {
	s, err := setupFor(r.o.Strategy, r.w)
	if err != nil {
		return err
	}
	s.options.Seed = r.o.Seed
	r.fleet, err = fleet.Start(ctx, fleet.Options{Workload: r.w, Bound: s.bound, Router: s.options, Log: r.o.Log})
	if err != nil {
		return err
	}
	for i := range r.w.Accounts {
		a := &r.w.Accounts[i]
		c, err := client.New(client.Options{Seeds: r.fleet.Addresses(), Key: a.Key()})
		if err != nil {
			r.close()
			return err
		}
		r.clients[a.Name] = c
	}
	return nil
}

func (r *runner) close() {
	for _, c := range r.clients {
		c.Close()
	}
	r.fleet.Close()
}

func (r *runner) run(ctx context.Context) (*Result, error) {
	before, err := r.fleet.ControlBytes()
	if err != nil {
		return nil, err
	}
	from := time.Now()
	phases := newPhaseTimes(r.w, from)
	r.callPhases, r.firstPhases = newPhaseLatencies(phases), newPhaseLatencies(phases)
	load, stop := context.WithTimeout(ctx, r.o.Length)
	defer stop()
	churnDone := r.startChurn(load)
	r.startLoad(load)
	r.reportProgress(load, from)
	to := time.Now()
	control, err := r.fleet.ControlBytes()
	if err != nil {
		return nil, err
	}
	for i := range control {
		control[i] = control[i].Since(before[i])
	}
	if !r.waitEnd() {
		return nil, Error.New("requests were still open %s after the end of the load", endTimeout)
	}
	<-churnDone
	if err := ctx.Err(); err != nil {
		return nil, Error.Wrap(err)
	}
	return r.collect(from, to, control), nil
}

func (r *runner) startChurn(load context.Context) <-chan struct{} {
	done := make(chan struct{})
	script := r.w.Script(r.o.Seed, r.o.Length)
	go func() {
		defer close(done)
		r.fleet.Churn(load, script, func(ev workload.ChurnEvent) {
			r.churnCounts[string(ev.Kind)]++
			if r.o.Event != nil {
				r.o.Event(ev)
			}
		})
	}()
	return done
}

func (r *runner) startLoad(load context.Context) {
	for n := range r.w.Chats.Open {
		r.spawn(func() { r.chatWorker(load, n) })
	}
	for n := range r.w.SurgeChats() {
		r.spawn(func() { r.surgeWorker(load, surgeChatOffset+n) })
	}
	for i := range r.w.Calls {
		r.spawn(func() { r.callWorker(load, i) })
	}
	if r.w.Surge.Account != "" && len(r.w.Calls) > 0 {
		r.spawn(func() { r.directWorker(load) })
	}
}

func (r *runner) spawn(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// reportProgress calls Options.Progress periodically until load ends.
func (r *runner) reportProgress(load context.Context, from time.Time) {
	for pause.For(load, progressPeriod) {
		if r.o.Progress != nil {
			r.o.Progress(Progress{Elapsed: time.Since(from), Length: r.o.Length, Counts: r.tally.snapshot()})
		}
	}
}

// waitEnd waits for all requests. It returns false after endTimeout.
func (r *runner) waitEnd() bool {
	done := make(chan struct{})
	go func() {
		r.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(endTimeout):
		return false
	}
}
