package admin

import (
	"encoding/json"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/audit"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/google/uuid"
)

// maxTokenLifetime is the maximum lifetime of a token that expires, in seconds.
const maxTokenLifetime = 10 * 365 * 24 * 3600

// operatorNamePattern allows names that are safe in keys, log lines and terminals.
var operatorNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// listOperators returns a page of the operators that the requesting operator could
// have added.
func (s *Server) listOperators(c *requestContext) error {
	if err := authorizeAnyTeam(c.op, access.ActionIssueToken); err != nil {
		return err
	}
	if err := checkParams(c, api.ParamLimit, api.ParamCursor); err != nil {
		return err
	}
	limit, err := pageLimit(c)
	if err != nil {
		return err
	}
	rows, err := s.operators.list(c.ctx())
	if err != nil {
		return err
	}
	page := api.Page[api.Operator]{Items: []api.Operator{}}
	for i := range rows {
		op := &rows[i].operatorRow
		if op.Name <= c.QueryParam(api.ParamCursor) || access.AuthorizeGrant(c.op, &op.Operator) != nil {
			continue
		}
		if len(page.Items) == limit {
			page.Next = page.Items[limit-1].Name
			break
		}
		page.Items = append(page.Items, op.view())
	}
	return c.JSON(http.StatusOK, page)
}

func (o *operatorRow) view() api.Operator {
	return api.Operator{
		Name: o.Name, Role: o.Role, Teams: o.Teams, Created: o.Created, CreatedBy: o.CreatedBy,
		Expires: o.Expires, Revoked: o.Revoked, RevokedBy: o.RevokedBy,
	}
}

// addOperator issues a token. The store has only its hash, so if the response is
// lost, the token is lost too and has to be revoked and issued again.
func (s *Server) addOperator(c *requestContext) error {
	var req api.AddOperatorRequest
	if err := decodeBody(c, maxBody, &req); err != nil {
		return err
	}
	row, token, err := s.newOperator(c, req)
	if err != nil {
		return err
	}
	oldVersion, err := s.revokedVersion(c, row.Name)
	if err != nil {
		return err
	}
	if err := s.writeOperator(c, audit.ActionOperatorAdd, row, oldVersion); err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, api.AddOperatorReply{Operator: row.view(), Token: token})
}

// newOperator validates a request for a token and generates the token.
func (s *Server) newOperator(c *requestContext, req api.AddOperatorRequest) (*operatorRow, string, error) {
	if err := validateOperatorRequest(req); err != nil {
		return nil, "", err
	}
	now := s.Now().UTC()
	row := &operatorRow{
		Operator:  access.Operator{Name: req.Name, Role: req.Role, Teams: req.Teams},
		Created:   now,
		CreatedBy: c.op.Name,
	}
	if req.ExpiresIn > 0 {
		row.Expires = now.Add(time.Duration(req.ExpiresIn) * time.Second)
	}
	if err := access.AuthorizeGrant(c.op, &row.Operator); err != nil {
		return nil, "", err
	}
	if err := s.checkTeamsExist(req.Teams); err != nil {
		return nil, "", err
	}
	token, err := access.NewSecret(s.Rand, access.PrefixOperator)
	if err != nil {
		return nil, "", err
	}
	row.TokenHash = access.HashSecret(token).String()
	_, err = access.NewOperators([]access.Operator{row.Operator})
	return row, token, err
}

func validateOperatorRequest(req api.AddOperatorRequest) error {
	switch {
	case !operatorNamePattern.MatchString(req.Name):
		return httperr.BadRequest("a name has up to 64 letters, digits and . _ @ -, and begins with a letter or digit")
	case req.Name == BootstrapOperator:
		return httperr.BadRequest("the name " + BootstrapOperator + " is that of the token in the settings")
	case req.ExpiresIn < 0 || req.ExpiresIn > maxTokenLifetime:
		return httperr.BadRequest("expires_in_seconds is from 0 to " + strconv.Itoa(maxTokenLifetime))
	}
	return nil
}

// checkTeamsExist rejects a scope with an unknown team. Such a token would have no
// permissions now and would gain unintended ones if a team of that name were
// created later.
func (s *Server) checkTeamsExist(teams []string) error {
	if len(teams) == 0 {
		return nil
	}
	parsed, err := s.catalog.current()
	if err != nil {
		return err
	}
	for _, name := range teams {
		found := false
		for _, t := range parsed.Document.Teams {
			found = found || t.Name == name
		}
		if !found {
			return httperr.BadRequest("no team is called " + strconv.Quote(name))
		}
	}
	return nil
}

// revokedVersion returns the version of the revoked row that a new operator of
// that name replaces, or 0 if there is no row. An operator that is not revoked is
// a conflict.
func (s *Server) revokedVersion(c *requestContext, name string) (int64, error) {
	old, err := s.operators.get(c.ctx(), name)
	if platform.ErrNotFound.Has(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if old.Revoked.IsZero() {
		return 0, conflict("operator " + name + " has a token; revoke it first")
	}
	return old.version, nil
}

// revokeOperator revokes a token. It becomes invalid at this router at once and at
// other routers within refreshInterval if they can read the store.
func (s *Server) revokeOperator(c *requestContext) error {
	if err := authorizeAnyTeam(c.op, access.ActionIssueToken); err != nil {
		return err
	}
	old, err := s.operators.get(c.ctx(), c.Param("name"))
	if err != nil {
		return err
	}
	if err := access.AuthorizeGrant(c.op, &old.Operator); err != nil {
		return err
	}
	if !old.Revoked.IsZero() {
		return c.JSON(http.StatusOK, old.view())
	}
	row := old.operatorRow
	row.Revoked = s.Now().UTC()
	row.RevokedBy = c.op.Name
	if err := s.writeOperator(c, audit.ActionOperatorRevoke, &row, old.version); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, row.view())
}

// writeOperator writes the row and its audit entry in one transaction.
func (s *Server) writeOperator(c *requestContext, action audit.Action, row *operatorRow, oldVersion int64) error {
	defer s.operators.invalidate()
	value, err := json.Marshal(row)
	if err != nil {
		return ErrRow.Wrap(err)
	}
	entry := audit.Entry{
		ID:          uuid.NewString(),
		Actor:       c.op.Name,
		Action:      action,
		Outcome:     audit.OutcomeDone,
		Team:        owningTeam(row.Teams),
		Target:      "operator " + row.Name,
		FromVersion: oldVersion,
		Detail:      string(row.Role) + " of " + scopeText(row.Teams),
	}
	write := platform.Write{Table: TableOperators, Key: row.Name, Value: value, IfVersion: oldVersion}
	_, err = s.trail.Record(c.ctx(), entry, write)
	return err
}

// owningTeam returns the team that owns an operator: the only team in its scope,
// or access.FleetWide.
func owningTeam(teams []string) string {
	if len(teams) == 1 {
		return teams[0]
	}
	return access.FleetWide
}

func scopeText(teams []string) string {
	if len(teams) == 0 {
		return "the fleet"
	}
	return strings.Join(slices.Sorted(slices.Values(teams)), ", ")
}
