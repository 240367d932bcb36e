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

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
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
	// site is the site of all routers and stand-ins of a Cluster.
	site = "cankaya"
	// unreachableAddress is an address at which no router listens.
	unreachableAddress = "10.9.9.9:1"
	// controlPort is the port at which routers call each other.
	controlPort = ":7400"
	// maxClaimBatch bounds the claims in one transaction.
	maxClaimBatch = 32
)

// tokenSecret signs the hints and resume tokens of all routers of a Cluster.
var tokenSecret = []byte("0123456789abcdef0123456789abcdef")

// Router consists of the components of the real router, in this process and behind a gate. Until
// SetView is called, its view of the fleet contains only itself, so that the views of two routers
// differ as much as possible.
type Router struct {
	Name    string
	Address string
	Gate    *Gate

	Board     *board.Board
	Admission *admission.Admission
	Traffic   *traffic.Server
	Claims    *claim.Store
	Configs   *controller.Configs

	cluster     *Cluster
	store       *store
	vmList      *vmList
	upstream    *upstream.Client
	cacheIndex  *admission.CacheIndex
	quota       *quota.Quota
	server      *http.Server
	peerServer  *peer.Server
	peerCallers []*peer.Caller
	// vmController serves the VM list to routers that relay it from this one.
	vmController *controller.VMs
	suspects     *controller.Suspects
	cancel       context.CancelFunc
	wg           sync.WaitGroup
}

// StartRouter starts a router, which first reads the configuration and the VM list. The
// triggers are in place before its first call of the table service.
func (cl *Cluster) StartRouter(name, address string, triggers ...StoreTrigger) (*Router, error) {
	r := &Router{Name: name, Address: address, Gate: NewGate(), cluster: cl, Board: board.New(name)}
	r.store = &store{Table: cl.tableWithBudget(), gate: r.Gate}
	for _, t := range triggers {
		r.store.addTrigger(t)
	}
	r.vmList = &vmList{VMList: cl.Platform.VMList(), gate: r.Gate}
	r.upstream = upstream.New(upstream.Options{Dial: cl.Net.Dial(name, r.Gate)})
	if err := r.buildParts(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.startControllers(ctx)
	r.Board.UpdateWait(func(s *board.State) {
		s.Routers = map[string]board.Router{name: {
			Name: name, ID: rendezvous.ID(name), Instance: 1, Address: address, Site: site,
		}}
	})
	r.serveHTTP()
	if err := r.servePeers(); err != nil {
		return nil, err
	}
	cl.Routers = append(cl.Routers, r)
	return r, nil
}

func (r *Router) buildParts() error {
	rng := rand.New(rand.NewPCG(seedFromName(r.Name), r.cluster.Seed))
	caller := r.newPeerCaller()
	cacheIndex, err := admission.NewCacheIndex(admission.DefaultRecentChats, rng.Uint64())
	if err != nil {
		return err
	}
	r.cacheIndex = cacheIndex
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
		objects{r.cluster.Platform.Objects(), r.Gate}, r.Name, r.cluster.newClaimToken)
	r.suspects = &controller.Suspects{
		Board: r.Board, Set: suspects.NewSet(quarantine.DefaultLimits(), r.cluster.clock, discardLogger()),
		Caller: caller, Self: r.Name, Log: discardLogger(),
	}
	r.Traffic = traffic.New(traffic.Options{
		Board: r.Board, Admitter: r.Admission, Facts: cacheIndex, Upstream: r.upstream, Claims: r.Claims,
		Quota: r.quota, Tokens: tokens, Suspects: r.suspects.Set, Log: discardLogger(), Name: r.Name,
	})
	return nil
}

// startControllers starts the controllers that follow the configuration, the VM list
// and the engines.
func (r *Router) startControllers(ctx context.Context) {
	caller := r.newPeerCaller()
	r.Configs = &controller.Configs{
		Board: r.Board, Chain: config.NewChain(r.store, r.cluster.Platform.Objects(), time.Now), Caller: caller,
		Self: r.Name, Site: site, Log: discardLogger(),
		Announce: func(item membership.Item) { r.cluster.announce(r, item) },
	}
	r.Configs.Provision()
	vms := &controller.VMs{Board: r.Board, List: r.vmList, Caller: caller, Self: r.Name, Log: discardLogger()}
	engines := &controller.Engines{
		Board: r.Board, Upstream: r.upstream, Admission: r.Admission, Facts: r.cacheIndex, Log: discardLogger(),
	}
	r.vmController = vms
	handoff := &controller.Handoff{Board: r.Board, Upstream: r.upstream, Facts: r.cacheIndex, Log: discardLogger()}
	for _, f := range []func(context.Context){
		r.Board.Run, r.Configs.Run, vms.Run, engines.Run, r.quota.Run, handoff.Run, r.suspects.Run,
	} {
		r.wg.Go(func() { f(ctx) })
	}
}

