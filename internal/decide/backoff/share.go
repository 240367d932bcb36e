package backoff

// priorAccepted is added to the accepted requests of every engine, so that one rejection changes
// little.
const priorAccepted = 1

// LoadShare returns the share of its usual requests that a router should send to an engine that has
// not rejected it, from 0 to 1. accepted and rejected are the recent requests of the whole fleet at
// the engine, where rejected ones were answered with Retry-After. In a large fleet each router sends
// little to each engine: if every router had to be rejected itself, an engine that rejects everything
// would still cost each of them a request.
//
// The share does not reach 0, so that the fleet notices when the engine accepts requests again.
func LoadShare(accepted, rejected float64) float64 {
	return (accepted + priorAccepted) / (accepted + rejected + priorAccepted)
}
