package run

import (
	"damaskrouter.example/damaskrouter/internal/lab/bench/fleet"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
)

// ControlUpstream is the control traffic to and from upstreams by kind, sent
// and received, in bytes per router and second.
type ControlUpstream struct {
	// Status is the traffic of polls of engines and services for their reports,
	// Events that of polls of engines for cache events.
	Status float64 `json:"status"`
	Events float64 `json:"events"`
	// Transfers is the traffic of KV caches moved between engines; it depends on
	// the rate of planned stops.
	Transfers float64 `json:"transfers"`
	// Busiest is the sum of all kinds at the router with the most traffic.
	Busiest float64 `json:"busiest_router"`
}

// Polls returns the traffic that does not depend on churn.
func (c *ControlUpstream) Polls() float64 { return c.Status + c.Events }

// fillControl sets the control traffic from each router's traffic during the run.
func (res *Result) fillControl(control []fleet.ControlTraffic) {
	var sum fleet.ControlTraffic
	var peak int64
	for _, c := range control {
		sum.UDP += c.UDP
		sum.TCP += c.TCP
		peak = max(peak, c.UDP+c.TCP)
	}
	perSecond := 1 / float64(len(control)) / res.Seconds
	res.ControlUDP = float64(sum.UDP) * perSecond
	res.ControlTCP = float64(sum.TCP) * perSecond
	res.ControlBytes = res.ControlUDP + res.ControlTCP
	res.ControlBytesPeak = float64(peak) / res.Seconds
	res.ControlUpstream = controlUpstream(control, res.Seconds)
}

func controlUpstream(control []fleet.ControlTraffic, seconds float64) ControlUpstream {
	var out ControlUpstream
	perSecond := 1 / float64(len(control)) / seconds
	for _, c := range control {
		u := &c.Upstream
		out.Status += float64(u.Status.Total()) * perSecond
		out.Events += float64(u.Events.Total()) * perSecond
		out.Transfers += float64(u.Transfers.Total()) * perSecond
		out.Busiest = max(out.Busiest, float64(total(u))/seconds)
	}
	return out
}

func total(u *upstream.Traffic) int64 {
	return u.Status.Total() + u.Events.Total() + u.Transfers.Total()
}