func (r *Router) serveHTTP() {
	ln := r.cluster.Net.Listen(r.Name, r.Address, r.Gate)
	r.server = &http.Server{Handler: r.Traffic.Handler(), ErrorLog: discardLogger().StandardLog()}
	r.wg.Go(func() { _ = r.server.Serve(ln) })
	r.Gate.OnKill(func() { _ = ln.Close() })
}

// ControlAddress returns the address for calls of other routers: the router's IP
// address with another port.
func (r *Router) ControlAddress() string { return controlAddress(r.Address) }

func controlAddress(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host + controlPort
}

// newPeerCaller returns a caller of other routers over the simulated network. Close
// closes it.
func (r *Router) newPeerCaller() *peer.Caller {
	c := peer.NewCaller(r.Name, fleetKeys, new(peer.Counters), peer.WithDial(r.cluster.Net.Dial(r.Name, r.Gate)))
	r.peerCallers = append(r.peerCallers, c)
	return c
}

// servePeers serves the calls of other routers.
func (r *Router) servePeers() error {
	r.peerServer = peer.NewServer(r.Name, fleetKeys, new(peer.Counters))
	err := errors.Join(
		r.peerServer.Register(admission.ServiceName, r.Admission.Service()),
		r.peerServer.Register(quota.ServiceName, r.quota.Service()),
		r.peerServer.Register(controller.FleetService, controller.NewFleet(r.vmController, r.Configs)),
		r.peerServer.Register(controller.SuspectsService, r.suspects.RPC()),
	)
	if err != nil {
		return err
	}
	ln := r.cluster.Net.Listen(r.Name, r.ControlAddress(), r.Gate)
	r.wg.Go(func() { r.peerServer.Serve(ln) })
	r.Gate.OnKill(func() { _ = ln.Close() })
	return nil
}

// SetView sets the routers that this one considers live, besides itself.
func (r *Router) SetView(others ...board.Router) {
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

// BoardEntry returns the router's entry on the boards of other routers.
func (r *Router) BoardEntry() board.Router {
	return board.Router{
		Name: r.Name, ID: rendezvous.ID(r.Name), Instance: 1, Address: r.Address, Control: r.ControlAddress(), Site: site,
	}
}

// OnStore adds a trigger to the router's calls of the table service.
func (r *Router) OnStore(t StoreTrigger) { r.store.addTrigger(t) }

// AssumeLive adds routers that this router considers live although no call reaches them,
// as it does for some seconds after others are lost. Their HTTP address is this router's
// own, so that callers redirected to them reach this router again.
func (r *Router) AssumeLive(names ...string) {
	r.Board.UpdateWait(func(s *board.State) {
		for _, name := range names {
			s.Routers[name] = board.Router{
				Name: name, ID: rendezvous.ID(name), Instance: 1, Address: r.Address,
				Control: unreachableAddress, Site: site,
			}
		}
	})
}

// AllowStore removes the triggers that deny calls of the table service.
func (r *Router) AllowStore() { r.store.removeDenials() }

// HoldVMList freezes the router's VM list at its last state, or lets it follow the
// platform again.
func (r *Router) HoldVMList(hold bool) { r.vmList.setHold(hold) }

// Close stops the router and waits for its goroutines. A frozen router is thawed first.
func (r *Router) Close() {
	r.Gate.Thaw()
	r.cancel()
	_ = r.server.Close()
	for _, c := range r.peerCallers {
		c.Close()
	}
	r.peerServer.Close()
	r.Traffic.Close()
	r.Admission.Close()
	r.upstream.Close()
	r.wg.Wait()
}

// fleetKeys returns the fleet keys of all routers of a Cluster.
func fleetKeys() []peer.FleetKey { return []peer.FleetKey{{ID: 1, Secret: tokenSecret}} }

func seedFromName(name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name)
	return h.Sum64()
}

func discardLogger() *log.Logger { return log.New(io.Discard) }
