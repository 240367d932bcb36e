package choose

import (
	"math"
	"time"
)

const (
	// overshootWindow is the time constant over which the requests at engines above the operators' limit are
	// averaged: as long as a surge takes to show in several reports.
	overshootWindow = 2 * time.Second
	// The load bound begins to have a margin at the share calmShare of the requests at such engines, and has the
	// whole of it at surgeShare. Operators allow 0.03. A margin that begins at once moves prompts from engine to
	// engine on days on which the limit is kept; see docs/design/hot-prompts.md.
	calmShare, surgeShare = 0.01, 0.02
	// reportedLoadAge is how old the loads of other routers are, as measured with 67 routers.
	reportedLoadAge = 300 * time.Millisecond
)

// Overshoot determines the margin that the load bound of a service leaves for requests that are not reported
// yet. The zero value is ready to use. It is not safe for concurrent use.
//
// Load pattern: a surge of short requests with a few popular prompts. As many requests as an engine holds come and
// go before they are reported, and the engines of popular prompts exceed the operators' limit although each
// router keeps the bound by the loads that it knows. A margin at all times would move prompts from engine to
// engine on days on which the limit is kept.
type Overshoot struct {
	share float64
	at    time.Duration
}

// Observe records the known loads of the engines of the service.
func (o *Overshoot) Observe(now time.Duration, engines []Engine) {
	mean, _ := serviceLoad(engines)
	limit := limitFactor*mean + loadSlack
	total, above := 0, 0
	for _, e := range engines {
		total += e.InFlight
		if float64(e.InFlight) > limit {
			above += e.InFlight
		}
	}
	share := 0.0
	if total > 0 {
		share = float64(above) / float64(total)
	}
	weight := 1 - math.Exp(-(now-o.at).Seconds()/overshootWindow.Seconds())
	o.share, o.at = o.share+weight*(share-o.share), now
}

// Unreported returns Engine.Unreported of the engines of the service, if requests stay there for hold on
// average.
func (o *Overshoot) Unreported(hold time.Duration) float64 {
	if hold <= 0 {
		return 0
	}
	turnover := min(float64(reportedLoadAge)/float64(hold), 1)
	margin := min(max(o.share-calmShare, 0)/(surgeShare-calmShare), 1)
	return 2 * turnover * margin * margin
}
