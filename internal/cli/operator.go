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

// Environment variables that stand in for operators' flags.
const (
	envAdmin = "DAMASKROUTER_ADMIN"
	envToken = "DAMASKROUTER_TOKEN"
	envCA    = "DAMASKROUTER_CA"
)

// storeAttempts is how often a call is made that the store refuses.
const storeAttempts = 3

// columnGap is the space between the columns of a table.
const columnGap = 2

// operatorFlags are the flags that every operator's command has.
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

// do makes one call. With --json it prints the answer and returns printed.
func (f *operatorFlags) do(ctx context.Context, con *console, r client.Request, out any) (printed bool, err error) {
	c, err := f.client()
	if err != nil {
		return false, err
	}
	raw, err := patiently(ctx, con, c, r, out)
	if err != nil {
		return false, err
	}
	if !f.json {
		return false, nil
	}
	_, err = fmt.Fprintf(con.out, "%s\n", raw)
	return true, err
}

// patiently makes a call, and makes it again while the router says that the
// store refused it, that nothing was done, and when to come back.
func patiently(ctx context.Context, con *console, c *client.Client, r client.Request, out any) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		raw, err := c.Do(ctx, r, out)
		var f *api.Failure
		if !errors.As(err, &f) || f.Code != apierr.CodeStoreDown || f.Ran != apierr.RanNo || f.RetryAfterMS == 0 {
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

// get is do for a reading call.
func (f *operatorFlags) get(ctx context.Context, con *console, path string, query url.Values, out any) (printed bool, err error) {
	return f.do(ctx, con, client.Request{Method: http.MethodGet, Path: path, Query: query}, out)
}

// post is do for a call with a body.
func (f *operatorFlags) post(ctx context.Context, con *console, path string, body, out any) (printed bool, err error) {
	return f.do(ctx, con, client.Request{Method: http.MethodPost, Path: path, Body: body}, out)
}

// listFlags are the flags of a command that lists things.
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

// run prints up to f.limit items, page by page; all of them where that is 0.
func (l listing[T]) run(ctx context.Context, con *console, f *listFlags) error {
	query := make(url.Values)
	setParam(query, api.ParamTeam, f.team)
	setParam(query, api.ParamSite, f.site)
	return table(con.out, !f.json, l.columns, func(w io.Writer) error {
		for left := f.limit; ; {
			query.Set(api.ParamLimit, strconv.Itoa(pageSize(left)))
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
			left -= len(page.Items)
			if page.Next == "" || f.limit > 0 && left <= 0 {
				return nil
			}
			query.Set(api.ParamCursor, page.Next)
		}
	})
}

// pageSize is how many items to ask for when left are wanted; 0 wants all.
func pageSize(left int) int {
	if left <= 0 || left > api.MaxLimit {
		return api.MaxLimit
	}
	return left
}

// table lets fill print lines with tabs as columns, under a heading.
func table(out io.Writer, heading bool, columns string, fill func(io.Writer) error) error {
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
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

// group is a command that only has subcommands.
func group(name, description string, children ...*command) *command {
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
