// Package fleet starts a whole fleet in this process on loopback sockets: a
// stand-in store, stand-in engines and service VMs, and real routers. Engines
// can be stopped and restarted while it runs.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/lab/bench/workload"
	"damaskrouter.example/damaskrouter/internal/lab/standin"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/serve/router"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	storestandin "damaskrouter.example/damaskrouter/platform/standin"
	"github.com/charmbracelet/log"
	"github.com/zeebo/errs"
)

// Error is the class of failures to start a fleet.
var Error = errs.Class("bench fleet")

const (
	loopback = "127.0.0.1:0"
	// readyTimeout bounds the wait until each router knows all other routers, the
	// engines and the configuration.
	readyTimeout = 20 * time.Second
	readyPoll    = 50 * time.Millisecond
	// settleDelay lets the owners receive reports of their engines and propagate them.
	settleDelay       = 2500 * time.Millisecond
	locateTTL         = 2 * time.Second
	drainTime         = 10 * time.Second
	readHeaderTimeout = 5 * time.Second
)

// Options configures a fleet.
type Options struct {
	Workload *workload.Workload
	// Bound is the load bound of the language pool.
	Bound float64
	// Router is passed to each router. The seed is incremented for each of them.
	Router router.Options
	// Log receives the routers' logs; nil discards them.
	Log *log.Logger
}

// Fleet is a running fleet. Close stops it.
type Fleet struct {
	opts  Options
	store *storestandin.Server
	// storeAddress is the address on which the store listens.
	storeAddress string
	servers      []*http.Server
	wg           sync.WaitGroup

	Engines  []*Engine
	Services []*service.Service
	// serviceURLs are the base URLs of the services.
	serviceURLs []string
	Routers     []*router.Router
}

// Start starts a fleet and waits until it is ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	if o.Log == nil {
		o.Log = log.New(io.Discard)
	}
	f := &Fleet{opts: o, store: standin.NewStore()}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, Error.Wrap(err)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	address, err := f.serve(f.store.Handler())
	if err != nil {
		return err
	}
	f.storeAddress = address
	b, err := f.opts.Workload.Bundle(f.opts.Bound)
	if err != nil {
		return err
	}
	if err := standin.Seed(ctx, address, b); err != nil {
		return err
	}
	if err := f.startUpstreams(); err != nil {
		return err
	}
	if err := f.startRouters(); err != nil {
		return err
	}
	return f.waitReady(ctx)
}

func (f *Fleet) startUpstreams() error {
	w := f.opts.Workload
	for i := range w.Engines.Count {
		if err := f.startEngine(i); err != nil {
			return err
		}
	}
	for i := range w.Services.Count {
		if err := f.startService(i); err != nil {
			return err
		}
	}
	return nil
}

// putVM adds a VM to the list or replaces its entry.
func (f *Fleet) putVM(vm platform.VM) { f.store.Put(platform.TableVMs, vm.Name, vm) }

func (f *Fleet) startService(i int) error {
	name := fmt.Sprintf("service-%d", i+1)
	s := service.New(service.Options{Name: name, Latency: f.opts.Workload.Services.Latency})
	address, err := f.serve(s.Handler())
	if err != nil {
		return err
	}
	f.Services = append(f.Services, s)
	f.serviceURLs = append(f.serviceURLs, "http://"+address)
	f.putVM(platform.VM{
		Name: name, Address: address, Site: siteOf(i), Pool: workload.ServicePool,
		Kind: platform.KindService, State: platform.VMLive, Generation: 1,
	})
	return nil
}

func (f *Fleet) startRouters() error {
	for i := range f.opts.Workload.Routers {
		opts := f.opts.Router
		opts.Seed += uint64(i)
		r, err := router.New(f.settings(i), f.opts.Log, opts)
		if err != nil {
			return err
		}
		if err := r.Start(); err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
	}
	return nil
}

