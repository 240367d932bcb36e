package placement

// minWeight keeps a request with an empty prompt from being free.
const minWeight = 1

// cachedTokens is the expected length of the prefix that e holds.
func (r *Request) cachedTokens(e *Engine) int {
	most := 0.0
	for i := range r.Evidence {
		ev := &r.Evidence[i]
		if ev.Engine != e.ID || ev.Incarnation != e.Incarnation {
			continue
		}
		most = max(most, float64(ev.CachedTokens)*min(ev.Confidence, 1))
	}
	return min(int(most), max(r.PromptTokens, 0))
}

// Weight is the load that the request adds to an engine which holds cached
// tokens of its prompt: the missing prompt tokens plus the expected output
// tokens times OutputWeight, and at least 1.
func (p *Policy) Weight(r *Request, cached int) int64 {
	missing := max(r.PromptTokens-cached, 0)
	output := p.OutputWeight * float64(max(r.OutputTokens, 0))
	return max(int64(missing)+int64(output), minWeight)
}

// cost predicts the seconds until the first token: the work ahead at the
// engine, then the prefill of the missing part of the prompt.
func (p *Policy) cost(e *Engine, r *Request, cached int) float64 {
	missing := max(r.PromptTokens-cached, 0)
	ahead := float64(e.Load) / rate(e.DrainRate, p.DrainRate)
	return ahead + float64(missing)/rate(e.PrefillRate, p.PrefillRate)
}

// homeSlack is how many seconds beyond the best a chat without evidence may
// wait in order to follow its rendezvous order. It is never negative: the best
// engine has to stay within it, or a bad policy would leave nothing to choose.
func (p *Policy) homeSlack(r *Request) float64 {
	earlier := float64(max(r.EarlierTokens, 0))
	slack := p.HomeWait.Seconds() + p.HomeTrust*earlier/p.PrefillRate
	return max(slack, 0)
}

func rate(reported, assumed float64) float64 {
	if reported > 0 {
		return reported
	}
	return assumed
}
