package crash

import (
	"context"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
)

// fakeEngines is a catalog and the result of connecting to each engine.
type fakeEngines struct {
	mu       sync.Mutex
	snapshot *catalog.Snapshot
	dialErr  error
	dials    int
	ended    []End
}

func (f *fakeEngines) set(engines ...catalog.Engine) {
	s := catalog.NewSnapshot()
	s, _ = s.WithEngines(catalog.EngineUpdate{Full: true, Upto: 1, Present: engines}, time.Second, time.Hour, time.Hour)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
}

// fail makes connections fail with an error.
func (f *fakeEngines) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialErr = err
}

func (f *fakeEngines) dial(context.Context, string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dials++
	if f.dialErr != nil {
		return nil, &net.OpError{Op: "dial", Err: f.dialErr}
	}
	client, server := net.Pipe()
	_ = server.Close()
	return client, nil
}

func (f *fakeEngines) detector() *Detector {
	start := time.Now()
	return NewDetector(Options{
		Snapshot: func() *catalog.Snapshot {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.snapshot
		},
		Clock: func() time.Duration { return time.Hour + time.Since(start) },
		Dial:  f.dial,
		Ended: func(e End) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.ended = append(f.ended, e)
		},
		Log: log.New(io.Discard),
	})
}

func (f *fakeEngines) ends() []End {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// reported returns the IDs of the requests that were reported with ends.
func (f *fakeEngines) reported() (ids []string) {
	for _, end := range f.ends() {
		for _, c := range end.Cuts {
			ids = append(ids, c.RequestID)
		}
	}
	return ids
}

var (
	errRefused     = os.NewSyscallError("connect", syscall.ECONNREFUSED)
	errUnreachable = os.NewSyscallError("connect", syscall.EHOSTUNREACH)
	running        = catalog.Engine{ID: "e1", Service: "llm", Address: "10.0.0.1:80", Born: 1}
)

// again is the next start of running, under its ID.
var again = catalog.Engine{ID: running.ID, Service: "llm", Address: running.Address, Born: 2}

// restarted is the engine that follows running at its address.
var restarted = catalog.Engine{ID: "e2", Service: "llm", Address: running.Address, Revision: 7}

func draining(e catalog.Engine) catalog.Engine {
	e.Draining = true
	return e
}

// Guards against blaming requests for a connection that the network broke, for an engine that stops
// as planned, or for one that is only unreachable.
func TestOnlyUnexpectedEndsAreReported(t *testing.T) {
	for name, test := range map[string]struct {
		before, after []catalog.Engine
		dialErr       error
		ended         bool
	}{
		"crashed":                                         {[]catalog.Engine{running}, []catalog.Engine{running}, errRefused, true},
		"crashed, entry expired":                          {[]catalog.Engine{running}, nil, errUnreachable, true},
		"connection reset by the network":                 {[]catalog.Engine{running}, []catalog.Engine{running}, nil, false},
		"restarted at its address":                        {[]catalog.Engine{running}, []catalog.Engine{running, restarted}, nil, true},
		"started again under its ID":                      {[]catalog.Engine{running}, []catalog.Engine{again}, nil, true},
		"started again and stopping":                      {[]catalog.Engine{running}, []catalog.Engine{draining(again)}, nil, true},
		"connection reset, then removed without draining": {[]catalog.Engine{running}, nil, nil, false},
		"unreachable":                                     {[]catalog.Engine{running}, []catalog.Engine{running}, errUnreachable, false},
		"draining":                                        {[]catalog.Engine{draining(running)}, []catalog.Engine{draining(running)}, errRefused, false},
		"draining noticed after the cut":                  {[]catalog.Engine{running}, []catalog.Engine{draining(running)}, errUnreachable, false},
		"removed without draining, then cut":              {nil, nil, errRefused, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEngines{dialErr: test.dialErr}
				f.set(test.before...)
				d := f.detector()
				d.Report(t.Context(), running, Cut{RequestID: "1"})
				d.Report(t.Context(), running, Cut{RequestID: "2"})
				synctest.Wait()
				time.Sleep(time.Millisecond)
				f.set(test.after...)
				d.Wait()
				if !test.ended {
					require.Empty(t, f.ends())
					return
				}
				require.Len(t, f.ends(), 1)
				require.Len(t, f.ends()[0].Cuts, 2)
			})
		})
	}
}

