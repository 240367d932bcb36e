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
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// peerAddress is where the router of a VM answers other routers: the first free
// port, which is the same on all VMs.
func (r *Router) peerAddress(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(r.set().Listen.PortRange[0]))
}

// advertised is where callers reach this router.
func (r *Router) advertised() string {
	_, port, err := net.SplitHostPort(r.set().Listen.Callers)
	if r.set().Listen.Advertise == "" || err != nil {
		return r.set().Listen.Callers
	}
	return net.JoinHostPort(r.set().Listen.Advertise, port)
}

// callersAddress is where the router behind a peer address serves callers.
func (r *Router) callersAddress(peerAddress string) string {
	host, _, err := net.SplitHostPort(peerAddress)
	_, port, portErr := net.SplitHostPort(r.set().Listen.Callers)
	if err != nil || portErr != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// routers is how many routers there are, this one included.
func (r *Router) routers() int { return max(len(r.live()), 1) }

// live returns the routers that seem alive and stay. The slice must not be modified.
func (r *Router) live() []feed.Peer {
	if peers := r.peersAlive.Load(); peers != nil {
		return *peers
	}
	return []feed.Peer{r.self}
}

// noteMembers remembers the routers of a snapshot that seem alive and stay.
func (r *Router) noteMembers(members []membership.Member) {
	out := make([]feed.Peer, 0, len(members))
	for _, m := range members {
		if m.State == membership.StateAlive || m.State == membership.StateSuspect {
			out = append(out, feed.Peer{Name: m.Name, Site: m.Site, Address: m.Address, Link: m.Link})
		}
	}
	r.peersAlive.Store(&out)
}

// startPeers joins the membership and answers other routers.
func (r *Router) startPeers() error {
	listen := r.peerAddress(r.set().Listen.Callers)
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return err
	}
	context.AfterFunc(r.ctx, func() { _ = ln.Close() })
	r.gossip, err = gossip.Listen(gossip.Config{
		Listen: listen,
		Self: membership.Member{
			Name: r.self.Name, Address: r.self.Address, HTTP: r.advertised(), Site: r.self.Site,
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
		Board: r.board, Loads: r.loads, Roster: r.gossip, Statuses: r.statuses, Clock: bootclock.Now, Done: r.ctx.Done(),
		StoreLost: r.reader.Lost, LostAgo: r.follower.LostAgo, Failures: r.follower.Failures,
		Chain: r.follower.Chain, Log: r.log,
	}
	if err := r.calls.Register(feed.RelayName, relay); err != nil {
		return err
	}
	if err := r.calls.Register(flow.ServiceName, &flow.Service{Owner: r.gates}); err != nil {
		return err
	}
	if err := r.calls.Register(operatorsName, &Operators{r}); err != nil {
		return err
	}
	r.goRun(func(context.Context) { r.calls.Serve(ln) })
	return errors.Join(r.gossip.OnChange(r.noteMembers), r.gossip.OnEvent(r.logMember))
}

const (
	// contactPeriod is how often a seed that is no live member is asked by packets. Routers
	// that start together must find one another within seconds.
	contactPeriod = time.Second
	// contactDelay is how long after the start packets do so. By then calls have, which
	// tell all members at once.
	contactDelay = time.Second
)

func (r *Router) gossipOptions() membership.Options {
	opts := membership.DefaultOptions()
	opts.ContactPeriod = contactPeriod
	opts.ContactDelay = contactDelay
	opts.Seeds = r.seedAddresses()
	return opts
}

// seedAddresses are where the seeds answer other routers.
func (r *Router) seedAddresses() []string {
	var out []string
	for _, seed := range r.set().Seeds {
		out = append(out, r.peerAddress(seed))
	}
	return out
}

// startOf is how this router becomes one of the fleet.
func (r *Router) startOf() *feed.Start {
	out := feed.StartOptions{FirstOfAll: r.set().FirstStart}
	for _, address := range r.seedAddresses() {
		if address == r.self.Address {
			out.Seed = true
			continue
		}
		out.Seeds = append(out.Seeds, address)
	}
	return feed.NewStart(out, bootclock.Now())
}

func (r *Router) logMember(e membership.Event) {
	if e.Type == membership.EventDead || e.Type == membership.EventJoined {
		// Nobody gives back the places of a process that is gone; one that joins has none.
		r.gates.Gone(e.Member.Name)
	}
	if e.Type == membership.EventJoined && !r.start.Settled(bootclock.Now()) {
		// Three hundred routers that start together would write 87,000 such lines; see
		// logFleet.
		return
	}
	r.log.Info("member "+e.Type.String(), "member", e.Member.Name, "site", e.Member.Site,
		"incarnation", e.Member.Incarnation)
}

// logFleet writes whom this router has met while it started.
func (r *Router) logFleet(ctx context.Context) {
	if pause.For(ctx, feed.SettleTime) {
		r.log.Info("fleet met", "routers", r.routers())
	}
}
