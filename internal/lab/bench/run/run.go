// Package run drives one experiment: it starts a fleet, holds the workload's
// chats and makes its calls through the callers' own library, lets engines go
// and come back, checks every answer against the one that is due, and compares
// what callers were told with the upstreams' own books.
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

// Error is the class of failures of a run itself.
var Error = errs.Class("bench run")

// errAnswer is an answer that is not the one due.
var errAnswer = errs.Class("bench run: wrong answer")

// Options configures a run.
type Options struct {
	Workload *workload.Workload
	// Strategy is one of Strategies.
	Strategy string
	Seed     uint64
	// Length replaces the workload's duration where it is not zero.
	Length time.Duration
	// Log takes the routers' logs; nil drops them.
	Log *log.Logger
	// Progress is called every second, and Event before each step of the
	// churn; each may be nil.
	Progress func(Progress)
	Event    func(workload.ChurnEvent)
}

// Progress is how far a run has come.
type Progress struct {
	Elapsed, Length time.Duration
	Counts          Counts
}

// progressPeriod is the time between two calls of Options.Progress.
const progressPeriod = time.Second

// endTimeout bounds the wait for the last answers.
const endTimeout = requestTimeout + 10*time.Second

type runner struct {
	o       Options
	w       *workload.Workload
	fleet   *fleet.Fleet
	clients map[string]*client.Client
	tally   *tally
	first   *measure.Latency
	gaps    *measure.Latency
	calls   *measure.Latency
	// callPhases and firstPhases compare the time before a surge with the surge.
	callPhases  *phased
	firstPhases *phased
	churned     map[string]int
	wg          sync.WaitGroup
}

// Run carries one experiment out. It ends by itself, somewhat after the
// workload's duration, or when ctx does.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Length == 0 {
		o.Length = o.Workload.Duration
	}
	r := &runner{
		o:       o,
		w:       o.Workload,
		clients: make(map[string]*client.Client),
		tally:   newTally(),
		first:   measure.NewLatency(),
		gaps:    measure.NewLatency(),
		calls:   measure.NewLatency(),
		churned: make(map[string]int),
	}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.close()
	return r.run(ctx)
}

func (r *runner) start(ctx context.Context) error {
	s, err := setupOf(r.o.Strategy, r.w)
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
	table := newTimetable(r.w, from)
	r.callPhases, r.firstPhases = newPhased(table), newPhased(table)
	load, stop := context.WithTimeout(ctx, r.o.Length)
	defer stop()
	churned := r.startChurn(load)
	r.startLoad(load)
	r.watch(load, from)
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
	<-churned
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
			r.churned[string(ev.Kind)]++
			if r.o.Event != nil {
				r.o.Event(ev)
			}
		})
	}()
	return done
}

func (r *runner) startLoad(load context.Context) {
	for n := range r.w.Chats.Open {
		r.goRun(func() { r.chatWorker(load, n) })
	}
	for n := range r.w.SurgeChats() {
		r.goRun(func() { r.surgeWorker(load, surgeFirst+n) })
	}
	for i := range r.w.Calls {
		r.goRun(func() { r.caller(load, i) })
	}
	if r.w.Surge.Account != "" && len(r.w.Calls) > 0 {
		r.goRun(func() { r.directCaller(load) })
	}
}

func (r *runner) goRun(f func()) {
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		f()
	}()
}

// watch waits for the end of the load.
func (r *runner) watch(load context.Context, from time.Time) {
	for pause.For(load, progressPeriod) {
		if r.o.Progress != nil {
			r.o.Progress(Progress{Elapsed: time.Since(from), Length: r.o.Length, Counts: r.tally.snapshot()})
		}
	}
}

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
