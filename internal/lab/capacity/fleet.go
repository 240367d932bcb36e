// Package capacity builds synthetic fleets of a given size. Its benchmarks
// measure how the cost of each role of a router grows with the size of the
// fleet; docs/CAPACITY.md extrapolates the two-year sizes from these slopes.
//
// A synthetic fleet is data only: it has no processes that listen or respond.
package capacity

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Error is the class of failures to build a fleet.
var Error = errs.Class("capacity")

// Size is the size of a fleet.
type Size struct {
	Routers  int
	Engines  int
	Pools    int
	Accounts int
	Sites    int
	Regions  int
}

// Today returns the size of the larger of the two present installations.
func Today() Size {
	return Size{Routers: 9, Engines: 12, Pools: 1, Accounts: 10, Sites: 3, Regions: 1}
}

// Target returns the size of the two-year target.
func Target() Size {
	return Size{Routers: 380, Engines: 850, Pools: 11, Accounts: 410, Sites: 6, Regions: 2}
}

// Sizes returns sizes from Today to Target, to measure slopes.
func Sizes() []Size {
	return []Size{
		Today(),
		{Routers: 36, Engines: 80, Pools: 2, Accounts: 40, Sites: 3, Regions: 1},
		{Routers: 72, Engines: 160, Pools: 4, Accounts: 80, Sites: 6, Regions: 2},
		{Routers: 144, Engines: 320, Pools: 6, Accounts: 160, Sites: 6, Regions: 2},
		Target(),
	}
}

// String returns the size as part of a benchmark name.
func (s Size) String() string {
	return fmt.Sprintf("routers=%d/engines=%d", s.Routers, s.Engines)
}

const (
	modelVersion = "v1"
	// accountRate and accountConcurrency are limits that no benchmark reaches.
	accountRate        = 1_000_000
	accountConcurrency = 1_000_000
	engineMaxBatch     = 50
	engineIncarnation  = 1
)

// Fleet is the control state that every router of a fleet holds.
type Fleet struct {
	Size    Size
	Bundle  config.Bundle
	Config  *config.Effective
	Routers map[string]board.Router
	Engines map[string]board.Engine
}

// New builds a fleet. Routers, engines and accounts are distributed evenly over
// sites and pools. Errors: Error.
func New(size Size) (*Fleet, error) {
	f := &Fleet{
		Size:    size,
		Bundle:  bundle(size),
		Routers: make(map[string]board.Router, size.Routers),
		Engines: make(map[string]board.Engine, size.Engines),
	}
	parsed, err := f.Bundle.Parse()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.Config, err = config.NewEffective(parsed.Document, parsed.Overlays, siteName(0))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.addRouters()
	f.addEngines()
	return f, nil
}

// bundle returns the base document as an operator would write it.
func bundle(s Size) config.Bundle {
	var b strings.Builder
	b.WriteString("teams: [{name: team}]\nsites:\n")
	for i := range s.Sites {
		fmt.Fprintf(&b, "  - {name: %s, region: %s}\n", siteName(i), s.regionName(i))
	}
	b.WriteString("models:\n")
	for i := range s.Pools {
		fmt.Fprintf(&b, "  - {name: %s, versions: [%s], adapters: [a1, a2]}\n", modelName(i), modelVersion)
	}
	b.WriteString("pools:\n")
	for i := range s.Pools {
		fmt.Fprintf(&b, "  - {name: %s, sites: [%s], model: %s, version: %s, adapters: [a1, a2]}\n",
			PoolName(i), s.siteList(), modelName(i), modelVersion)
	}
	b.WriteString("accounts:\n")
	for i := range s.Accounts {
		hash := sha256.Sum256([]byte(AccountName(i)))
		fmt.Fprintf(&b, "  - {name: %s, team: team, key_hashes: [%x], weight: 2, requests_per_second: %d, concurrency: %d}\n",
			AccountName(i), hash, accountRate, accountConcurrency)
	}
	return config.Bundle{Base: []byte(b.String())}
}

func (s Size) siteList() string {
	names := make([]string, s.Sites)
	for i := range names {
		names[i] = siteName(i)
	}
	return strings.Join(names, ", ")
}

