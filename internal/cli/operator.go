package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/admin/client"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"github.com/integrii/flaggy"
)

// Environment variables that replace flags of the operators' commands.
const (
	envAdmin = "DAMASKROUTER_ADMIN"
	envToken = "DAMASKROUTER_TOKEN"
	envCA    = "DAMASKROUTER_CA"
)

// storeAttempts is how many times a call is made while the store is unavailable.
const storeAttempts = 3

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// operatorFlags are the flags that all commands for operators have.
type operatorFlags struct {
	admin string
	token string
	ca    string
	json  bool
}

func (f *operatorFlags) add(sub *flaggy.Subcommand) {
	sub.String(&f.admin, "a", "admin", "The admin address of any router, HOST:PORT or https://HOST:PORT. Default: "+envAdmin+" from the environment.")
	sub.String(&f.token, "t", "token", "The operator's token. Default: "+envToken+" from the environment, where other users can't see it.")
	sub.String(&f.ca, "", "ca", "The file with the authority of the routers' certificates, in PEM. Default: "+envCA+" from the environment, or else the system's.")
	sub.Bool(&f.json, "j", "json", "Print the router's answer as it is, in JSON.")
}

func (f *operatorFlags) client() (*client.Client, error) {
	if f.admin == "" {
		f.admin = os.Getenv(envAdmin)
	}
	if f.token == "" {
		f.token = os.Getenv(envToken)
	}
	if f.ca == "" {
		f.ca = os.Getenv(envCA)
	}
	if f.admin == "" || f.token == "" {
		return nil, ErrUsage.New("name a router with --admin ADDRESS (or %s) and your token with --token (or %s)", envAdmin, envToken)
	}
	return client.New(client.Options{Address: f.admin, Token: f.token, CA: f.ca})
}

// do makes one call and decodes the response into out. With --json it prints the
// response and returns printed as true.
func (f *operatorFlags) do(ctx context.Context, con *console, r client.Request, out any) (printed bool, err error) {
	c, err := f.client()
	if err != nil {
		return false, err
	}
	raw, err := doWithRetry(ctx, con, c, r, out)
	if err != nil {
		return false, err
	}
	if !f.json {
		return false, nil
	}
	_, err = fmt.Fprintf(con.out, "%s\n", raw)
	return true, err
}

// doWithRetry makes a call, up to storeAttempts times. It retries only if the router
// reports that the store is unavailable, that the call was not executed, and when
// to retry.
func doWithRetry(ctx context.Context, con *console, c *client.Client, r client.Request, out any) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		raw, err := c.Do(ctx, r, out)
		var f *api.Failure
		if !errors.As(err, &f) || f.Code != apierr.CodeStoreUnavailable || f.Ran != apierr.RanNo || f.RetryAfterMS == 0 {
			return raw, err
		}
		if attempt == storeAttempts {
			return raw, err
		}
		con.note("%s; asking again in %s", f.Message, f.RetryAfter())
		if !pause.For(ctx, f.RetryAfter()) {
			return raw, err
		}
	}
}

// get calls do with the method GET.
func (f *operatorFlags) get(ctx context.Context, con *console, path string, query url.Values, out any) (printed bool, err error) {
	return f.do(ctx, con, client.Request{Method: http.MethodGet, Path: path, Query: query}, out)
}

// post calls do with the method POST and a body.
func (f *operatorFlags) post(ctx context.Context, con *console, path string, body, out any) (printed bool, err error) {
	return f.do(ctx, con, client.Request{Method: http.MethodPost, Path: path, Body: body}, out)
}

// listFlags are the flags of a command that prints a list. A limit of 0 prints all
// items.
type listFlags struct {
	operatorFlags
	team  string
	site  string
	limit int
}

// listing describes a command that prints a list as a table.
type listing[T any] struct {
	path    string
	columns string
	row     func(T) string
}

// run requests and prints up to f.limit items page by page, or all items if the
// limit is 0.
func (l listing[T]) run(ctx context.Context, con *console, f *listFlags) error {
	query := make(url.Values)
	setParam(query, api.ParamTeam, f.team)
	setParam(query, api.ParamSite, f.site)
	return table(con.out, !f.json, l.columns, func(w io.Writer) error {
		for remaining := f.limit; ; {
			query.Set(api.ParamLimit, strconv.Itoa(pageSize(remaining)))
			var page api.Page[T]
			printed, err := f.get(ctx, con, l.path, query, &page)
			if err != nil {
				return err
			}
			for _, item := range page.Items {
				if !printed {
					fmt.Fprintln(w, l.row(item))
				}
			}
			remaining -= len(page.Items)
			if page.Next == "" || f.limit > 0 && remaining <= 0 {
				return nil
			}
			query.Set(api.ParamCursor, page.Next)
		}
	})
}

// pageSize returns how many items to request as the next page when remaining
// items are still to be printed; a remaining of 0 means all items.
func pageSize(remaining int) int {
	if remaining <= 0 || remaining > api.MaxLimit {
		return api.MaxLimit
	}
	return remaining
}

// table prints the tab-separated lines that fill writes as aligned columns, under
// the heading if that is set.
func table(out io.Writer, heading bool, columns string, fill func(io.Writer) error) error {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	if heading {
		fmt.Fprintln(w, columns)
	}
	if err := fill(w); err != nil {
		return err
	}
	return w.Flush()
}

func setParam(query url.Values, name, value string) {
	if value != "" {
		query.Set(name, value)
	}
}

// commandGroup returns a command that only has subcommands.
func commandGroup(name, description string, children ...*command) *command {
	c := &command{sub: flaggy.NewSubcommand(name)}
	c.sub.Description = description
	for _, child := range children {
		c.sub.AttachSubcommand(child.sub, 1)
	}
	c.run = func(ctx context.Context, con *console) error {
		for _, child := range children {
			if child.sub.Used {
				return child.run(ctx, con)
			}
		}
		return ErrUsage.New("%s needs a subcommand; see damaskrouter %s --help", name, name)
	}
	return c
}
