package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// A stream of rapport-complet of armor-survey: callers leave it after a gap of patience.
const (
	streamEvents   = 40
	streamInterval = 100 * time.Millisecond
	patience       = 3200 * time.Millisecond
	streamLimit    = 12 * time.Second
)

const (
	// cutTime is how long an engine is cut off, crashAfter when it crashes behind the cut, and downTime when it has started again.
	cutTime    = 2600 * time.Millisecond
	crashAfter = 300 * time.Millisecond
	downTime   = 2 * time.Second
	// cuts is how many engines are cut off, one after the other, of cutEngines, and cutEvery how often. It is cutEngines/2+1 at most.
	cuts, cutEngines = 6, 10
	cutEvery         = 8 * time.Second
	// unframedTime is for how long half of the engines, with the one that will be cut off, send one stream in unframedShare without
	// a length or chunks. It begins unframedBefore the cut.
	unframedTime, unframedBefore = 5 * time.Second, 4500 * time.Millisecond
	unframedShare                = 20
	// streamsEvery is the time between two streams.
	streamsEvery = 10 * time.Millisecond
	// streamSlots is how many streams an engine runs at once.
	streamSlots = 48
)

// heldEnd cuts engines off from all machines, one after the other. Each crashes behind its cut and starts again, under the ID and
// at the address that it had. What it had sent, and the end of its connections, arrives when the cut ends.
func heldEnd(rec *record, trouble bool) (broken bool, err error) {
	f, err := newFleet(rec, armorSheet, 3, streamConfig())
	if err != nil {
		return false, err
	}
	defer f.close()
	engines, err := f.addCutEngines(cutEngines)
	if err != nil {
		return false, err
	}
	time.Sleep(f.stable)
	callers := streamCallers{fleet: f, failures: make(map[int]int)}
	stop := callers.run()
	for i := range cuts {
		began := time.Now()
		unframed := engines[i : i+cutEngines/2]
		for _, e := range unframed {
			e.omitsLengths.Store(true)
		}
		time.AfterFunc(unframedTime, func() {
			for _, e := range unframed {
				e.omitsLengths.Store(false)
			}
		})
		time.Sleep(unframedBefore)
		if trouble {
			if err := f.rebirth(engines[i]); err != nil {
				return false, err
			}
		}
		time.Sleep(time.Until(began.Add(cutEvery)))
	}
	stop()
	return callers.early.Load() > 0, nil
}

// streamConfig returns a configuration with the objectives of rapport-complet.
func streamConfig() any {
	c := platformtest.Config(1, nil).(map[string]any)
	for _, r := range c["routes"].([]map[string]any) {
		r["timeoutMs"], r["targetLatencyMs"], r["gapAimMs"] = streamLimit.Milliseconds(), 600, 400
	}
	return c
}

// cutEngine is an engine with the path to it.
type cutEngine struct {
	*engine
	path         *proxy
	omitsLengths atomic.Bool
	streams      atomic.Int64
}

func (f *fleet) addCutEngines(n int) ([]*cutEngine, error) {
	var out []*cutEngine
	for i := range n {
		e, err := newEngine(fmt.Sprintf("i-7f3a91c%d", i), fmt.Sprintf("zone-%c", 'a'+i%3))
		if err != nil {
			return nil, err
		}
		ce := &cutEngine{engine: e}
		if ce.path, err = newProxy("127.0.0.1:0", e.address, nil, nil); err != nil {
			return nil, err
		}
		e.published, e.closes, e.slots, e.events, e.interval = ce.path.address(), true, streamSlots, streamEvents, streamInterval
		e.unframed = func() bool { return ce.omitsLengths.Load() && ce.streams.Add(1)%unframedShare == 1 }
		f.register(e)
		out = append(out, ce)
	}
	return out, nil
}

// rebirth lets an engine crash behind a cut and start again. CUT=0 leaves the cut out.
func (f *fleet) rebirth(e *cutEngine) error {
	isCut := os.Getenv("CUT") != "0"
	began := time.Now()
	if isCut {
		e.path.cut.begin()
		f.rec.note("engine %s is cut off", e.currentID())
	}
	time.Sleep(crashAfter)
	if !isCut {
		e.path.refuse()
	}
	e.end()
	f.rec.note("engine %s crashes", e.currentID())
	time.Sleep(downTime)
	if err := e.start(); err != nil {
		return err
	}
	if !isCut {
		if err := e.path.accept(); err != nil {
			return err
		}
	}
	f.register(e.engine)
	f.rec.note("engine %s has started again", e.currentID())
	if isCut {
		time.Sleep(time.Until(began.Add(cutTime)))
		e.path.cut.end()
		f.rec.note("the cut of engine %s ends", e.currentID())
	}
	return nil
}

// streamCallers send requests for streams to all machines.
type streamCallers struct {
	*fleet
	// whole counts complete streams, early those that ended as complete before their last event, and cut the others.
	whole, early, cut atomic.Int64

	mu sync.Mutex
	// failures counts the latter by status; those of status 200 broke off, those of status 0 got no answer.
	failures map[int]int
}

// run sends requests until the returned function is called.
func (s *streamCallers) run() (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(streamsEvery):
			}
			wg.Go(func() { s.receive(s.machines[i%len(s.machines)]) })
		}
	})
	return func() {
		close(done)
		wg.Wait()
		s.rec.note("streams: %d complete, %d that ended as complete before their last event, %d others, by status %v", s.whole.Load(), s.early.Load(), s.cut.Load(), s.failures)
	}
}

// receive receives a stream and counts how it ended.
func (s *streamCallers) receive(m *machine) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	leave := time.AfterFunc(patience, cancel)
	client := &http.Client{Transport: &impatient{http.Transport{DisableKeepAlives: true}, leave}}
	var stream platformtest.Stream
	a := stream.Receive(ctx, client, platformtest.Call{
		Address: m.callers.address(), Path: platformtest.PathStream, Body: "x", TimeoutMS: int(streamLimit.Milliseconds()),
	}, 0)
	switch {
	case a.Status == http.StatusOK && stream.Done && len(stream.Events) == streamEvents:
		s.whole.Add(1)
	case a.Status == http.StatusOK && stream.Done:
		s.early.Add(1)
		s.rec.note("request %s to %s: status 200, complete after %d events of %d by engine seal %s", a.ID, m.name, len(stream.Events), streamEvents,
			a.Seal())
	default:
		s.cut.Add(1)
		s.mu.Lock()
		s.failures[a.Status]++
		s.mu.Unlock()
	}
}

// impatient is a transport that puts off a timer as long as bytes of an answer arrive.
type impatient struct {
	http.Transport
	leave *time.Timer
}

// RoundTrip implements http.RoundTripper.
func (t *impatient) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err == nil {
		resp.Body = &impatientBody{resp.Body, t.leave}
	}
	return resp, err
}

// impatientBody is the body of such an answer.
type impatientBody struct {
	io.ReadCloser
	leave *time.Timer
}

// Read implements io.Reader.
func (b *impatientBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.leave.Reset(patience)
	}
	return n, err
}
