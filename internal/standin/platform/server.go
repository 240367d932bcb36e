// Package platform is a small stand-in for the platform's services: table
// service, object store, VM list and weight store. It keeps all state in
// memory, limits its rates as the real store does, and fails on demand.
//
// It is for tests and trials on one machine; docs/TABLE-SERVICE.md is its protocol.
package platform

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	api "damaskrouter.example/damaskrouter/internal/platform"
	"damaskrouter.example/damaskrouter/internal/standin/platform/memory"
)

// Defaults of Options, in calls a second.
const (
	DefaultWriteRate  = 500
	DefaultReadRate   = 2_000
	DefaultWeightRate = 2
)

// Options configures a Server. Zero fields take the defaults.
type Options struct {
	// WriteRate and ReadRate bound the table service and the object store
	// together, in calls a second; a transaction is one write. Beyond them a
	// call is refused and has no effect.
	WriteRate, ReadRate float64
	// WeightRate bounds the weight store, in fetches a second.
	WeightRate float64
	// VMLag is how long the VM list takes to show a change.
	VMLag time.Duration
	// Now is the clock; time.Now where nil.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	if o.WriteRate == 0 {
		o.WriteRate = DefaultWriteRate
	}
	if o.ReadRate == 0 {
		o.ReadRate = DefaultReadRate
	}
	if o.WeightRate == 0 {
		o.WeightRate = DefaultWeightRate
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return o
}

// Server is the stand-in. Its state outlives its listeners: a test can close
// one and serve on another, as a store does that was unreachable for a while.
type Server struct {
	echo    *echo.Echo
	now     func() time.Time
	store   *memory.Store
	vms     *memory.VMs
	faults  *faultBoard
	counts  *counters
	writes  *rate.Limiter
	reads   *rate.Limiter
	weights *rate.Limiter

	stopOnce sync.Once
	stopped  chan struct{}
}

// NewServer returns a Server that listens nowhere yet.
func NewServer(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		echo:    echo.New(),
		now:     opts.Now,
		store:   memory.New(),
		vms:     memory.NewVMs(opts.Now, opts.VMLag),
		faults:  newFaultBoard(),
		counts:  newCounters(),
		writes:  newLimiter(opts.WriteRate),
		reads:   newLimiter(opts.ReadRate),
		weights: newLimiter(opts.WeightRate),
		stopped: make(chan struct{}),
	}
	s.routes()
	return s
}

// newLimiter allows perSecond calls a second, and one second's worth at once.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (s *Server) routes() {
	e := s.echo
	e.HideBanner = true
	e.HTTPErrorHandler = replyError
	e.POST(api.PathTxn, s.txn, s.guard(KindTable, write))
	e.GET(api.PathRows, s.getRow, s.guard(KindTable, read))
	e.GET(api.PathScan, s.scan, s.guard(KindTable, read))
	e.PUT(api.PathObjects+"*", s.putObject, s.guard(KindObjects, write))
	e.GET(api.PathObjects+"*", s.getObject, s.guard(KindObjects, read))
	e.GET(api.PathVMs, s.listVMs, s.guard(KindVMs, read))
	e.PUT(api.PathVMs+"/:name", s.putVM)
	e.DELETE(api.PathVMs+"/:name", s.deleteVM)
	e.GET(api.PathWeights+":model/:version", s.getWeights, s.guard(KindWeights, read))
	e.POST(PathFaults, s.setFaults)
	e.PUT(PathLag, s.setLag)
	e.GET(PathStats, s.getStats)
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler { return s.echo }

// Serve answers on ln until ln or the Server is closed.
func (s *Server) Serve(ln net.Listener) error {
	srv := &http.Server{Handler: s.echo}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-s.stopped:
		case <-done:
		}
		srv.Close()
	}()
	err := srv.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Close ends every Serve and cuts the delays of slow calls.
func (s *Server) Close() { s.stopOnce.Do(func() { close(s.stopped) }) }

// SetFaults replaces the faults of f.Kind. It panics on an unknown kind.
func (s *Server) SetFaults(f Faults) {
	if !s.faults.set(f) {
		panic(api.ErrInvalid.New("unknown kind %q", f.Kind))
	}
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats { return s.counts.snapshot() }

// PutVM adds or replaces an entry of the VM list, visible after the lag.
func (s *Server) PutVM(vm api.VM) { s.vms.Put(vm) }

// DeleteVM removes an entry of the VM list, visible after the lag.
func (s *Server) DeleteVM(name string) { s.vms.Delete(name) }

// SetVMLag sets the lag of later changes of the VM list.
func (s *Server) SetVMLag(lag time.Duration) { s.vms.SetLag(lag) }

// Store returns the rows and objects, for tests that look behind the protocol.
func (s *Server) Store() *memory.Store { return s.store }
