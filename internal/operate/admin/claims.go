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
	// keyHashDigits is the number of hexadecimal digits of the key's hash that
	// identify a claim in the audit trail.
	keyHashDigits = 16
	// outcomeTimeout limits the write of the entry with the outcome of an
	// operation, which is written even if the client has disconnected.
	outcomeTimeout = 3 * time.Second
)

// showClaim returns the claim of a non-idempotent request.
func (s *Server) showClaim(c *requestContext) error {
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
// Package claim writes the row of the claim, so the audit entry cannot be part
// of that transaction. resolveClaim therefore writes an entry before the
// verdict: if it wrote the entry only afterwards and the store failed in
// between, a verdict could take effect without an entry.
func (s *Server) resolveClaim(c *requestContext) error {
	var req api.ResolveRequest
	if err := decodeBody(c, maxBody, &req); err != nil {
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
		return auditUnavailable(err)
	}
	err = s.Claims.Resolve(c.ctx(), k, req.Seen, req.Verdict)
	s.recordOutcome(c.ctx(), entry, err)
	if err != nil {
		return err
	}
	view, err := s.Claims.Show(c.ctx(), k)
	if err != nil {
		// The verdict has taken effect; only the read of the claim failed.
		return c.NoContent(http.StatusNoContent)
	}
	return c.JSON(http.StatusOK, view)
}

// recordOutcome writes the audit entry with the outcome of an operation. If the
// write fails, only the entry "begun" exists, which means that the outcome has to
// be looked up.
func (s *Server) recordOutcome(ctx context.Context, entry audit.Entry, result error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), outcomeTimeout)
	defer cancel()
	entry.Outcome = outcomeOf(result)
	if _, err := s.trail.Record(ctx, entry); err != nil {
		s.Log.Error("cannot record the outcome in the audit trail", "id", entry.ID, "action", entry.Action,
			"outcome", entry.Outcome, "actor", entry.Actor, "target", entry.Target, "cause", err)
	}
}

// authorizeClaim returns the team of the claim's account, or an error if the
// operator may not take the action for that team.
func (s *Server) authorizeClaim(c *requestContext, action access.Action, k claim.Key) (string, error) {
	team, err := s.catalog.accountTeam(k.Account)
	if err != nil {
		return "", err
	}
	return team, access.Authorize(c.op, action, team)
}

// claimTarget identifies a claim without revealing its idempotency key.
func claimTarget(k claim.Key) string {
	return "claim " + k.Account + "/" + access.HashSecret(k.IdempotencyKey).String()[:keyHashDigits]
}
