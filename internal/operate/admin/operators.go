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

// maxTokenLife bounds the life of a token that expires, in seconds.
const maxTokenLife = 10 * 365 * 24 * 3600

// operatorName keeps names fit for keys, log lines and terminals.
var operatorName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@-]{0,63}$`)

// listOperators shows those operators whom the caller could have made.
func (s *Server) listOperators(c *call) error {
	if err := anywhere(c.op, access.ActionIssueToken); err != nil {
		return err
	}
	if err := checkParams(c, api.ParamLimit, api.ParamCursor); err != nil {
		return err
	}
	limit, err := limitOf(c)
	if err != nil {
		return err
	}
	rows, err := s.directory.list(c.ctx())
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

// addOperator issues a token. The store keeps only its hash, so that a reply
// that is lost on its way to the caller loses the token: it is revoked and
// another one issued.
func (s *Server) addOperator(c *call) error {
	var req api.AddOperatorRequest
	if err := decode(c, maxBody, &req); err != nil {
		return err
	}
	row, token, err := s.newOperator(c, req)
	if err != nil {
		return err
	}
	before, err := s.replaces(c, row.Name)
	if err != nil {
		return err
	}
	if err := s.writeOperator(c, audit.ActionOperatorAdd, row, before); err != nil {
		return err
	}
	return c.JSON(http.StatusCreated, api.AddOperatorReply{Operator: row.view(), Token: token})
}

// newOperator checks a request for a token and makes the token.
func (s *Server) newOperator(c *call, req api.AddOperatorRequest) (*operatorRow, string, error) {
	if err := checkOperator(req); err != nil {
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
	if err := s.knownTeams(req.Teams); err != nil {
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

func checkOperator(req api.AddOperatorRequest) error {
	switch {
	case !operatorName.MatchString(req.Name):
		return httperr.BadRequest("a name has up to 64 letters, digits and . _ @ -, and begins with a letter or digit")
	case req.Name == BootstrapOperator:
		return httperr.BadRequest("the name " + BootstrapOperator + " is that of the token in the settings")
	case req.ExpiresIn < 0 || req.ExpiresIn > maxTokenLife:
		return httperr.BadRequest("expires_in_seconds is from 0 to " + strconv.Itoa(maxTokenLife))
	}
	return nil
}

// knownTeams refuses a scope that names a team which does not exist. The token
// would be good for nothing now, and for something unforeseen once somebody
// creates a team of that name.
func (s *Server) knownTeams(teams []string) error {
	if len(teams) == 0 {
		return nil
	}
	parsed, err := s.catalog.current()
	if err != nil {
		return err
	}
	for _, name := range teams {
		known := false
		for _, t := range parsed.Document.Teams {
			known = known || t.Name == name
		}
		if !known {
			return httperr.BadRequest("no team is called " + strconv.Quote(name))
		}
	}
	return nil
}

// replaces returns the version of the revoked row that a new operator takes
// the place of, or 0. An operator whose token is valid is a conflict.
func (s *Server) replaces(c *call, name string) (int64, error) {
	old, err := s.directory.get(c.ctx(), name)
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

// revokeOperator makes a token invalid: here at once, at other routers within
// freshFor while the store can be read.
func (s *Server) revokeOperator(c *call) error {
	if err := anywhere(c.op, access.ActionIssueToken); err != nil {
		return err
	}
	old, err := s.directory.get(c.ctx(), c.Param("name"))
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
func (s *Server) writeOperator(c *call, action audit.Action, row *operatorRow, before int64) error {
	defer s.directory.forget()
	value, err := json.Marshal(row)
	if err != nil {
		return ErrRow.Wrap(err)
	}
	entry := audit.Entry{
		ID:          uuid.NewString(),
		Actor:       c.op.Name,
		Action:      action,
		Outcome:     audit.OutcomeDone,
		Team:        soleTeam(row.Teams),
		Target:      "operator " + row.Name,
		FromVersion: before,
		Detail:      string(row.Role) + " of " + scopeText(row.Teams),
	}
	write := platform.Write{Table: TableOperators, Key: row.Name, Value: value, IfVersion: before}
	_, err = s.trail.Record(c.ctx(), entry, write)
	return err
}

// soleTeam is the team that owns an operator of one team; others are the
// fleet's.
func soleTeam(teams []string) string {
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
