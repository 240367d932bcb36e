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

// Pools and model of the example configuration.
const (
	PoolLanguage = "language"
	PoolPortal   = "portal"
	Model        = "dossier"
	modelVersion = "2.1"
)

// Options configures a Cluster.
type Options struct {
	// Engines and Services are the numbers of engines and services at the start.
	Engines, Services int
	// StepTime is the duration of one engine step; 0 selects 10 ms.
	StepTime time.Duration
	// EngineVersion is the model version of engines; empty selects the one of the
	// example configuration.
	EngineVersion string
	// Budget limits each router's calls of the table service; nil means no limit.
	Budget *platform.BudgetOptions
	// Seed seeds the routers' random choices.
	Seed uint64
	// Bundle is the first configuration.
	Bundle config.Bundle
}

// Cluster is a platform, engines, services and routers in one process. It runs in a
// synctest bubble.
type Cluster struct {
	Net        *Network
	Platform   *platformtest.Fake
	Routers    []*Router
	Oracle     *Oracle
	Seed       uint64
	mu         sync.Mutex
	onAnnounce func(from *Router, item membership.Item)

	options Options
	started time.Time
	gates   []*Gate
	servers []*http.Server
	wg      sync.WaitGroup
	tokens  atomic.Int64
}

// NewCluster starts the platform, the engines and the services. Routers are started by
// StartRouter.
func NewCluster(o Options) (*Cluster, error) {
	if o.StepTime == 0 {
		o.StepTime = 10 * time.Millisecond
	}
	if o.EngineVersion == "" {
		o.EngineVersion = modelVersion
	}
	cl := &Cluster{Net: NewNetwork(), Platform: platformtest.New(), Oracle: newOracle(), Seed: o.Seed, options: o, started: time.Now()}
	chain := config.NewChain(cl.Platform, cl.Platform.Objects(), time.Now)
	_, err := chain.Accept(context.Background(), config.Change{
		Bundle: o.Bundle, ChangeID: "first", Author: "test", Comment: "first version",
	})
	if err != nil {
		return nil, err
	}
	for i := range o.Engines {
		cl.AddEngine(fmt.Sprint("engine-", i), EngineAddress(i), 1)
	}
	for i := range o.Services {
		cl.AddService(fmt.Sprint("portal-", i), ServiceAddress(i), 1)
	}
	return cl, nil
}

// clock returns a time that passes like that of the bubble.
func (cl *Cluster) clock() time.Duration { return time.Hour + time.Since(cl.started) }

// EngineAddress returns the address of the i-th engine.
func EngineAddress(i int) string { return fmt.Sprintf("10.1.0.%d:80", i+1) }

// ServiceAddress returns the address of the i-th service.
func ServiceAddress(i int) string { return fmt.Sprintf("10.2.0.%d:80", i+1) }

// RouterAddress returns the address of the i-th router.
func RouterAddress(i int) string { return fmt.Sprintf("10.3.0.%d:80", i+1) }

// AddEngine starts an engine and adds its VM to the VM list.
func (cl *Cluster) AddEngine(name, address string, generation uint64) *engine.Engine {
	o := engine.Defaults(name, Model)
	o.Version = cl.options.EngineVersion
	o.Adapters = []string{"grid-code", "objections"}
	o.StepTime = cl.options.StepTime
	o.ReportLag = 0
	e := engine.New(o)
	cl.Oracle.addEngine(name, e)
	cl.serveHTTP(name, address, e.Handler())
	cl.registerVM(name, address, platform.KindEngine, PoolLanguage, generation)
	return e
}

// ReplaceEngine crashes the i-th engine, removes its VM, and starts another engine
// called name at the same address.
func (cl *Cluster) ReplaceEngine(i int, name string) *engine.Engine {
	old := fmt.Sprint("engine-", i)
	cl.Net.EachConn("", old, (*Conn).Cut)
	cl.Oracle.Engine(old).Crash()
	cl.Platform.DeleteVM(old)
	return cl.AddEngine(name, EngineAddress(i), 2)
}

// ReplaceService removes the i-th service's VM and starts another service called name
// at the same address.
func (cl *Cluster) ReplaceService(i int, name string) *service.Service {
	old := fmt.Sprint("portal-", i)
	cl.Net.EachConn("", old, (*Conn).Cut)
	cl.Platform.DeleteVM(old)
	return cl.AddService(name, ServiceAddress(i), 2)
}

// AddService starts a plain service and adds its VM to the VM list.
func (cl *Cluster) AddService(name, address string, generation uint64) *service.Service {
	s := service.New(service.Options{Name: name})
	cl.Oracle.addService(name, s)
	cl.serveHTTP(name, address, s.Handler())
	cl.registerVM(name, address, platform.KindService, PoolPortal, generation)
	return s
}

func (cl *Cluster) registerVM(name, address, kind, pool string, generation uint64) {
	cl.Platform.PutVM(platform.VM{
		Name: name, Address: address, Site: site, State: platform.VMLive,
		Generation: generation, Kind: kind, Pool: pool,
	})
}

func (cl *Cluster) serveHTTP(name, address string, h http.Handler) {
	ln := cl.Net.Listen(name, address, nil)
	srv := &http.Server{Handler: h, ErrorLog: discardLogger().StandardLog()}
	cl.servers = append(cl.servers, srv)
	cl.wg.Go(func() { _ = srv.Serve(ln) })
}

// OnAnnounce sets the function that receives the configuration heads that routers
// announce.
func (cl *Cluster) OnAnnounce(f func(from *Router, item membership.Item)) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.onAnnounce = f
}

func (cl *Cluster) announce(from *Router, item membership.Item) {
	cl.mu.Lock()
	f := cl.onAnnounce
	cl.mu.Unlock()
	if f != nil {
		f(from, item)
	}
}

// tableWithBudget returns the table service for one router, limited by a budget of its own if
// Options.Budget is set.
func (cl *Cluster) tableWithBudget() platform.Table {
	if cl.options.Budget == nil {
		return cl.Platform
	}
	return platform.WithBudget(cl.Platform, platform.NewBudget(*cl.options.Budget))
}

// newClaimToken returns a claim token that is unique in the cluster.
func (cl *Cluster) newClaimToken() string { return fmt.Sprint("token-", cl.tokens.Add(1)) }

// Close stops everything that the cluster started. Frozen processes are thawed first,
// so that their goroutines can end.
func (cl *Cluster) Close() {
	for _, g := range cl.gates {
		g.Thaw()
	}
	for _, r := range cl.Routers {
		r.Gate.Thaw()
	}
	cl.Net.Close()
	for _, r := range cl.Routers {
		r.Close()
	}
	for _, e := range cl.Oracle.Engines() {
		e.Close()
	}
	for _, srv := range cl.servers {
		_ = srv.Close()
	}
	cl.wg.Wait()
}
