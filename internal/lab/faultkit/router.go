package faultkit

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/secure/token"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/controller"
	"damaskrouter.example/damaskrouter/internal/serve/quota"
	"damaskrouter.example/damaskrouter/internal/serve/traffic"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/charmbracelet/log"
)

const (
	// site is where all routers and stand-ins of a World are.
	site = "cankaya"
	// unreachable is an address at which no router answers calls.
	unreachable = "10.9.9.9:1"
	// controlPort is the port at which routers call each other.
	controlPort = ":7400"
	// maxClaimBatch bounds the claims in one transaction.
	maxClaimBatch = 32
)

// tokenSecret signs the hints and resume tokens of all routers of a World.
var tokenSecret = []byte("0123456789abcdef0123456789abcdef")

// Router is a router's real parts in this process, behind a gate. It knows no
// other router until See: each one of a World sees itself as the whole fleet,
// which is the extreme of views that differ.
type Router struct {
	Name    string
	Address string
	Gate    *Gate

	Board     *board.Board
	Admission *admission.Admission
	Traffic   *traffic.Server
	Claims    *claim.Store
	Configs   *controller.Configs

	world    *World
	store    *store
	vms      *vmList
	upstream *upstream.Client
	facts    *admission.Facts
	quota    *quota.Quota
	server   *http.Server
	calls    *peer.Server
	callers  []*peer.Caller
	// vmsFollowed answers routers that relay the VM list through this one.
	vmsFollowed *controller.VMs
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// StartRouter starts a router. Its first steps read configuration and VM list.
// Taps are in place before it makes its first call of the table service.
func (w *World) StartRouter(name, address string, taps ...StoreTap) (*Router, error) {
	r := &Router{Name: name, Address: address, Gate: NewGate(), world: w, Board: board.New(name)}
	r.store = &store{Table: w.table(), gate: r.Gate}
	for _, t := range taps {
		r.store.tap(t)
	}
	r.vms = &vmList{VMList: w.Platform.VMList(), gate: r.Gate}
	r.upstream = upstream.New(upstream.Options{Dial: w.Net.Dial(name, r.Gate)})
	if err := r.assemble(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.run(ctx)
	r.Board.UpdateWait(func(s *board.State) {
		s.Routers = map[string]board.Router{name: {
			Name: name, ID: rendezvous.ID(name), Instance: 1, Address: address, Site: site,
		}}
	})
	r.serve()
	if err := r.serveCalls(); err != nil {
		return nil, err
	}
	w.Routers = append(w.Routers, r)
	return r, nil
}

func (r *Router) assemble() error {
	rng := rand.New(rand.NewPCG(seedOf(r.Name), r.world.Seed))
	caller := r.newCaller()
	facts, err := admission.NewFacts(admission.DefaultRecentChats, rng.Uint64())
	if err != nil {
		return err
	}
	r.facts = facts
	r.Admission = admission.New(admission.Options{
		Board: r.Board, Caller: caller, Self: r.Name, Instance: 1, Rand: rng,
	})
	r.Board.Subscribe(r.Admission.Sync)
	r.quota = quota.New(quota.Options{
		Board: r.Board, Caller: caller, Self: r.Name, Instance: 1, Rand: rand.New(rand.NewPCG(rng.Uint64(), 0)),
	})
	r.Board.Subscribe(r.quota.Sync)
	tokens, err := token.NewCodec(token.Key{ID: 1, Secret: tokenSecret})
	if err != nil {
		return err
	}
	r.Claims = claim.New(claim.NewBatcher(r.store, maxClaimBatch),
		objects{r.world.Platform.Objects(), r.Gate}, r.Name, r.world.token)
	r.Traffic = traffic.New(traffic.Options{
		Board: r.Board, Admitter: r.Admission, Facts: facts, Upstream: r.upstream, Claims: r.Claims,
		Quota: r.quota, Tokens: tokens, Log: quiet(), Name: r.Name,
	})
	return nil
}

// run starts the controllers that read configuration, VM list and engines.
func (r *Router) run(ctx context.Context) {
	caller := r.newCaller()
	r.Configs = &controller.Configs{
		Board: r.Board, Chain: config.NewChain(r.store, r.world.Platform.Objects(), time.Now), Caller: caller,
		Self: r.Name, Site: site, Log: quiet(),
		Announce: func(item membership.Item) { r.world.announce(r, item) },
	}
	r.Configs.Provision()
	vms := &controller.VMs{Board: r.Board, List: r.vms, Caller: caller, Self: r.Name, Log: quiet()}
	engines := &controller.Engines{
		Board: r.Board, Upstream: r.upstream, Admission: r.Admission, Facts: r.facts, Log: quiet(),
	}
	r.vmsFollowed = vms
	handoff := &controller.Handoff{Board: r.Board, Upstream: r.upstream, Facts: r.facts, Log: quiet()}
	for _, f := range []func(context.Context){
		r.Board.Run, r.Configs.Run, vms.Run, engines.Run, r.quota.Run, handoff.Run,
	} {
		r.wg.Go(func() { f(ctx) })
	}
}

func (r *Router) serve() {
	ln := r.world.Net.Listen(r.Name, r.Address, r.Gate)
	r.server = &http.Server{Handler: r.Traffic.Handler(), ErrorLog: quiet().StandardLog()}
	r.wg.Go(func() { _ = r.server.Serve(ln) })
	r.Gate.OnKill(func() { _ = ln.Close() })
}

// Control is where other routers call the router: its own IP number, another
// port.
func (r *Router) Control() string { return controlOf(r.Address) }

func controlOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host + controlPort
}

// newCaller returns what calls other routers over the harness's network.
func (r *Router) newCaller() *peer.Caller {
	c := peer.NewCaller(r.Name, fleetKeys, new(peer.Counters), peer.WithDial(r.world.Net.Dial(r.Name, r.Gate)))
	r.callers = append(r.callers, c)
	return c
}

// serveCalls answers other routers.
func (r *Router) serveCalls() error {
	r.calls = peer.NewServer(r.Name, fleetKeys, new(peer.Counters))
	err := errors.Join(
		r.calls.Register(admission.ServiceName, r.Admission.Service()),
		r.calls.Register(quota.ServiceName, r.quota.Service()),
		r.calls.Register(controller.FleetService, controller.NewFleet(r.vmsFollowed, r.Configs)),
	)
	if err != nil {
		return err
	}
	ln := r.world.Net.Listen(r.Name, r.Control(), r.Gate)
	r.wg.Go(func() { r.calls.Serve(ln) })
	r.Gate.OnKill(func() { _ = ln.Close() })
	return nil
}

// See sets the routers that this one takes for live, besides itself.
func (r *Router) See(others ...board.Router) {
	r.Board.UpdateWait(func(s *board.State) {
		self := s.Routers[r.Name]
		s.Routers = map[string]board.Router{r.Name: self}
		for _, o := range others {
			if o.Name != r.Name {
				s.Routers[o.Name] = o
			}
		}
	})
}

// Seen is the router as another one sees it.
func (r *Router) Seen() board.Router {
	return board.Router{
		Name: r.Name, ID: rendezvous.ID(r.Name), Instance: 1, Address: r.Address, Control: r.Control(), Site: site,
	}
}

// OnStore adds a tap to the router's calls of the table service.
func (r *Router) OnStore(t StoreTap) { r.store.tap(t) }

// Believe lets the router take others for live that no call reaches, as it
// does for some seconds after they were lost. Callers who are sent to them come
// to the router itself.
func (r *Router) Believe(names ...string) {
	r.Board.UpdateWait(func(s *board.State) {
		for _, name := range names {
			s.Routers[name] = board.Router{
				Name: name, ID: rendezvous.ID(name), Instance: 1, Address: r.Address,
				Control: unreachable, Site: site,
			}
		}
	})
}

// Reconnect ends what taps deny.
func (r *Router) Reconnect() { r.store.undeny() }

// HoldVMs keeps the router's VM list as it is, or lets it go on.
func (r *Router) HoldVMs(hold bool) { r.vms.setHold(hold) }

// Close ends the router's goroutines.
func (r *Router) Close() {
	r.Gate.Thaw()
	r.cancel()
	_ = r.server.Close()
	for _, c := range r.callers {
		c.Close()
	}
	r.calls.Close()
	r.Traffic.Close()
	r.Admission.Close()
	r.upstream.Close()
	r.wg.Wait()
}

// fleetKeys are the keys of all routers of a World.
func fleetKeys() []peer.FleetKey { return []peer.FleetKey{{ID: 1, Secret: tokenSecret}} }

func seedOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return h.Sum64()
}

func quiet() *log.Logger { return log.New(io.Discard) }
