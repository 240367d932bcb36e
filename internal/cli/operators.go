package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/admin/client"
)

func operatorsCommand() *command {
	return commandGroup("operators", "Issue, list and revoke operators' tokens.",
		operatorsListCommand(), operatorsAddCommand(), operatorsRevokeCommand())
}

func operatorsListCommand() *command {
	var f listFlags
	list := listing[api.Operator]{
		path:    api.PathOperators,
		columns: "OPERATOR\tROLE\tTEAMS\tCREATED\tBY\tSTATE",
		row: func(o api.Operator) string {
			return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", o.Name, o.Role, teamsText(o.Teams),
				o.Created.Format(timeFormat), o.CreatedBy, operatorState(o))
		},
	}
	c := newCommand("list", "List the operators whose tokens you may issue.", func(ctx context.Context, con *console) error {
		return list.run(ctx, con, &f)
	})
	f.add(c.sub)
	return c
}

func teamsText(teams []string) string {
	if len(teams) == 0 {
		return "all"
	}
	return strings.Join(teams, ",")
}

func operatorState(o api.Operator) string {
	switch {
	case !o.Revoked.IsZero():
		return "revoked by " + o.RevokedBy
	case !o.Expires.IsZero():
		return "until " + o.Expires.Format(timeFormat)
	}
	return "valid"
}

func operatorsAddCommand() *command {
	var f operatorFlags
	var name, role string
	var teams []string
	var expires time.Duration
	c := newCommand("add", "Issue a token. It is printed once and kept nowhere; if it is lost, revoke it and issue another.", func(ctx context.Context, con *console) error {
		if name == "" || role == "" {
			return ErrUsage.New("operators add needs --name NAME and --role ROLE")
		}
		req := api.AddOperatorRequest{Name: name, Role: access.Role(role), Teams: teams, ExpiresIn: int64(expires.Seconds())}
		var reply api.AddOperatorReply
		printed, err := f.post(ctx, con, api.PathOperators, req, &reply)
		if printed || err != nil {
			return err
		}
		_, err = fmt.Fprintln(con.out, reply.Token)
		return err
	})
	f.add(c.sub)
	c.sub.String(&name, "n", "name", "The operator's name, as the audit trail will show it.")
	c.sub.String(&role, "r", "role", "viewer, editor, admin or breakglass; at most your own.")
	c.sub.StringSlice(&teams, "", "team", "A team in scope; may be given several times. Default: the whole fleet.")
	c.sub.Duration(&expires, "e", "expires", "How long the token lasts, such as 12h. Default: for good. A breakglass token must expire.")
	return c
}

func operatorsRevokeCommand() *command {
	var f operatorFlags
	var name string
	c := newCommand("revoke", "Make an operator's token invalid.", func(ctx context.Context, con *console) error {
		if name == "" {
			return ErrUsage.New("operators revoke needs --name NAME")
		}
		req := client.Request{Method: http.MethodDelete, Path: api.PathOperators + "/" + url.PathEscape(name)}
		printed, err := f.do(ctx, con, req, nil)
		if printed || err != nil {
			return err
		}
		_, err = fmt.Fprintln(con.out, "revoked", name)
		return err
	})
	f.add(c.sub)
	c.sub.String(&name, "n", "name", "The operator's name.")
	return c
}
