package traffic

import (
	"math/rand/v2"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/labstack/echo/v4"
)

const (
	// maxAlternates is how many alternate routers a locate response names.
	maxAlternates = 2
	// ttlJitter is the largest share by which a time to live is shortened. It
	// spreads the times at which callers locate again: responses given in one
	// burst must not expire together.
	ttlJitter = 0.2
)

// locate serves GET /v1/locate. It names the router that owns the chat's
// preferred engine, so that the permit is granted without a message between
// routers.
func (s *Server) locate(c echo.Context) error {
	caller, err := s.authenticate(c)
	if err != nil {
		return err
	}
	if id := c.QueryParam("chat"); id != "" {
		if !validID(id) {
			return httperr.BadRequest("malformed chat id")
		}
		caller.setChat(id)
	}
	if name := c.QueryParam("service"); name != "" {
		caller.affinityKey = 0
		if r, ok := s.serviceOwner(caller, name); ok {
			return s.respondLocate(c, withFirst(r, s.candidateRouters(caller, "", "")))
		}
	}
	routers := s.candidateRouters(caller, c.QueryParam("model"), c.Request().Header.Get(wire.HeaderPrefixHint))
	return s.respondLocate(c, routers)
}

// withFirst returns r, followed by at most maxAlternates of the others.
func withFirst(r board.Router, others []board.Router) []board.Router {
	out := []board.Router{r}
	for _, other := range others {
		if other.Name != r.Name && len(out) <= maxAlternates {
			out = append(out, other)
		}
	}
	return out
}

// serviceOwner returns the owner of one of the service's VMs. The VM is drawn
// at random, so that callers spread over the owners, and each owner can grant
// its callers' permits without a message. It returns false if the caller may
// not call the service or no VM of it is available.
func (s *Server) serviceOwner(caller *callerInfo, name string) (board.Router, bool) {
	svc, ok := caller.config.Service(name)
	if !ok || !caller.account.MayCall(name) {
		return board.Router{}, false
	}
	group := caller.snapshot.Group(svc.Pool, caller.config.Site.Region)
	if group == nil {
		return board.Router{}, false
	}
	start := rand.IntN(len(group.Engines))
	for i := range group.Engines {
		index := (start + i) % len(group.Engines)
		if !group.Engines[index].Leaving && group.Owners[index] >= 0 {
			return caller.snapshot.Routers[group.Owners[index]], true
		}
	}
	return board.Router{}, false
}

func (s *Server) respondLocate(c echo.Context, routers []board.Router) error {
	if len(routers) == 0 {
		return apierr.New(apierr.CodeNotReady, http.StatusServiceUnavailable, "no router in service is known").
			WithRetryAfter(time.Second)
	}
	response := wire.LocateResponse{
		Address: routers[0].Address,
		Router:  routers[0].Name,
		TTLMS:   s.jitteredTTL().Milliseconds(),
	}
	for _, r := range routers[1:] {
		response.Alternates = append(response.Alternates, r.Address)
	}
	return c.JSON(http.StatusOK, response)
}

// candidateRouters returns the best router and its alternates.
func (s *Server) candidateRouters(caller *callerInfo, model, hint string) []board.Router {
	snap := caller.snapshot
	key := caller.affinityKey
	if key == 0 {
		// Callers without a chat are spread evenly over the routers.
		key = rand.Uint64()
	}
	var out []board.Router
	if r, ok := s.preferredOwner(caller, model, hint); ok {
		out = append(out, r)
	}
	local, ids := localRouters(snap, caller.config.Site.Region)
	for _, i := range rendezvous.Top(nil, maxAlternates+1, key, ids) {
		r := local[i]
		if len(out) > maxAlternates {
			break
		}
		if len(out) == 0 || out[0].Name != r.Name {
			out = append(out, r)
		}
	}
	return out
}

// localRouters returns the live routers of the region and their ids: the
// network to another region may fail. If the region has no live router, it
// returns all live routers.
func localRouters(snap *board.Snapshot, region string) ([]board.Router, []uint64) {
	var local []board.Router
	var ids []uint64
	for i, r := range snap.Live {
		if r.Region == region {
			local = append(local, r)
			ids = append(ids, snap.LiveIDs[i])
		}
	}
	if len(local) == 0 {
		return snap.Live, snap.LiveIDs
	}
	return local, ids
}

// preferredOwner returns the owner of the engine that holds the chat's prefix
// according to the caller's hint, or else of the engine that is first in the
// chat's rendezvous order.
func (s *Server) preferredOwner(caller *callerInfo, model, hint string) (board.Router, bool) {
	if r, ok := s.hintedOwner(caller, hint); ok {
		return r, true
	}
	if caller.affinityKey == 0 || model == "" {
		return board.Router{}, false
	}
	for _, p := range caller.config.PoolsFor(model, "") {
		if r, ok := s.Admitter.Home(p, caller.affinityKey); ok {
			return r, true
		}
	}
	return board.Router{}, false
}

// hintedOwner returns the owner of the engine that a hint names. An invalid
// hint is skipped here; the chat request itself, which carries it too, is
// refused with the reason.
func (s *Server) hintedOwner(caller *callerInfo, hint string) (board.Router, bool) {
	if hint == "" {
		return board.Router{}, false
	}
	h, err := s.Tokens.OpenHint(caller.account.Name, hint)
	if err != nil {
		return board.Router{}, false
	}
	e, ok := caller.snapshot.EngineByID(h.Engine)
	if !ok || e.Leaving {
		return board.Router{}, false
	}
	return caller.snapshot.EngineOwner(e.ID)
}

func (s *Server) jitteredTTL() time.Duration {
	factor := 1 - ttlJitter*rand.Float64()
	return time.Duration(float64(s.LocateTTL) * factor)
}
