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
	// alternates is how many further routers a locate answer names.
	alternates = 2
	// ttlJitter spreads the times at which callers come back, as a share of
	// the time to live: answers given in one burst must not expire in one.
	ttlJitter = 0.2
)

// locate names the router that owns the chat's preferred engine, so that the
// permit is granted without a message between routers.
func (s *Server) locate(c echo.Context) error {
	who, err := s.authenticate(c)
	if err != nil {
		return err
	}
	if id := c.QueryParam("chat"); id != "" {
		if !validID(id) {
			return httperr.BadRequest("malformed chat id")
		}
		who.setChat(id)
	}
	if name := c.QueryParam("service"); name != "" {
		who.chat = 0
		if r, ok := s.serviceOwner(who, name); ok {
			return s.answerLocate(c, withFirst(r, s.routersFor(who, "", "")))
		}
	}
	routers := s.routersFor(who, c.QueryParam("model"), c.Request().Header.Get(wire.HeaderPrefixHint))
	return s.answerLocate(c, routers)
}

// withFirst puts r before the others.
func withFirst(r board.Router, others []board.Router) []board.Router {
	out := []board.Router{r}
	for _, o := range others {
		if o.Name != r.Name && len(out) <= alternates {
			out = append(out, o)
		}
	}
	return out
}

// serviceOwner is the owner of one of the service's VMs, drawn at random, so
// that callers spread over the owners and their permits are local.
func (s *Server) serviceOwner(who *caller, name string) (board.Router, bool) {
	svc, ok := who.config.Service(name)
	if !ok || !who.account.MayCall(name) {
		return board.Router{}, false
	}
	g := who.snapshot.Group(svc.Pool, who.config.Site.Region)
	if g == nil {
		return board.Router{}, false
	}
	start := rand.IntN(len(g.Engines))
	for i := range g.Engines {
		at := (start + i) % len(g.Engines)
		if !g.Engines[at].Leaving && g.Owners[at] >= 0 {
			return who.snapshot.Routers[g.Owners[at]], true
		}
	}
	return board.Router{}, false
}

func (s *Server) answerLocate(c echo.Context, routers []board.Router) error {
	if len(routers) == 0 {
		return apierr.New(apierr.CodeNotReady, http.StatusServiceUnavailable, "no router in service is known").
			WithRetryAfter(time.Second)
	}
	answer := wire.Locate{
		Address: routers[0].Address,
		Router:  routers[0].Name,
		TTLMS:   s.jitteredTTL().Milliseconds(),
	}
	for _, r := range routers[1:] {
		answer.Alternates = append(answer.Alternates, r.Address)
	}
	return c.JSON(http.StatusOK, answer)
}

// routersFor lists the best router and its alternates.
func (s *Server) routersFor(who *caller, model, hint string) []board.Router {
	snap := who.snapshot
	key := who.chat
	if key == 0 {
		// Callers without a chat are spread evenly over the routers.
		key = rand.Uint64()
	}
	var out []board.Router
	if r, ok := s.preferredOwner(who, model, hint); ok {
		out = append(out, r)
	}
	near, ids := nearby(snap, who.config.Site.Region)
	for _, i := range rendezvous.Top(nil, alternates+1, key, ids) {
		r := near[i]
		if len(out) > alternates {
			break
		}
		if len(out) == 0 || out[0].Name != r.Name {
			out = append(out, r)
		}
	}
	return out
}

// nearby are the live routers of the region, or all where it has none: regions
// lose each other now and then.
func nearby(snap *board.Snapshot, region string) ([]board.Router, []uint64) {
	var near []board.Router
	var ids []uint64
	for i, r := range snap.Live {
		if r.Region == region {
			near = append(near, r)
			ids = append(ids, snap.LiveIDs[i])
		}
	}
	if len(near) == 0 {
		return snap.Live, snap.LiveIDs
	}
	return near, ids
}

// preferredOwner is the owner of the engine that holds the chat's prefix by
// the caller's hint, or else of the one that the chat's rendezvous order names.
func (s *Server) preferredOwner(who *caller, model, hint string) (board.Router, bool) {
	if r, ok := s.hintedOwner(who, hint); ok {
		return r, true
	}
	if who.chat == 0 || model == "" {
		return board.Router{}, false
	}
	for _, p := range who.config.PoolsFor(model, "") {
		if r, ok := s.Admitter.Home(p, who.chat); ok {
			return r, true
		}
	}
	return board.Router{}, false
}

// hintedOwner follows a hint. One that is not valid is passed over here; the
// chat request itself, which hands it back too, is refused with the reason.
func (s *Server) hintedOwner(who *caller, hint string) (board.Router, bool) {
	if hint == "" {
		return board.Router{}, false
	}
	h, err := s.Tokens.OpenHint(who.account.Name, hint)
	if err != nil {
		return board.Router{}, false
	}
	e, ok := who.snapshot.EngineByID(h.Engine)
	if !ok || e.Leaving {
		return board.Router{}, false
	}
	return who.snapshot.EngineOwner(e.ID)
}

func (s *Server) jitteredTTL() time.Duration {
	f := 1 - ttlJitter*rand.Float64()
	return time.Duration(float64(s.LocateTTL) * f)
}
