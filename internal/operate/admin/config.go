package admin

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// head shows which version is in force.
func (s *Server) head(c *call) error {
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

// version shows one version with its files.
func (s *Server) version(c *call) error {
	if err := mayReadBundle(c.op); err != nil {
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

// history lists the versions, newest first.
func (s *Server) history(c *call) error {
	if err := access.Authorize(c.op, access.ActionReadStatus, access.FleetWide); err != nil {
		return err
	}
	if err := checkParams(c, api.ParamLimit, api.ParamCursor); err != nil {
		return err
	}
	limit, err := limitOf(c)
	if err != nil {
		return err
	}
	top, err := s.historyTop(c)
	if err != nil {
		return err
	}
	versions, err := s.trail.Versions(c.ctx(), top, limit)
	if err != nil {
		return err
	}
	page := api.Page[config.Version]{Items: versions}
	if n := len(versions); n > 0 && versions[n-1].Number > 1 {
		page.Next = formatVersion(versions[n-1].Number - 1)
	}
	return c.JSON(http.StatusOK, page)
}

// historyTop is where a page begins: at the cursor, or at the head.
func (s *Server) historyTop(c *call) (uint64, error) {
	if text := c.QueryParam(api.ParamCursor); text != "" {
		return parseVersion(text)
	}
	head, err := s.Chain.Head(c.ctx())
	return head.Version, err
}

// check says what is wrong with a bundle, by itself and as the next version.
func (s *Server) check(c *call) error {
	if err := mayReadBundle(c.op); err != nil {
		return err
	}
	var req api.CheckRequest
	if err := decode(c, maxBundleBody, &req); err != nil {
		return err
	}
	old, err := s.load(c, 0)
	if err != nil {
		return err
	}
	after := req.Files.Bundle()
	reply := api.CheckReply{
		Version:        old.Number,
		Problems:       orEmpty(config.Validate(after)),
		ChangeProblems: []config.Problem{},
		Forbidden:      []string{},
	}
	if len(reply.Problems) > 0 {
		return c.JSON(http.StatusOK, reply)
	}
	if old.Number > 0 {
		reply.ChangeProblems = orEmpty(config.ValidateChange(old.Bundle, after))
	}
	if access.Authorize(c.op, access.ActionEditConfig, access.FleetWide) != nil {
		paths, err := forbidden(c.op, old.Bundle, after)
		if err != nil {
			return err
		}
		reply.Forbidden = orEmpty(paths)
	}
	return c.JSON(http.StatusOK, reply)
}

// diff says what changes between two versions, or from a version to files.
func (s *Server) diff(c *call) error {
	if err := mayReadBundle(c.op); err != nil {
		return err
	}
	var req api.DiffRequest
	if err := decode(c, maxBundleBody, &req); err != nil {
		return err
	}
	from, err := s.load(c, req.From)
	if err != nil {
		return err
	}
	to := config.Version{}
	if req.Files != nil {
		to.Bundle = req.Files.Bundle()
	} else if to, err = s.load(c, req.To); err != nil {
		return err
	}
	lines := orEmpty(config.Diff(from.Bundle, to.Bundle))
	return c.JSON(http.StatusOK, api.DiffReply{From: from.Number, To: to.Number, Lines: lines})
}

// load returns a version; 0 stands for the one in force, and gives an empty
// one where there is none yet.
func (s *Server) load(c *call, number uint64) (config.Version, error) {
	if number == 0 {
		head, err := s.Chain.Head(c.ctx())
		if err != nil || head.Version == 0 {
			return config.Version{}, err
		}
		number = head.Version
	}
	return s.Chain.Load(c.ctx(), number)
}

// orEmpty makes an empty list be sent as one, not as null.
func orEmpty[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
