package router

import (
	"math/rand/v2"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/controller"
	"damaskrouter.example/damaskrouter/internal/serve/quota"
	"damaskrouter.example/damaskrouter/internal/serve/traffic"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	api "damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/platform"
)

// provision creates the router's components in the order of their dependencies, from the platform
// to the callers.
func (r *Router) provision() error {
	if err := r.openSecrets(); err != nil {
		return err
	}
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0))
	instance := rng.Uint64() | 1

	r.provisionPeers()
	r.openPlatform()
	if err := r.provisionAdmission(rng, instance); err != nil {
		return err
	}
	r.provisionControllers()
	if err := r.provisionGossip(instance); err != nil {
		return err
	}
	r.provisionTraffic()
	if err := r.registerServices(); err != nil {
		return err
	}
	r.registerMetrics()
	return nil
}

func (r *Router) provisionPeers() {
	options := r.secrets.PeerOptions()
	r.peerCaller = peer.NewCaller(r.set.Name, r.secrets.FleetKeys, &r.counters, options...)
	r.peerServer = peer.NewServer(r.set.Name, r.secrets.FleetKeys, &r.counters, options...)
	r.upstream = upstream.New(upstream.Options{
		Clock:       bootclock.Now,
		DialTimeout: r.set.Timeouts.UpstreamConnect,
		FirstChunk:  r.set.Timeouts.FirstByte,
		IdleGap:     r.set.Timeouts.IdleGap,
	})
}

func (r *Router) provisionAdmission(rng *rand.Rand, instance uint64) (err error) {
	if r.cacheIndex, err = admission.NewCacheIndex(admission.DefaultRecentChats, rng.Uint64()); err != nil {
		return err
	}
	r.quota = quota.New(quota.Options{
		Board:    r.board,
		Caller:   r.peerCaller,
		Self:     r.set.Name,
		Instance: instance,
		Rand:     rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())),
	})
	r.admission = admission.New(admission.Options{
		Board:       r.board,
		Caller:      r.peerCaller,
		Self:        r.set.Name,
		Instance:    instance,
		Policy:      r.opts.Policy,
		NewStrategy: r.opts.NewStrategy,
		Rand:        rng,
	})
	r.board.Subscribe(r.admission.Sync)
	r.board.Subscribe(r.quota.Sync)
	return nil
}

func (r *Router) provisionTraffic() {
	r.traffic = traffic.New(traffic.Options{
		Board:     r.board,
		Admitter:  r.admission,
		Facts:     r.cacheIndex,
		Quota:     r.quota,
		Upstream:  r.upstream,
		Claims:    r.claims,
		Tokens:    r.secrets,
		Log:       r.log,
		Name:      r.set.Name,
		LocateTTL: r.set.Timeouts.LocateTTL,
		IdleGap:   r.set.Timeouts.IdleGap,
		Suspects:  r.suspects.Set,
	})
}

// registerServices registers the RPC services for other routers.
func (r *Router) registerServices() error {
	services := map[string]any{
		admission.ServiceName:      r.admission.Service(),
		quota.ServiceName:          r.quota.Service(),
		controller.FleetService:    controller.NewFleet(r.vms, r.configs),
		controller.SuspectsService: r.suspects.RPC(),
	}
	for name, service := range services {
		if err := r.peerServer.Register(name, service); err != nil {
			return err
		}
	}
	return nil
}

func (r *Router) openPlatform() {
	budget := newStoreBudget(r.set.Budgets)
	r.board.Subscribe(budget.updateShare)
	store := platform.NewStore(r.set.Platform.Store, platform.Options{})
	var vms api.VMList
	r.table, r.objects, vms, r.stats = api.Open(api.OpenOptions{
		Table: store, Objects: store.Objects(), Budget: budget.Budget,
	})
	r.chain = config.NewChain(r.table, r.objects, time.Now)
	r.claims = claim.New(claim.NewBatcher(r.table, maxClaimBatch), r.objects, r.set.Name, newToken)
	r.vms = &controller.VMs{Board: r.board, List: vms, Caller: r.peerCaller, Self: r.set.Name, Log: r.log}
}

func (r *Router) provisionControllers() {
	r.configs = &controller.Configs{
		Board: r.board, Chain: r.chain, Caller: r.peerCaller,
		Self: r.set.Name, Site: r.set.Site, Log: r.log,
	}
	r.configs.Provision()
	r.engines = &controller.Engines{
		Board: r.board, Upstream: r.upstream, Admission: r.admission, Facts: r.cacheIndex, Log: r.log,
	}
	r.handoff = &controller.Handoff{Board: r.board, Upstream: r.upstream, Facts: r.cacheIndex, Log: r.log}
	r.sweeper = &controller.Sweeper{
		Board: r.board, Claims: claim.NewSweeper(r.table, r.set.ClaimRetention),
		Clock: bootclock.Now, Log: r.log,
	}
	r.loads = &controller.Loads{Board: r.board, Admission: r.admission, Log: r.log}
	r.suspects = &controller.Suspects{
		Board: r.board, Set: suspects.NewSet(quarantine.DefaultLimits(), bootclock.Now, r.log),
		Caller: r.peerCaller, Self: r.set.Name, Log: r.log,
	}
}

func (r *Router) provisionGossip(instance uint64) error {
	opts := r.opts.Gossip
	if opts.Period == 0 {
		opts = membership.DefaultOptions()
	}
	opts.Seeds = append(opts.Seeds, r.set.Seeds...)
	control := r.set.ControlAdvertise
	if control == r.set.ControlListen {
		control = r.controlAddress
	}
	address := r.set.Advertise
	if address == r.set.Listen {
		address = r.address
	}
	var err error
	r.gossip, err = gossip.Listen(gossip.Config{
		Listen: r.controlAddress,
		Self: membership.Member{
			Name: r.set.Name, ID: instance, Address: control, HTTP: address, Site: r.set.Site,
		},
		Options: opts,
		Keys:    r.secrets.GossipKeys(),
		Log:     func(message string, keyvals ...any) { r.log.Warn(message, keyvals...) },
	})
	return err
}

// connectMembership connects the controllers to membership.
func (r *Router) connectMembership() error {
	members := &controller.Members{Board: r.board, Self: r.set.Name, ID: r.gossip.Self().ID}
	r.loads.Send = r.gossip.SendTo
	r.vms.Witness = func(vms []api.VM) {
		if err := r.gossip.ObserveVMs(vms); err != nil {
			r.log.Debug("VM list not passed to membership", "cause", err)
		}
	}
	r.configs.Announce = func(item membership.Item) {
		if err := r.gossip.Broadcast(item); err != nil {
			r.log.Debug("configuration head not announced", "cause", err)
		}
	}
	r.configs.InForce = func(version uint64) {
		if err := r.gossip.SetConfigVersion(version); err != nil {
			r.log.Debug("configuration version not announced", "cause", err)
		}
	}
	if err := r.gossip.OnChange(members.Update); err != nil {
		return err
	}
	if err := r.gossip.OnItem(r.configs.ReceiveHead); err != nil {
		return err
	}
	r.gossip.OnDatagram(controller.ChannelLoads, r.loads.ReceiveDigest)
	return nil
}
