package admin

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// maxAuditReads bounds the number of pages read to fill one page of a filtered
// list.
const maxAuditReads = 4

// audit returns a page of the audit trail, newest first. An operator sees the
// entries of the teams in scope. Fleet-wide entries, such as accepted
// configurations, are visible only to operators of the whole fleet.
func (s *Server) audit(c *requestContext) error {
	if err := authorizeAnyTeam(c.op, access.ActionReadAudit); err != nil {
		return err
	}
	if err := checkParams(c, api.ParamLimit, api.ParamCursor, api.ParamTeam); err != nil {
		return err
	}
	limit, err := pageLimit(c)
	if err != nil {
		return err
	}
	from, err := s.auditCursor(c)
	if err != nil {
		return err
	}
	page := api.Page[audit.Entry]{Items: []audit.Entry{}}
	for range maxAuditReads {
		if from.End() || len(page.Items) == limit {
			break
		}
		entries, next, err := s.trail.Page(c.ctx(), from, limit-len(page.Items))
		if err != nil {
			return err
		}
		page.Items = append(page.Items, visibleEntries(c, entries)...)
		from = next
	}
	if !from.End() {
		page.Next = from.String()
	}
	return c.JSON(http.StatusOK, page)
}

func (s *Server) auditCursor(c *requestContext) (audit.Cursor, error) {
	if text := c.QueryParam(api.ParamCursor); text != "" {
		return audit.ParseCursor(text)
	}
	return s.trail.Newest(c.ctx())
}

func visibleEntries(c *requestContext, entries []audit.Entry) []audit.Entry {
	var out []audit.Entry
	for _, e := range entries {
		if visible(c, access.ActionReadAudit, e.Team) {
			out = append(out, e)
		}
	}
	return out
}

// outcomeOf returns the audit outcome of an operation that returned err.
func outcomeOf(err error) audit.Outcome {
	if err == nil {
		return audit.OutcomeDone
	}
	if translate(err).Ran == apierr.RanNo {
		return audit.OutcomeFailed
	}
	return audit.OutcomeUnknown
}

// auditUnavailable converts a failure to write the audit entry of a change that
// has not been attempted. Even if the entry may have been written, the response
// must state that the change did not take effect.
func auditUnavailable(err error) error {
	f := translate(err)
	if f.Status < http.StatusInternalServerError {
		return err
	}
	return apierr.New(apierr.CodeStoreUnavailable, http.StatusServiceUnavailable, "the audit trail can't be written now").
		WithRetryAfter(storeRetryAfter).WithCause(err)
}