func (f *Fleet) settings(i int) *settings.Settings {
	s := &settings.Settings{
		Name:   fmt.Sprintf("router-%d", i+1),
		Site:   siteOf(i),
		Region: workload.Region,
		// Also advertised, so that the port selected by the system is published.
		Listen: loopback, Advertise: loopback,
		ControlListen: loopback, ControlAdvertise: loopback,
		Platform:      settings.Platform{Store: f.storeAddress},
		Timeouts:      settings.Timeouts{LocateTTL: locateTTL, Drain: drainTime},
		AllowInsecure: true,
	}
	for _, r := range f.Routers {
		s.Seeds = append(s.Seeds, r.Control())
	}
	// Provision fails only on invalid keys, and there are none here.
	_ = s.Provision()
	return s
}

// serve serves h on a loopback port of its own and returns the address.
func (f *Fleet) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: f.opts.Log.StandardLog()}
	f.servers = append(f.servers, srv)
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			f.opts.Log.Error("stand-in listener failed", "cause", err)
		}
	}()
	return ln.Addr().String(), nil
}

func (f *Fleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !f.ready() {
		if !pause.For(ctx, readyPoll) {
			return Error.New("not ready after %s", readyTimeout)
		}
	}
	pause.For(ctx, settleDelay)
	return nil
}

func (f *Fleet) ready() bool {
	upstreams := len(f.Engines) + len(f.Services)
	for _, r := range f.Routers {
		s := r.Snapshot()
		if s.Config == nil || len(s.Live) != len(f.Routers) || len(s.Engines) != upstreams {
			return false
		}
	}
	return true
}

// Addresses returns the addresses of the routers.
func (f *Fleet) Addresses() []string {
	var out []string
	for _, r := range f.Routers {
		out = append(out, r.Address())
	}
	return out
}

// ServiceURL returns the base URL of a service, for calls that bypass the
// routers. It selects service n modulo the number of services.
func (f *Fleet) ServiceURL(n int) string { return f.serviceURLs[n%len(f.serviceURLs)] }

// ControlTraffic is the control traffic of one router, sent and received, in
// bytes: membership and load digests over UDP, calls between routers over TCP,
// and polls of and orders to upstreams.
type ControlTraffic struct {
	UDP, TCP int64
	Upstream upstream.Traffic
}

// Since returns the traffic since an earlier reading.
func (c ControlTraffic) Since(earlier ControlTraffic) ControlTraffic {
	return ControlTraffic{
		UDP:      c.UDP - earlier.UDP,
		TCP:      c.TCP - earlier.TCP,
		Upstream: c.Upstream.Since(earlier.Upstream),
	}
}

// ControlBytes returns the total control traffic of each router.
func (f *Fleet) ControlBytes() ([]ControlTraffic, error) {
	out := make([]ControlTraffic, len(f.Routers))
	for i, r := range f.Routers {
		out[i].UDP, out[i].TCP = r.ControlBytes()
		if err := readVar(r, upstreamBytes, &out[i].Upstream); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// upstreamBytes is the metric of the traffic to and from upstreams.
const upstreamBytes = "upstream_bytes"

// readVar decodes a metric of a router into out.
func readVar(r *router.Router, name string, out any) error {
	v := r.Vars().Get(name)
	if v == nil {
		return Error.New("router has no metric %q", name)
	}
	return Error.Wrap(json.Unmarshal([]byte(v.String()), out))
}

// Admission sums up the admission counters of all routers.
func (f *Fleet) Admission() map[string]int64 {
	out := make(map[string]int64)
	for _, r := range f.Routers {
		v := r.Vars().Get("admission")
		if v == nil {
			continue
		}
		var one map[string]int64
		if json.Unmarshal([]byte(v.String()), &one) != nil {
			continue // a value that is not an integer
		}
		for name, n := range one {
			out[name] += n
		}
	}
	return out
}

// Close stops the routers, the upstreams and the store, in this order.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		r.Close()
	}
	for _, e := range f.Engines {
		e.close()
	}
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.store.Close()
	f.wg.Wait()
}

func siteOf(i int) string { return workload.Sites[i%len(workload.Sites)] }
