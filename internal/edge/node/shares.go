package node

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/edge/forward"
	"github.com/labstack/echo/v4"
)

// PathShares lists for operators the accounts at the services that are congested.
const PathShares = "/shares"

// ShareList is the reply of PathShares.
type ShareList struct {
	Router   string                 `json:"router"`
	Accounts []forward.AccountShare `json:"accounts"`
}

func (r *Router) mountShares(e *echo.Echo) {
	e.GET(PathShares, func(c echo.Context) error {
		return c.JSON(http.StatusOK, ShareList{Router: r.self.Name, Accounts: r.shares.List()})
	})
}
