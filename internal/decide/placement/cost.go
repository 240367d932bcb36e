package placement

// minWeight keeps a request with an empty prompt from weighing nothing.
const minWeight = 1

// cachedTokens returns the expected length in tokens of the prompt prefix that e has cached.
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

// Weight returns the load that the request adds to an engine which has cached the given number of
// its prompt tokens: the uncached prompt tokens plus OutputWeight times the expected output tokens,
// and at least 1.
func (p *Policy) Weight(r *Request, cached int) int64 {
	uncached := max(r.PromptTokens-cached, 0)
	output := p.OutputWeight * float64(max(r.OutputTokens, 0))
	return max(int64(uncached)+int64(output), minWeight)
}

// cost returns the predicted time until the first token in seconds: the time to drain the engine's
// load, plus the prefill of the uncached part of the prompt.
func (p *Policy) cost(e *Engine, r *Request, cached int) float64 {
	uncached := max(r.PromptTokens-cached, 0)
	drain := float64(e.Load) / rate(e.DrainRate, p.DrainRate)
	return drain + float64(uncached)/rate(e.PrefillRate, p.PrefillRate)
}

// preferredSlack returns how many seconds longer than at the best engine a chat without evidence
// may wait in order to follow its rendezvous order. It is never negative: otherwise a bad policy
// would exclude even the best engine.
func (p *Policy) preferredSlack(r *Request) float64 {
	earlier := float64(max(r.EarlierTokens, 0))
	slack := p.PreferredWait.Seconds() + p.PreferredConfidence*earlier/p.PrefillRate
	return max(slack, 0)
}

func rate(reported, fallback float64) float64 {
	if reported > 0 {
		return reported
	}
	return fallback
}
