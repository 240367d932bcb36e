package admin

import (
	"net/http"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// apply accepts a bundle as the next version.
func (s *Server) apply(c *call) error {
	var req api.ApplyRequest
	if err := decode(c, maxBundleBody, &req); err != nil {
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
	if err := s.checkScope(c, change); err != nil {
		return err
	}
	v, err := s.Chain.Accept(c.ctx(), change)
	return s.accepted(c, v, err)
}

// rollback accepts the content of an earlier version as the next one.
func (s *Server) rollback(c *call) error {
	var req api.RollbackRequest
	if err := decode(c, maxBody, &req); err != nil {
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
	if err := s.checkScope(c, change); err != nil {
		return err
	}
	v, err := s.Chain.Rollback(c.ctx(), req.To, change)
	return s.accepted(c, v, err)
}

// newChange reads what all changes have in common, and refuses operators who
// may change nothing before anything is read from the store.
func newChange(c *call, comment string, withdraw bool) (config.Change, error) {
	if err := anywhere(c.op, access.ActionEditConfig); err != nil {
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
	expected, err := ifMatch(c)
	if err != nil {
		return config.Change{}, err
	}
	return config.Change{Expected: expected, ChangeID: id, Author: c.op.Name, Comment: comment, Withdraw: withdraw}, nil
}

// checkScope compares the change with the version that it was made from. That
// is the right one to compare with: it is accepted only if that version is
// still in force at the commit, so that nothing can come in between.
func (s *Server) checkScope(c *call, change config.Change) error {
	if access.Authorize(c.op, access.ActionEditConfig, access.FleetWide) == nil {
		return nil
	}
	var before config.Bundle
	if change.Expected > 0 {
		v, err := s.Chain.Load(c.ctx(), change.Expected)
		if config.ErrNoVersion.Has(err) {
			return s.neverInForce(c, change)
		}
		if err != nil {
			return err
		}
		before = v.Bundle
	}
	return mayChange(c.op, before, change.Bundle)
}

// neverInForce refuses a change that names a version which does not exist.
func (s *Server) neverInForce(c *call, change config.Change) error {
	head, err := s.load(c, 0)
	if err != nil {
		return err
	}
	return &config.ConflictError{
		Version: head.Number, Hash: head.Hash, Author: head.Author, Expected: change.Expected,
	}
}

// accepted answers for a change, and spreads a new version so that routers
// need not wait for the next reading of the head.
func (s *Server) accepted(c *call, v config.Version, err error) error {
	if err != nil {
		return err
	}
	s.Accepted(config.Head{Version: v.Number, Hash: v.Hash})
	s.Log.Info("configuration accepted", "version", v.Number, "author", v.Author, "change", v.ChangeID)
	c.Response().Header().Set("ETag", etag(v.Number))
	return c.JSON(http.StatusOK, v)
}

func formatVersion(number uint64) string { return strconv.FormatUint(number, 10) }
