package admin

import (
	"net/http"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// apply handles a request to accept a bundle as the next version.
func (s *Server) apply(c *requestContext) error {
	var req api.ApplyRequest
	if err := decodeBody(c, maxBundleBody, &req); err != nil {
		return err
	}
	change, err := newChange(c, req.Comment, req.Withdraw)
	if err != nil {
		return err
	}
	change.Bundle = req.Files.Bundle()
	if problems := config.Validate(change.Bundle); len(problems) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	if err := s.authorizeChange(c, change); err != nil {
		return err
	}
	v, err := s.Chain.Accept(c.ctx(), change)
	return s.replyAccepted(c, v, err)
}

// rollback handles a request to accept the content of an earlier version as the
// next version.
func (s *Server) rollback(c *requestContext) error {
	var req api.RollbackRequest
	if err := decodeBody(c, maxBody, &req); err != nil {
		return err
	}
	change, err := newChange(c, req.Comment, req.Withdraw)
	if err != nil {
		return err
	}
	old, err := s.Chain.Load(c.ctx(), req.To)
	if err != nil {
		return err
	}
	change.Bundle = old.Bundle
	if err := s.authorizeChange(c, change); err != nil {
		return err
	}
	v, err := s.Chain.Rollback(c.ctx(), req.To, change)
	return s.replyAccepted(c, v, err)
}

// newChange parses the common fields of changes. It rejects operators without any
// edit permission before the store is read.
func newChange(c *requestContext, comment string, withdraw bool) (config.Change, error) {
	if err := authorizeAnyTeam(c.op, access.ActionEditConfig); err != nil {
		return config.Change{}, err
	}
	if withdraw {
		if err := access.Authorize(c.op, access.ActionOverride, access.FleetWide); err != nil {
			return config.Change{}, err
		}
	}
	if len(comment) > maxComment {
		return config.Change{}, httperr.BadRequest("comment is longer than " + strconv.Itoa(maxComment) + " bytes")
	}
	id := c.Request().Header.Get(api.HeaderChangeID)
	if id == "" {
		return config.Change{}, httperr.BadRequest(api.HeaderChangeID + " is missing; without it a lost reply can't be settled")
	}
	expected, err := ifMatchVersion(c)
	if err != nil {
		return config.Change{}, err
	}
	return config.Change{Expected: expected, ChangeID: id, Author: c.op.Name, Comment: comment, Withdraw: withdraw}, nil
}

// authorizeChange checks the operator's permission for each difference between
// the bundle and the version on which it is based. Comparing with that version is
// sufficient, because the change is accepted only if the version is still active
// at the commit.
func (s *Server) authorizeChange(c *requestContext, change config.Change) error {
	if access.Authorize(c.op, access.ActionEditConfig, access.FleetWide) == nil {
		return nil
	}
	var oldBundle config.Bundle
	if change.Expected > 0 {
		v, err := s.Chain.Load(c.ctx(), change.Expected)
		if config.ErrNoVersion.Has(err) {
			return s.missingVersionConflict(c, change)
		}
		if err != nil {
			return err
		}
		oldBundle = v.Bundle
	}
	return authorizePaths(c.op, oldBundle, change.Bundle)
}

// missingVersionConflict returns the error of a change that is based on a version
// that does not exist.
func (s *Server) missingVersionConflict(c *requestContext, change config.Change) error {
	head, err := s.loadVersion(c, 0)
	if err != nil {
		return err
	}
	return &config.ConflictError{
		Version: head.Number, Hash: head.Hash, Author: head.Author, Expected: change.Expected,
	}
}

// replyAccepted responds to a change. It announces the accepted version, so that
// routers need not wait until they read the head again.
func (s *Server) replyAccepted(c *requestContext, v config.Version, err error) error {
	if err != nil {
		return err
	}
	s.Accepted(config.Head{Version: v.Number, Hash: v.Hash})
	s.Log.Info("configuration accepted", "version", v.Number, "author", v.Author, "change", v.ChangeID)
	c.Response().Header().Set("ETag", etag(v.Number))
	return c.JSON(http.StatusOK, v)
}

func formatVersion(number uint64) string { return strconv.FormatUint(number, 10) }
