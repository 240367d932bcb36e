package node

import (
	"context"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/base/version"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"github.com/labstack/echo/v4"
)

// Where operators ask, at the addresses of metrics and of control.
const (
	PathFleet    = "/fleet"
	PathSettings = "/settings"
	// QueryRouter names the router whose settings are asked for; the default is the one
	// that is asked.
	QueryRouter = "router"
)

// status is what this router says of itself to operators.
func (r *Router) status() feed.Status {
	now := bootclock.Now()
	in, s := r.inForce.Load(), r.board.Snapshot()
	out := feed.Status{
		Router: r.self.Name, Site: r.self.Site, State: r.state(),
		Settings: in.digest, SettingsAge: now - in.since, Waiting: in.waiting, Problem: r.settingsProblem(),
		Evacuated: s.Evacuations.Sites(),
		Version:   version.String(), UpFor: now - r.began, Boot: r.boot,
	}
	if s.Config != nil {
		out.Config, out.ConfigAge = s.Config.Version, s.ConfigAge(now)
	}
	return out
}

func (r *Router) state() feed.State {
	switch {
	case r.leaving.Load():
		return feed.StateLeaving
	case !r.ready():
		return feed.StateNotReady
	case r.reader.Lost() || r.follower.Lost():
		return feed.StateStoreLost
	}
	return feed.StateServing
}

func (r *Router) settingsProblem() string {
	if w := r.watcher.Load(); w != nil {
		return w.Problem()
	}
	return ""
}

const (
	// operatorsName is the name to register Operators under.
	operatorsName = "Operators"
	// SettingsMethod is the name under which Operators.Settings is called.
	SettingsMethod = operatorsName + ".Settings"
)

// Operators answers other routers what operators ask them. Its methods are called by net/rpc;
// their errors are always nil.
type Operators struct{ router *Router }

// SettingsArgs asks for the settings in force.
type SettingsArgs struct{}

// SettingsReply is the answer: all fields, without the values of secrets.
type SettingsReply struct {
	Router string           `json:"router"`
	Digest string           `json:"digest"`
	Fields []settings.Field `json:"fields"`
}

// Settings answers with the settings in force.
func (o *Operators) Settings(_ SettingsArgs, reply *SettingsReply) error {
	in := o.router.inForce.Load()
	*reply = SettingsReply{Router: o.router.self.Name, Digest: in.digest, Fields: in.set.Fields()}
	return nil
}

// askTimeout bounds a question to another router on behalf of an operator.
const askTimeout = 2 * time.Second

// mountOperators serves what operators ask.
func (r *Router) mountOperators(e *echo.Echo) {
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

// settingsOf returns the settings of a router, this one if no name is given. Errors: Error.
func (r *Router) settingsOf(ctx context.Context, name string) (SettingsReply, error) {
	var reply SettingsReply
	if name == "" || name == r.self.Name {
		return reply, (&Operators{r}).Settings(SettingsArgs{}, &reply)
	}
	for _, p := range r.live() {
		if p.Name != name {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		err := r.call(ctx, p, SettingsMethod, SettingsArgs{}, &reply)
		return reply, Error.Wrap(err)
	}
	return reply, Error.New("no router %q is known to be there", name)
}