func (s Size) regionName(site int) string { return fmt.Sprintf("region-%d", site%s.Regions) }

func siteName(i int) string { return fmt.Sprintf("site-%d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// PoolName returns the name of pool number i.
func PoolName(i int) string { return fmt.Sprintf("pool-%d", i) }

// AccountName returns the name of account number i.
func AccountName(i int) string { return fmt.Sprintf("account-%03d", i) }

// RouterName returns the name of router number i.
func RouterName(i int) string { return fmt.Sprintf("entry-%03d", i) }

func engineName(i int) string { return fmt.Sprintf("engine-%04d", i) }

func (f *Fleet) addRouters() {
	for i := range f.Size.Routers {
		name := RouterName(i)
		f.Routers[name] = board.Router{
			Name:     name,
			ID:       rendezvous.ID(name),
			Instance: rendezvous.ID("instance/" + name),
			Address:  fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250+1),
			Control:  fmt.Sprintf("10.1.%d.%d:7500", i/250, i%250+1),
			Site:     siteName(i % f.Size.Sites),
		}
	}
}

func (f *Fleet) addEngines() {
	for i := range f.Size.Engines {
		site := i % f.Size.Sites
		e := board.Engine{
			Name:     engineName(i),
			ID:       rendezvous.ID(engineName(i)),
			Address:  fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250+1),
			Site:     siteName(site),
			Region:   f.Size.regionName(site),
			Pool:     PoolName(i / f.Size.Sites % f.Size.Pools),
			Kind:     platform.KindEngine,
			Reported: true,
		}
		e.Status = f.Status(e, 0)
		e.Status.RequestIDs = nil
		f.Engines[e.Name] = e
	}
}

// Status returns the report of an engine with the given number of running requests.
func (f *Fleet) Status(e board.Engine, running int) wire.EngineStatus {
	ids := make([]string, running)
	for i := range ids {
		ids[i] = uuid.NewString()
	}
	return wire.EngineStatus{
		Name:        e.Name,
		Incarnation: engineIncarnation,
		Model:       strings.Replace(e.Pool, "pool", "model", 1),
		Version:     modelVersion,
		Adapters:    []string{"a1", "a2"},
		Running:     running,
		Weight:      int64(running) * 1500,
		MaxBatch:    engineMaxBatch,
		MaxQueue:    engineMaxBatch,
		CacheTokens: 4_000_000,
		RequestIDs:  ids,
	}
}

// Fill adds the fleet's configuration, routers and engines to the state of a board.
func (f *Fleet) Fill(s *board.State) {
	s.Config = f.Config
	s.ConfigVersion = 1
	for name, r := range f.Routers {
		s.Routers[name] = r
	}
	for name, e := range f.Engines {
		s.Engines[name] = e
	}
}

// Start runs the board of the router named self until ctx ends.
func (f *Fleet) Start(ctx context.Context, self string, subscribers ...func(*board.Snapshot)) *board.Board {
	b := board.New(self)
	for _, s := range subscribers {
		b.Subscribe(s)
	}
	go b.Run(ctx)
	b.UpdateWait(f.Fill)
	return b
}

// Owned returns the engines that the snapshot's own router owns.
func Owned(snap *board.Snapshot) []board.Engine {
	var out []board.Engine
	for _, e := range snap.Engines {
		if r, ok := snap.EngineOwner(e.ID); ok && r.Name == snap.Self {
			out = append(out, e)
		}
	}
	return out
}

// VMs returns the platform's VM list of the fleet, in no particular order.
func (f *Fleet) VMs() []platform.VM {
	var out []platform.VM
	for _, r := range f.Routers {
		out = append(out, platform.VM{
			Name: r.Name, Address: r.Address, ControlAddress: r.Control,
			Site: r.Site, State: platform.VMLive, Generation: 1, Kind: platform.KindRouter,
		})
	}
	for _, e := range f.Engines {
		out = append(out, platform.VM{
			Name: e.Name, Address: e.Address, Pool: e.Pool,
			Site: e.Site, State: platform.VMLive, Generation: 1, Kind: e.Kind,
		})
	}
	return out
}
