package admin

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/serve/board"
)

// status returns the active configuration version of each router, as known to this
// router.
func (s *Server) status(c *requestContext) error {
	if err := access.Authorize(c.op, access.ActionReadStatus, access.FleetWide); err != nil {
		return err
	}
	if err := checkParams(c, api.ParamVersion); err != nil {
		return err
	}
	snap := s.Board.Snapshot()
	st := api.Status{SeenBy: snap.Self, Routers: routerStatuses(snap), Lagging: []string{}}
	if err := s.statusVersion(c, snap, &st); err != nil {
		return err
	}
	for _, r := range st.Routers {
		// A draining router may exit before it applies the version. If it
		// counted as lagging, the change would never be complete.
		if r.State == api.RouterLive && r.ConfigVersion < st.Version {
			st.Lagging = append(st.Lagging, r.Name)
		}
	}
	st.Complete = len(st.Lagging) == 0
	return c.JSON(http.StatusOK, st)
}

// statusVersion sets the version to compare with: the one in the query, else
// the head. While the store is down, it uses the newest active version of any
// router instead of the head.
func (s *Server) statusVersion(c *requestContext, snap *board.Snapshot, st *api.Status) error {
	if text := c.QueryParam(api.ParamVersion); text != "" {
		version, err := parseVersion(text)
		st.Version, st.HeadKnown = version, true
		return err
	}
	head, err := s.Chain.Head(c.ctx())
	if err == nil {
		st.Version, st.HeadKnown = head.Version, true
		return nil
	}
	st.Version = snap.ConfigVersion
	for _, r := range snap.Routers {
		st.Version = max(st.Version, r.ConfigVersion)
	}
	return nil
}

func routerStatuses(snap *board.Snapshot) []api.RouterStatus {
	out := make([]api.RouterStatus, 0, len(snap.Routers))
	for _, r := range snap.Routers {
		state := api.RouterLive
		if r.Draining {
			state = api.RouterLeaving
		}
		version := r.ConfigVersion
		if r.Name == snap.Self {
			version = snap.ConfigVersion
		}
		out = append(out, api.RouterStatus{
			Name: r.Name, Site: r.Site, State: state, Address: r.Address, ConfigVersion: version,
		})
	}
	return out
}

// fleet returns the routers and engines as known to this router.
func (s *Server) fleet(c *requestContext) error {
	if err := access.Authorize(c.op, access.ActionReadStatus, access.FleetWide); err != nil {
		return err
	}
	if err := checkParams(c); err != nil {
		return err
	}
	snap := s.Board.Snapshot()
	f := api.Fleet{
		SeenBy:        snap.Self,
		ConfigVersion: snap.ConfigVersion,
		Draining:      snap.Draining,
		Routers:       routerStatuses(snap),
		Engines:       []api.Engine{},
	}
	for _, g := range snap.Groups() {
		for i, e := range g.Engines {
			f.Engines = append(f.Engines, s.engineView(snap, e, g.Owners[i]))
		}
	}
	return c.JSON(http.StatusOK, f)
}

func (s *Server) engineView(snap *board.Snapshot, e board.Engine, owner int) api.Engine {
	out := api.Engine{
		Name: e.Name, Kind: e.Kind, Pool: e.Pool, Site: e.Site, Address: e.Address,
		Leaving: e.Leaving, Known: e.Reported,
	}
	if owner >= 0 {
		out.Owner = snap.Routers[owner].Name
	}
	if e.Reported {
		out.Incarnation = e.Status.Incarnation
		out.Model, out.Version = e.Status.Model, e.Status.Version
	}
	if s.Loads != nil {
		out.Admitted, out.Heard = s.Loads(e.ID)
	}
	return out
}
