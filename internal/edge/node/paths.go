package node

import (
	"context"
	"net"
	"slices"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/reach"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
)

// tunnelShare is the share of the open files that tunnels for other routers may take. Each takes two.
const tunnelShare = 0.2

func (r *Router) assembleDialer() {
	r.paths = reach.NewTable(bootclock.Now)
	direct := r.platform.DialEngine
	if direct == nil {
		direct = engineconn.DialFrom(net.ParseIP(r.settings().Listen.EngineSource))
	}
	streams := peer.NewCaller(r.self.Name, r.fleetKeys, &r.tunnelCounters, peer.WithDial(engineconn.DialTCP))
	r.dialer = &reach.Dialer{
		Table: r.paths, Direct: direct, Addresses: r.engineAddresses, Context: r.ctx, Clock: bootclock.Now, Log: r.log,
		Relays: &reach.Relays{
			Self: r.self, Live: r.liveRouters, Clock: bootclock.Now,
			Open: func(ctx context.Context, to feed.Peer) (net.Conn, error) {
				return streams.OpenStream(ctx, peer.Target{Name: to.Name, Address: to.Address})
			},
		},
	}
	r.relay = reach.NewService()
	r.relay.Table, r.relay.Direct, r.relay.Log = r.paths, direct, r.log
	r.relay.Takes, r.relay.ReachesOthers = r.takesRequests, r.dialer.ReachesOthers
	r.relay.MaxTunnels = func() int { return int(tunnelShare * float64(r.settings().Limits.MaxFiles) / 2) }
}

// engineAddresses returns the addresses of the registered engines.
func (r *Router) engineAddresses() []string {
	engines := r.board.Snapshot().Engines.ByID
	out := make([]string, 0, len(engines))
	for _, e := range engines {
		out = append(out, e.Address)
	}
	return out
}

// takesRequests reports whether an engine that takes requests is registered with the address.
func (r *Router) takesRequests(address string) bool {
	s := r.board.Snapshot()
	for _, e := range s.Engines.ByID {
		if e.Address == address && s.TakesRequests(e) {
			return true
		}
	}
	return false
}

// pathChanged handles the loss or the return of the direct path to an address: idle connections of
// the other kind are no longer used, and failures due to a lost path don't count against engines.
func (r *Router) pathChanged(conns *engineconn.Pool, address string, lost bool) {
	for _, e := range r.enginesAt(address) {
		if lost {
			r.engines.PathLost(e.ID)
		}
		go conns.CloseIdle(e.ID)
	}
}

// engineSilent records that an engine acknowledges nothing and accepts no connection.
func (r *Router) engineSilent(conns *engineconn.Pool, address string) {
	for _, e := range r.enginesAt(address) {
		r.log.Info("engine silent", "engine", e.ID, "address", address)
		r.engines.RecordNoResponse(e.ID)
		go conns.CloseIdle(e.ID)
	}
}

func (r *Router) enginesAt(address string) []catalog.Engine {
	var out []catalog.Engine
	for _, e := range r.board.Snapshot().Engines.ByID {
		if e.Address == address {
			out = append(out, e)
		}
	}
	return out
}

// servicePaths describes the paths from this router to the engines of one service.
type servicePaths struct {
	// Engines is the number of registered engines, Failing how many of them this router could not
	// connect to at the last attempt, and Relayed how many it reaches through other routers.
	Engines int `json:"engines"`
	Failing int `json:"failing"`
	Relayed int `json:"relayed"`
}

// allFail reports whether the router could connect to no engine of the service.
func (p servicePaths) allFail() bool { return p.Engines > 0 && p.Failing == p.Engines }

// enginePaths describes the paths to the engines of each service.
func (r *Router) enginePaths() map[string]servicePaths {
	addresses := make(map[string][]string)
	for _, e := range r.board.Snapshot().Engines.ByID {
		addresses[e.Service] = append(addresses[e.Service], e.Address)
	}
	out := make(map[string]servicePaths, len(addresses))
	for service, list := range addresses {
		counts := r.paths.Count(list)
		out[service] = servicePaths{Engines: len(list), Failing: counts.Failing, Relayed: counts.Lost}
	}
	return out
}

// cutOffServices returns the services of which this router has a path of its own to no engine, sorted.
func (r *Router) cutOffServices() []string {
	var out []string
	for service, paths := range r.enginePaths() {
		if paths.Engines > 0 && paths.Relayed == paths.Engines {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// logCutOffServices logs the services of which this router can connect to no engine, and those of
// which it can again. cutOff holds the former and is updated.
func (r *Router) logCutOffServices(cutOff map[string]bool) {
	known := make(map[string]bool)
	for _, a := range r.engineAddresses() {
		known[a] = true
	}
	r.paths.Retain(func(address string) bool { return known[address] })
	for service, paths := range r.enginePaths() {
		if cutOff[service] == paths.allFail() {
			continue
		}
		cutOff[service] = paths.allFail()
		if cutOff[service] {
			r.log.Warn("no engine of a service can be connected to", "service", service, "engines", paths.Engines, "relayed", paths.Relayed)
		} else {
			r.log.Info("engines of a service can be connected to again", "service", service, "engines", paths.Engines,
				"failing", paths.Failing, "relayed", paths.Relayed)
		}
	}
}
