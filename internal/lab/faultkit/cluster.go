package faultkit

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
)

// The pools and the model of the example configuration.
const (
	PoolLanguage = "language"
	PoolPortal   = "portal"
	Model        = "dossier"
	modelVersion = "2.1"
)

// Options set up a World.
type Options struct {
	// Engines and Services are how many of each there are.
	Engines, Services int
	// StepTime is the time of an engine's step; 0 means 10 ms.
	StepTime time.Duration
	// EngineVersion is the model version that engines start with; empty
	// means the one of the example configuration.
	EngineVersion string
	// Budget bounds each router's calls of the table service; nil means no bound.
	Budget *platform.BudgetOptions
	// Seed drives the routers' random choices.
	Seed uint64
	// Bundle is the first configuration.
	Bundle config.Bundle
}

// World is a platform, engines, services and routers in one process, to be
// run in a synctest bubble.
type World struct {
	Net       *Network
	Platform  *platformtest.Fake
	Routers   []*Router
	Oracle    *Oracle
	Seed      uint64
	mu        sync.Mutex
	announced func(from *Router, item membership.Item)

	opts    Options
	gates   []*Gate
	servers []*http.Server
	wg      sync.WaitGroup
	tokens  atomic.Int64
}

// NewWorld starts the platform and the stand-ins.
func NewWorld(o Options) (*World, error) {
	if o.StepTime == 0 {
		o.StepTime = 10 * time.Millisecond
	}
	if o.EngineVersion == "" {
		o.EngineVersion = modelVersion
	}
	w := &World{Net: NewNetwork(), Platform: platformtest.New(), Oracle: newOracle(), Seed: o.Seed, opts: o}
	chain := config.NewChain(w.Platform, w.Platform.Objects(), time.Now)
	_, err := chain.Accept(context.Background(), config.Change{
		Bundle: o.Bundle, ChangeID: "first", Author: "test", Comment: "first version",
	})
	if err != nil {
		return nil, err
	}
	for i := range o.Engines {
		w.AddEngine(fmt.Sprint("engine-", i), EngineAddress(i), 1)
	}
	for i := range o.Services {
		w.AddService(fmt.Sprint("portal-", i), ServiceAddress(i), 1)
	}
	return w, nil
}

// EngineAddress is the address of the i-th engine.
func EngineAddress(i int) string { return fmt.Sprintf("10.1.0.%d:80", i+1) }

// ServiceAddress is the address of the i-th service.
func ServiceAddress(i int) string { return fmt.Sprintf("10.2.0.%d:80", i+1) }

// RouterAddress is the address of the i-th router.
func RouterAddress(i int) string { return fmt.Sprintf("10.3.0.%d:80", i+1) }

// AddEngine starts an engine and lists it.
func (w *World) AddEngine(name, address string, generation uint64) *engine.Engine {
	o := engine.Defaults(name, Model)
	o.Version = w.opts.EngineVersion
	o.Adapters = []string{"grid-code", "objections"}
	o.StepTime = w.opts.StepTime
	o.ReportLag = 0
	e := engine.New(o)
	w.Oracle.addEngine(name, e)
	w.serve(name, address, e.Handler())
	w.list(name, address, platform.KindEngine, PoolLanguage, generation)
	return e
}

// ReplaceEngine lets the i-th engine's VM vanish and another engine come up at
// its address, under another name.
func (w *World) ReplaceEngine(i int, name string) *engine.Engine {
	old := fmt.Sprint("engine-", i)
	w.Net.Between("", old, (*Conn).Cut)
	w.Oracle.Engine(old).Crash()
	w.Platform.DeleteVM(old)
	return w.AddEngine(name, EngineAddress(i), 2)
}

// ReplaceService is ReplaceEngine for the i-th service.
func (w *World) ReplaceService(i int, name string) *service.Service {
	old := fmt.Sprint("portal-", i)
	w.Net.Between("", old, (*Conn).Cut)
	w.Platform.DeleteVM(old)
	return w.AddService(name, ServiceAddress(i), 2)
}

// AddService starts a plain service and lists it.
func (w *World) AddService(name, address string, generation uint64) *service.Service {
	s := service.New(service.Options{Name: name})
	w.Oracle.addService(name, s)
	w.serve(name, address, s.Handler())
	w.list(name, address, platform.KindService, PoolPortal, generation)
	return s
}

func (w *World) list(name, address, kind, pool string, generation uint64) {
	w.Platform.PutVM(platform.VM{
		Name: name, Address: address, Site: site, State: platform.VMLive,
		Generation: generation, Kind: kind, Pool: pool,
	})
}

func (w *World) serve(name, address string, h http.Handler) {
	ln := w.Net.Listen(name, address, nil)
	srv := &http.Server{Handler: h, ErrorLog: quiet().StandardLog()}
	w.servers = append(w.servers, srv)
	w.wg.Go(func() { _ = srv.Serve(ln) })
}

// OnAnnounce sets what gets the configuration heads that routers announce.
func (w *World) OnAnnounce(f func(from *Router, item membership.Item)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.announced = f
}

func (w *World) announce(from *Router, item membership.Item) {
	w.mu.Lock()
	f := w.announced
	w.mu.Unlock()
	if f != nil {
		f(from, item)
	}
}

// table is a router's way to the table service, within its budget.
func (w *World) table() platform.Table {
	if w.opts.Budget == nil {
		return w.Platform
	}
	return platform.Budgeted(w.Platform, platform.NewBudget(*w.opts.Budget))
}

// token returns a new claim token.
func (w *World) token() string { return fmt.Sprint("token-", w.tokens.Add(1)) }

// Close ends everything.
func (w *World) Close() {
	for _, g := range w.gates {
		g.Thaw()
	}
	for _, r := range w.Routers {
		r.Gate.Thaw()
	}
	w.Net.Close()
	for _, r := range w.Routers {
		r.Close()
	}
	for _, e := range w.Oracle.Engines() {
		e.Close()
	}
	for _, srv := range w.servers {
		_ = srv.Close()
	}
	w.wg.Wait()
}