// Guards against missing a request whose connection broke after the end of its engine was reported.
func TestRequestsCutLaterBelongToTheSameEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{dialErr: errRefused}
		f.set(running)
		d := f.detector()
		d.Report(t.Context(), running, Cut{RequestID: "1"})
		d.Wait()
		d.Report(t.Context(), running, Cut{RequestID: "2"})
		d.Wait()
		require.Len(t, f.ends(), 2)
		require.True(t, f.ends()[1].Known)
		require.Equal(t, f.ends()[0].At, f.ends()[1].At)
		require.Equal(t, 1, f.dials)
	})
}

// Guards against the end of an engine that counts as the one of its former start, which it follows within
// seconds under the same ID.
func TestEndOfNextStartIsReportedAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{dialErr: errRefused}
		f.set(running)
		d := f.detector()
		d.Report(t.Context(), running, Cut{RequestID: "1"})
		d.Wait()
		time.Sleep(verdictLifetime - time.Second)
		f.set(again)
		d.Report(t.Context(), again, Cut{RequestID: "2"})
		d.Wait()
		require.Len(t, f.ends(), 2)
		require.False(t, f.ends()[1].Known)
		require.Equal(t, again.Born, f.ends()[1].Engine.Born)
		end, _ := f.ends()[1].Unexplained(1)
		require.Equal(t, quarantine.EngineStart{ID: "e1", Born: 2}, end.Start())
	})
}

// Guards against a crash that goes unnoticed because another connection to the engine was reset shortly
// before, for another reason.
func TestCrashAfterHarmlessResetIsReported(t *testing.T) {
	for _, after := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, 150 * time.Millisecond, time.Second, 4500 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeEngines{}
				f.set(running)
				d := f.detector()
				d.Report(t.Context(), running, Cut{RequestID: "harmless"})
				time.Sleep(after)
				f.fail(errRefused)
				d.Report(t.Context(), running, Cut{RequestID: "crash"})
				d.Wait()
				reported := f.reported()
				require.Contains(t, reported, "crash")
				if after > acceptDelay {
					require.NotContains(t, reported, "harmless")
				}
			})
		})
	}
}

// Guards against a crash that goes unnoticed because connections to the engine are reset all the time.
func TestCrashAmongRegularResetsIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		f.set(running)
		d := f.detector()
		for range 100 {
			d.Report(t.Context(), running, Cut{RequestID: "harmless"})
			time.Sleep(100 * time.Millisecond)
		}
		require.Empty(t, f.ends())
		f.fail(errRefused)
		d.Report(t.Context(), running, Cut{RequestID: "crash"})
		d.Wait()
		// The requests that were cut up to acceptDelay before may have been cut by the crash too.
		reported := f.reported()
		require.Contains(t, reported, "crash")
		require.LessOrEqual(t, len(reported), 2, reported)
	})
}

// Guards against a crash that goes unnoticed because the port of the engine accepts connections for a
// moment after those that were open have broken.
func TestPortThatClosesLateIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		f.set(running)
		d := f.detector()
		d.Report(t.Context(), running, Cut{RequestID: "1"})
		time.Sleep(acceptDelay / 2)
		f.fail(errRefused)
		d.Wait()
		require.Len(t, f.ends(), 1)
	})
}

// Guards against a flood of connections to an engine of which many are reset.
func TestResetsCostFewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeEngines{}
		f.set(running)
		d := f.detector()
		for range 1000 {
			d.Report(t.Context(), running, Cut{RequestID: "harmless"})
			time.Sleep(time.Millisecond)
		}
		d.Wait()
		require.Empty(t, f.ends())
		require.LessOrEqual(t, f.dials, int((time.Second+acceptDelay)/probeInterval)+2)
		require.Zero(t, d.starts[startOf(running)].investigations)
	})
}

// Guards against an end of an engine whose log line does not tell what its requests had in common.
func TestLoggedPartsAreThoseOfMostRequests(t *testing.T) {
	cut := func(ids ...string) Cut {
		var c Cut
		for _, p := range quarantine.NewParts("svc", ids) {
			c.Parts = append(c.Parts, quarantine.CutPart{Part: p})
		}
		return c
	}
	cuts := []Cut{cut("b", "a"), cut("a", "c"), cut("d", "a", "c")}
	require.Equal(t, []string{"a:3", "c:2", "b:1", "d:1"}, partCounts(cuts))
	var many []string
	for i := range 100 {
		many = append(many, strings.Repeat("x", 50)+strconv.Itoa(i))
	}
	logged := partCounts([]Cut{cut(many...)})
	require.Len(t, logged, maxLogged)
	require.LessOrEqual(t, len(logged[0]), maxLoggedID+len(":1"))
}
