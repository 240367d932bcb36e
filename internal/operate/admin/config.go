package admin

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// head returns the active version.
func (s *Server) head(c *requestContext) error {
	if err := access.Authorize(c.op, access.ActionReadStatus, access.FleetWide); err != nil {
		return err
	}
	head, err := s.Chain.Head(c.ctx())
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", etag(head.Version))
	return c.JSON(http.StatusOK, head)
}

// version returns a version with its files.
func (s *Server) version(c *requestContext) error {
	if err := authorizeReadBundle(c.op); err != nil {
		return err
	}
	number, err := parseVersion(c.Param("version"))
	if err != nil {
		return err
	}
	v, err := s.Chain.Load(c.ctx(), number)
	if err != nil {
		return err
	}
	files, err := api.NewFiles(v.Bundle)
	if err != nil {
		return err
	}
	c.Response().Header().Set("ETag", etag(v.Number))
	return c.JSON(http.StatusOK, api.VersionFiles{Version: v, Files: files})
}

// history returns a page of the versions, newest first.
func (s *Server) history(c *requestContext) error {
	if err := access.Authorize(c.op, access.ActionReadStatus, access.FleetWide); err != nil {
		return err
	}
	if err := checkParams(c, api.ParamLimit, api.ParamCursor); err != nil {
		return err
	}
	limit, err := pageLimit(c)
	if err != nil {
		return err
	}
	newest, err := s.historyStart(c)
	if err != nil {
		return err
	}
	versions, err := s.trail.Versions(c.ctx(), newest, limit)
	if err != nil {
		return err
	}
	page := api.Page[config.Version]{Items: versions}
	if n := len(versions); n > 0 && versions[n-1].Number > 1 {
		page.Next = formatVersion(versions[n-1].Number - 1)
	}
	return c.JSON(http.StatusOK, page)
}

// historyStart returns the first version of a page: the cursor, or the head if the
// query has no cursor.
func (s *Server) historyStart(c *requestContext) (uint64, error) {
	if text := c.QueryParam(api.ParamCursor); text != "" {
		return parseVersion(text)
	}
	head, err := s.Chain.Head(c.ctx())
	return head.Version, err
}

// check returns the problems of a bundle itself and as the next version.
func (s *Server) check(c *requestContext) error {
	if err := authorizeReadBundle(c.op); err != nil {
		return err
	}
	var req api.CheckRequest
	if err := decodeBody(c, maxBundleBody, &req); err != nil {
		return err
	}
	old, err := s.loadVersion(c, 0)
	if err != nil {
		return err
	}
	proposed := req.Files.Bundle()
	reply := api.CheckReply{
		Version:        old.Number,
		Problems:       nonNil(config.Validate(proposed)),
		ChangeProblems: []config.Problem{},
		Forbidden:      []string{},
	}
	if len(reply.Problems) > 0 {
		return c.JSON(http.StatusOK, reply)
	}
	if old.Number > 0 {
		reply.ChangeProblems = nonNil(config.ValidateChange(old.Bundle, proposed))
	}
	if access.Authorize(c.op, access.ActionEditConfig, access.FleetWide) != nil {
		paths, err := forbiddenPaths(c.op, old.Bundle, proposed)
		if err != nil {
			return err
		}
		reply.Forbidden = nonNil(paths)
	}
	return c.JSON(http.StatusOK, reply)
}

// diff returns the differences between two versions, or between a version and
// files.
func (s *Server) diff(c *requestContext) error {
	if err := authorizeReadBundle(c.op); err != nil {
		return err
	}
	var req api.DiffRequest
	if err := decodeBody(c, maxBundleBody, &req); err != nil {
		return err
	}
	from, err := s.loadVersion(c, req.From)
	if err != nil {
		return err
	}
	to := config.Version{}
	if req.Files != nil {
		to.Bundle = req.Files.Bundle()
	} else if to, err = s.loadVersion(c, req.To); err != nil {
		return err
	}
	lines := nonNil(config.Diff(from.Bundle, to.Bundle))
	return c.JSON(http.StatusOK, api.DiffReply{From: from.Number, To: to.Number, Lines: lines})
}

// loadVersion returns a version. 0 means the active version, which is empty if
// none has been accepted yet.
func (s *Server) loadVersion(c *requestContext, number uint64) (config.Version, error) {
	if number == 0 {
		head, err := s.Chain.Head(c.ctx())
		if err != nil || head.Version == 0 {
			return config.Version{}, err
		}
		number = head.Version
	}
	return s.Chain.Load(c.ctx(), number)
}

// nonNil returns an empty list for nil, so that JSON has [] instead of null.
func nonNil[T any](items []T) []T {
	if items == nil {
		return []T{}
	}
	return items
}
