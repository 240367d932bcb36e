package node

import (
	"cmp"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/bootclock"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/labstack/echo/v4"
)

// PathQuarantine lists the suspects with GET. At the address of control, DELETE with a fingerprint as
// the last element of the path clears a request; it requires a fleet key as the bearer token.
const PathQuarantine = "/quarantine"

// PathQuarantineParts is where DELETE clears a part of prompts, with its service and its ID as the last
// elements of the path.
const PathQuarantineParts = PathQuarantine + "/parts"

// SuspectState is the state of a suspect, for operators.
type SuspectState string

// States of a suspect.
const (
	// StateSuspect means that engines ended while they executed the request, or one with the part.
	StateSuspect SuspectState = "suspect"
	// StateIsolated means that requests with the part are sent to one engine only.
	StateIsolated SuspectState = "isolated"
	// StateQuarantined means that the request is refused.
	StateQuarantined SuspectState = "quarantined"
	// StateLapsed means that a quarantine of the request has lapsed; the end of one more engine
	// begins the next one.
	StateLapsed SuspectState = "lapsed"
)

// SuspectStatus describes a suspect for operators.
type SuspectStatus struct {
	// Fingerprint identifies a request, and Part, as SERVICE/ID, a part of prompts.
	Fingerprint string       `json:"fingerprint,omitempty"`
	Part        string       `json:"part,omitempty"`
	State       SuspectState `json:"state"`
	// Account is "*" for a part of requests of several accounts.
	Account string `json:"account"`
	Route   string `json:"route"`
	// Engines are those that ended while they executed the request, once for each start.
	Engines []string `json:"engines"`
	// Lapsed is the number of quarantines that have lapsed.
	Lapsed uint32 `json:"lapsed"`
	// Age is the time since the last change, in nanoseconds.
	Age time.Duration `json:"age"`
}

// ID returns what identifies the suspect, as the command line takes it.
func (s SuspectStatus) ID() string { return cmp.Or(s.Part, s.Fingerprint) }

func newSuspectStatus(e quarantine.Entry, view *quarantine.View, now time.Duration) SuspectStatus {
	out := SuspectStatus{
		State: StateSuspect, Account: e.Account, Route: e.Route,
		Engines: e.Engines(), Lapsed: e.Lapsed, Age: now - e.ChangedAt,
	}
	if e.Key().IsPart() {
		out.Part = e.Part.String()
	} else {
		out.Fingerprint = e.Fingerprint.String()
	}
	switch {
	case view.Part(e.Part).Suspected:
		out.State = StateIsolated
	case e.Quarantined:
		out.State = StateQuarantined
	case e.Lapsed > 0:
		out.State = StateLapsed
	}
	return out
}

// suspectStatuses returns the suspects, those in quarantine and those with the most engines first.
func suspectStatuses(set *suspects.Set) []SuspectStatus {
	now := bootclock.Now()
	out := []SuspectStatus{}
	view := set.View()
	for _, e := range set.Entries() {
		out = append(out, newSuspectStatus(e, view, now))
	}
	rank := map[SuspectState]int{StateQuarantined: 0, StateLapsed: 1, StateIsolated: 2, StateSuspect: 3}
	slices.SortFunc(out, func(a, b SuspectStatus) int {
		return cmp.Or(rank[a.State]-rank[b.State], len(b.Engines)-len(a.Engines), cmp.Compare(a.ID(), b.ID()))
	})
	return out
}

// suspectMetrics counts the suspects: requests, and parts of prompts.
type suspectMetrics struct {
	Suspects         int `json:"suspects"`
	Quarantined      int `json:"quarantined"`
	SuspectParts     int `json:"suspect_parts"`
	QuarantinedParts int `json:"quarantined_parts"`
}

func newSuspectMetrics(set *suspects.Set) suspectMetrics {
	var out suspectMetrics
	for _, e := range set.Entries() {
		all, quarantined := &out.Suspects, &out.Quarantined
		if e.Key().IsPart() {
			all, quarantined = &out.SuspectParts, &out.QuarantinedParts
		}
		*all++
		if e.Quarantined {
			*quarantined++
		}
	}
	return out
}

func (r *Router) mountQuarantine(e *echo.Echo) {
	e.GET(PathQuarantine, func(c echo.Context) error {
		return c.JSON(http.StatusOK, suspectStatuses(r.suspects))
	})
}

// mountQuarantineControl serves the requests that change the quarantine.
func (r *Router) mountQuarantineControl(e *echo.Echo) {
	e.DELETE(PathQuarantine+"/:fingerprint", func(c echo.Context) error {
		f, err := quarantine.ParseFingerprint(c.Param("fingerprint"))
		return r.clearSuspect(c, quarantine.Key{Fingerprint: f}, err)
	})
	e.DELETE(PathQuarantineParts+"/:service/:id", func(c echo.Context) error {
		return r.clearSuspect(c, quarantine.Key{Part: quarantine.NewPart(c.Param("service"), c.Param("id"))}, nil)
	})
}

// clearSuspect handles a request to clear a suspect. The error is that of reading its name.
func (r *Router) clearSuspect(c echo.Context, k quarantine.Key, err error) error {
	switch {
	case !r.isFleetKey(bearerToken(c.Request())):
		return echo.NewHTTPError(http.StatusUnauthorized, "a fleet key is required")
	case err != nil:
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	case !r.suspects.Clear(k):
		return echo.NewHTTPError(http.StatusNotFound, "no such suspect")
	}
	r.log.Info("suspect cleared by an operator", "suspect", k)
	return c.NoContent(http.StatusNoContent)
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), "Bearer ")
	return token
}

// isFleetKey reports whether the text is one of the accepted fleet keys.
func (r *Router) isFleetKey(text string) bool {
	for _, key := range r.fleetKeys() {
		if len(key.Secret) > 0 && subtle.ConstantTimeCompare(key.Secret, []byte(text)) == 1 {
			return true
		}
	}
	return false
}
