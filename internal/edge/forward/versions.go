package forward

import (
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/choose"
)

// SetDoubts sets what reports which engines may run another version than their entries state. It must be
// called before the first request.
func (p *Balancer) SetDoubts(doubts *RestartDoubts) { p.doubts = doubts }

// SetEstablished sets what reports whether streams that can be resumed should begin at a version of a service. It must be
// called before the first request.
func (p *Balancer) SetEstablished(established func(service, version string) bool) {
	p.established = established
}

// onlyVersion returns the engines that run a version, as far as is known. Those that may have been
// restarted with another one are left out if there are others.
func (p *Balancer) onlyVersion(engines []catalog.Engine, candidates []choose.Engine, version string) ([]catalog.Engine, []choose.Engine) {
	var certain, inDoubt []int
	for i, e := range engines {
		switch {
		case e.Version != version || p.doubts.Restarted(e):
		case p.doubts.InDoubt(e):
			inDoubt = append(inDoubt, i)
		default:
			certain = append(certain, i)
		}
	}
	if len(certain) == 0 {
		certain = inDoubt
	}
	var keptEngines []catalog.Engine
	var kept []choose.Engine
	for _, i := range certain {
		keptEngines, kept = append(keptEngines, engines[i]), append(kept, candidates[i])
	}
	return keptEngines, kept
}

// loneOfVersion returns the engines that are the only ones of their version, if another version has
// several: a stream that begins there can't be resumed elsewhere.
func loneOfVersion(candidates []choose.Engine) (lone []int) {
	count := make(map[string]int)
	several := false
	takes := func(e choose.Engine) bool { return !e.Draining && e.Share > 0 }
	for _, e := range candidates {
		if takes(e) {
			count[e.Version]++
			several = several || count[e.Version] > 1
		}
	}
	if !several || len(count) < 2 {
		return nil
	}
	for i, e := range candidates {
		if takes(e) && count[e.Version] == 1 {
			lone = append(lone, i)
		}
	}
	return lone
}

// fewOfVersion returns the versions that fewer engines run than another version.
func fewOfVersion(candidates []choose.Engine) map[string]bool {
	count := make(map[string]int)
	most := 0
	for _, e := range candidates {
		if !e.Draining {
			count[e.Version]++
			most = max(most, count[e.Version])
		}
	}
	out := make(map[string]bool)
	for _, e := range candidates {
		out[e.Version] = count[e.Version] < most
	}
	return out
}
