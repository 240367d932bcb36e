package node

import (
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"damaskrouter.example/damaskrouter/internal/edge/origins"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// peerAddress returns the address at which the router on the VM of address
// serves other routers: the first port of the range, which is the same on all
// VMs. It returns an empty string if address is malformed.
func (r *Router) peerAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(r.settings().Listen.PortRange[0]))
}

// callerAddress returns the address at which callers reach this router.
func (r *Router) callerAddress() string {
	_, port, err := net.SplitHostPort(r.settings().Listen.Callers)
	if r.settings().Listen.Advertise == "" || err != nil {
		return r.settings().Listen.Callers
	}
	return net.JoinHostPort(r.settings().Listen.Advertise, port)
}

// callerAddressOf returns the address at which the router with a peer address serves callers, or an
// empty string if an address is malformed.
func (r *Router) callerAddressOf(peerAddress string) string {
	host, _, err := net.SplitHostPort(peerAddress)
	_, port, portErr := net.SplitHostPort(r.settings().Listen.Callers)
	if err != nil || portErr != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// routerCount returns the number of live routers, including this one.
func (r *Router) routerCount() int { return max(len(r.liveRouters()), 1) }

// liveRouters returns the routers that are alive or suspected to be dead, and not leaving. The slice
// must not be modified.
func (r *Router) liveRouters() []feed.Peer {
	if peers := r.livePeers.Load(); peers != nil {
		return *peers
	}
	return []feed.Peer{r.self}
}

// updateLiveRouters sets the live routers from a snapshot of the membership.
func (r *Router) updateLiveRouters(members []membership.Member) {
	out := make([]feed.Peer, 0, len(members))
	for _, m := range members {
		if m.State == membership.StateAlive || m.State == membership.StateSuspect {
			out = append(out, feed.Peer{Name: m.Name, Site: m.Site, Address: m.Address, Link: m.Link})
		}
	}
	r.livePeers.Store(&out)
}

// joinFleet joins the membership and serves other routers.
func (r *Router) joinFleet() error {
	listen := r.peerAddress(r.settings().Listen.Callers)
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return err
	}
	context.AfterFunc(r.ctx, func() { _ = ln.Close() })
	r.gossip, err = gossip.Listen(gossip.Config{
		Listen: listen,
		Self: membership.Member{
			Name: r.self.Name, Address: r.self.Address, HTTP: r.callerAddress(), Site: r.self.Site,
			Link: r.self.Link,
		},
		Options: r.gossipOptions(),
		Keys:    r.gossipKeys(),
		Log:     func(message string, keyvals ...any) { r.log.Warn(message, keyvals...) },
	})
	if err != nil {
		return err
	}
	r.follower.Roster = r.gossip
	relay := &feed.Relay{
		OnNewerConfig: r.follower.RecordNewerConfig,
		Board:         r.board, Loads: r.loads, Roster: r.gossip, Statuses: r.statuses, Suspects: r.suspects, Clock: bootclock.Now, Done: r.ctx.Done(),
		StoreLost: r.reader.StoreLost, LostAgo: r.follower.LostAgo, Failures: r.follower.Failures,
		Chain: r.follower.Chain, Log: r.log,
	}
	if err := r.peerServer.Register(feed.RelayName, relay); err != nil {
		return err
	}
	if err := r.peerServer.Register(flow.ServiceName, &flow.Service{Owner: r.gateOwner}); err != nil {
		return err
	}
	if err := r.peerServer.Register(origins.ServiceName, &origins.Service{Registry: r.origins}); err != nil {
		return err
	}
	if err := r.peerServer.Register(operatorServiceName, &OperatorService{r}); err != nil {
		return err
	}
	r.peerServer.HandleStreams(r.relay.Serve, &r.tunnelCounters)
	r.goRun(func(context.Context) { r.peerServer.Serve(ln) })
	return errors.Join(r.gossip.OnChange(r.updateLiveRouters), r.gossip.OnEvent(r.logMemberEvent))
}

const (
	// contactPeriod is how often a seed that is not a live member is contacted by gossip
	// packets. Routers that start together must find one another within seconds.
	contactPeriod = time.Second
	// contactDelay is how long after the start the router begins to send these packets. By then it
	// has called the seeds, whose replies list all members at once.
	contactDelay = time.Second
)

func (r *Router) gossipOptions() membership.Options {
	opts := membership.DefaultOptions()
	opts.ContactPeriod = contactPeriod
	opts.ContactDelay = contactDelay
	opts.Seeds = r.seedAddresses()
	return opts
}

// seedAddresses returns the addresses at which the seeds serve other routers.
func (r *Router) seedAddresses() []string {
	var out []string
	for _, seed := range r.settings().Seeds {
		out = append(out, r.peerAddress(seed))
	}
	return out
}

// newStart returns a Start for this router, which controls how it joins the fleet.
func (r *Router) newStart() *feed.Start {
	opts := feed.StartOptions{FirstOfAll: r.settings().FirstStart}
	for _, address := range r.seedAddresses() {
		if address == r.self.Address {
			opts.Seed = true
			continue
		}
		opts.Seeds = append(opts.Seeds, address)
	}
	return feed.NewStart(opts, bootclock.Now())
}

// logMemberEvent logs a membership event, and ends the leases and waiting requests of a router that
// is dead or has just joined.
func (r *Router) logMemberEvent(e membership.Event) {
	if e.Type == membership.EventDead || e.Type == membership.EventJoined {
		// A dead process releases no permits. One that joins holds none, so leases under its name
		// belong to an earlier process.
		r.gateOwner.RouterGone(e.Member.Name)
	}
	if e.Type == membership.EventJoined && !r.start.Settled(bootclock.Now()) {
		// 300 routers that start together would write 87,000 such lines; logFleetSize
		// logs one line instead.
		return
	}
	r.log.Info("member "+e.Type.String(), "member", e.Member.Name, "site", e.Member.Site,
		"incarnation", e.Member.Incarnation)
}

// logFleetSize logs how many routers this router knows once its start has settled.
func (r *Router) logFleetSize(ctx context.Context) {
	if pause.For(ctx, feed.SettleTime) {
		r.log.Info("fleet met", "routers", r.routerCount())
	}
}
