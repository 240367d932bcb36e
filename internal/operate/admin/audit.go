package admin

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
)

// maxAuditReads bounds the pages that are read to fill one of a filtered list.
const maxAuditReads = 4

// audit shows the trail, newest first. An operator sees the entries of the
// teams in scope; those of the whole fleet, such as accepted configurations,
// need the whole fleet as scope.
func (s *Server) audit(c *call) error {
	if err := anywhere(c.op, access.ActionReadAudit); err != nil {
		return err
	}
	if err := checkParams(c, api.ParamLimit, api.ParamCursor, api.ParamTeam); err != nil {
		return err
	}
	limit, err := limitOf(c)
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

func (s *Server) auditCursor(c *call) (audit.Cursor, error) {
	if text := c.QueryParam(api.ParamCursor); text != "" {
		return audit.ParseCursor(text)
	}
	return s.trail.Newest(c.ctx())
}

func visibleEntries(c *call, entries []audit.Entry) []audit.Entry {
	var out []audit.Entry
	for _, e := range entries {
		if visible(c, access.ActionReadAudit, e.Team) {
			out = append(out, e)
		}
	}
	return out
}

// outcomeOf sorts the result of an operation for the trail.
func outcomeOf(err error) audit.Outcome {
	if err == nil {
		return audit.OutcomeDone
	}
	if translate(err).Ran == apierr.RanNo {
		return audit.OutcomeFailed
	}
	return audit.OutcomeUnknown
}

// notBegun turns an entry that may have been written into a refusal: whatever
// became of the entry, the change that it announces was not tried.
func notBegun(err error) error {
	f := translate(err)
	if f.Status < http.StatusInternalServerError {
		return err
	}
	return apierr.New(apierr.CodeStoreDown, http.StatusServiceUnavailable, "the audit trail can't be written now").
		WithRetryAfter(storeRetry).WithCause(err)
}
