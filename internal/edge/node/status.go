package node

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/version"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"github.com/labstack/echo/v4"
)

// The paths for operators, served at the addresses of metrics and of control.
const (
	PathFleet    = "/fleet"
	PathSettings = "/settings"
	// QueryRouter is the query parameter that names the router whose settings are returned; the
	// default is the router that serves the request.
	QueryRouter = "router"
)

// status returns the status of this router for operators.
func (r *Router) status() feed.Status {
	now := bootclock.Now()
	active, snapshot := r.active.Load(), r.board.Snapshot()
	out := feed.Status{
		Router: r.self.Name, Site: r.self.Site, State: r.state(),
		Settings: active.digest, SettingsAge: now - active.since, Waiting: active.pendingRestart, Problem: r.settingsProblem(),
		Evacuated:     snapshot.Evacuations.Sites(),
		ShortOfMemory: r.forwarder.Memory().Short,
		Version:       version.String(), UpFor: now - r.createdAt, Boot: r.bootID,
	}
	if out.CutOff = r.cutOffServices(); len(out.CutOff) > 0 {
		out.Through = slices.Sorted(maps.Keys(r.dialer.Relays.InUse()))
	}
	if out.State == feed.StateServing && len(out.CutOff) > 0 {
		out.State = feed.StateCutOff
	}
	if era := snapshot.Engines.Era; era != (catalog.Era{}) {
		out.StoreEra = era.String()
	}
	if snapshot.Config != nil {
		out.Config, out.ConfigAge = snapshot.Config.Version, snapshot.ConfigAge(now)
	}
	return out
}

func (r *Router) state() feed.State {
	switch {
	case r.draining.Load():
		return feed.StateLeaving
	case !r.ready():
		return feed.StateNotReady
	case r.reader.StoreLost() || r.follower.StoreDown():
		return feed.StateStoreLost
	}
	return feed.StateServing
}

// settingsProblem returns what is wrong with the settings file, or an empty string.
func (r *Router) settingsProblem() string {
	if w := r.watcher.Load(); w != nil {
		return w.Problem()
	}
	return ""
}

const (
	// operatorServiceName is the name under which OperatorService is registered.
	operatorServiceName = "Operators"
	// SettingsMethod is the RPC name of OperatorService.Settings.
	SettingsMethod = operatorServiceName + ".Settings"
)

// OperatorService handles calls of other routers on behalf of operators. Its methods are called by
// net/rpc; their errors are always nil.
type OperatorService struct{ router *Router }

// SettingsArgs requests the active settings.
type SettingsArgs struct{}

// SettingsReply is the reply to SettingsArgs: all fields, without the values of secrets.
type SettingsReply struct {
	Router string           `json:"router"`
	Digest string           `json:"digest"`
	Fields []settings.Field `json:"fields"`
}

// Settings returns the active settings.
func (o *OperatorService) Settings(_ SettingsArgs, reply *SettingsReply) error {
	active := o.router.active.Load()
	*reply = SettingsReply{Router: o.router.self.Name, Digest: active.digest, Fields: active.settings.Fields()}
	return nil
}

// settingsTimeout bounds a call for the settings of another router.
const settingsTimeout = 2 * time.Second

// mountOperatorPaths serves the paths for operators.
func (r *Router) mountOperatorPaths(e *echo.Echo) {
	e.GET(PathFleet, func(c echo.Context) error {
		return c.JSON(http.StatusOK, r.follower.Fleet(c.Request().Context()))
	})
	e.GET(PathSettings, func(c echo.Context) error {
		reply, err := r.settingsOf(c.Request().Context(), c.QueryParam(QueryRouter))
		if err != nil {
			return echo.NewHTTPError(http.StatusNotFound, err.Error())
		}
		return c.JSON(http.StatusOK, reply)
	})
}

// settingsOf returns the active settings of a router, by default of this one. Errors: Error.
func (r *Router) settingsOf(ctx context.Context, name string) (SettingsReply, error) {
	var reply SettingsReply
	if name == "" || name == r.self.Name {
		return reply, (&OperatorService{r}).Settings(SettingsArgs{}, &reply)
	}
	for _, p := range r.liveRouters() {
		if p.Name != name {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, settingsTimeout)
		defer cancel()
		err := r.call(ctx, p, SettingsMethod, SettingsArgs{}, &reply)
		return reply, Error.Wrap(err)
	}
	return reply, Error.New("no router %q is known to be there", name)
}
