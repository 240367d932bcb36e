package admin

import (
	"context"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"github.com/google/uuid"
)

const (
	// targetDigits is how much of a key's hash names a claim in the trail.
	targetDigits = 16
	// settleTimeout bounds the entry that ends an operation, which is written
	// also if the caller is gone.
	settleTimeout = 3 * time.Second
)

// showClaim shows what is known of a non-idempotent request.
func (s *Server) showClaim(c *call) error {
	if err := checkParams(c, api.ParamAccount, api.ParamKey); err != nil {
		return err
	}
	k := claim.Key{Account: c.QueryParam(api.ParamAccount), IdempotencyKey: c.QueryParam(api.ParamKey)}
	if _, err := s.authorizeClaim(c, access.ActionReadConfig, k); err != nil {
		return err
	}
	view, err := s.Claims.Show(c.ctx(), k)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view)
}

// resolveClaim applies an operator's verdict to a claim without an outcome.
//
// The claim's row is not ours to write, so the trail can't be part of its
// transaction. An entry goes before it: were it only written afterwards, a
// verdict could take effect without a trace when the store fails in between.
func (s *Server) resolveClaim(c *call) error {
	var req api.ResolveRequest
	if err := decode(c, maxBody, &req); err != nil {
		return err
	}
	k := claim.Key{Account: req.Account, IdempotencyKey: req.Key}
	team, err := s.authorizeClaim(c, access.ActionResolveClaim, k)
	if err != nil {
		return err
	}
	entry := audit.Entry{
		ID:          uuid.NewString(),
		Actor:       c.op.Name,
		Action:      audit.ActionClaimResolve,
		Outcome:     audit.OutcomeBegun,
		Team:        team,
		Target:      claimTarget(k),
		FromVersion: req.Seen,
		Detail:      string(req.Verdict),
	}
	if _, err := s.trail.Record(c.ctx(), entry); err != nil {
		return notBegun(err)
	}
	err = s.Claims.Resolve(c.ctx(), k, req.Seen, req.Verdict)
	s.settle(c.ctx(), entry, err)
	if err != nil {
		return err
	}
	view, err := s.Claims.Show(c.ctx(), k)
	if err != nil {
		// The verdict is in force; only its picture could not be read.
		return c.NoContent(http.StatusNoContent)
	}
	return c.JSON(http.StatusOK, view)
}

// settle ends an operation in the trail. If that fails the entry "begun" stands
// alone, which says that the outcome is to be looked up.
func (s *Server) settle(ctx context.Context, entry audit.Entry, outcome error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	entry.Outcome = outcomeOf(outcome)
	if _, err := s.trail.Record(ctx, entry); err != nil {
		s.Log.Error("outcome not in the audit trail", "id", entry.ID, "action", entry.Action,
			"outcome", entry.Outcome, "actor", entry.Actor, "target", entry.Target, "cause", err)
	}
}

// authorizeClaim returns the team of the claim's account.
func (s *Server) authorizeClaim(c *call, action access.Action, k claim.Key) (string, error) {
	team, err := s.catalog.teamOf(k.Account)
	if err != nil {
		return "", err
	}
	return team, access.Authorize(c.op, action, team)
}

// claimTarget names a claim without showing the caller's key.
func claimTarget(k claim.Key) string {
	return "claim " + k.Account + "/" + access.HashSecret(k.IdempotencyKey).String()[:targetDigits]
}
