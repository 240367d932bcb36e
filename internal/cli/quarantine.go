package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/node"
)

// envFleetKey is the environment variable that holds the fleet key.
const envFleetKey = "DAMASKROUTER_FLEET_KEY"

// quarantineCommand returns the command that shows the requests that may crash engines.
func quarantineCommand() *command {
	var f routersFlags
	var all bool
	clear := quarantineClearCommand()
	c := newCommand("quarantine", "Show the requests, and the parts of prompts, that are refused because they crash engines.", func(ctx context.Context, con *console) error {
		if clear.sub.Used {
			return clear.run(ctx, con)
		}
		return showQuarantine(ctx, con, &f, all)
	})
	c.sub.String(&f.router, "r", "router", "The metrics address of any router, HOST:PORT. Default: "+envRouter+" from the environment.")
	c.sub.Bool(&f.json, "j", "json", "Print JSON.")
	c.sub.Bool(&all, "", "all", "List also suspects that are not in quarantine.")
	c.sub.AttachSubcommand(clear.sub, 1)
	return c
}

func showQuarantine(ctx context.Context, con *console, f *routersFlags, all bool) error {
	if f.address() == "" {
		return ErrUsage.New("name a router with --router ADDRESS (or %s)", envRouter)
	}
	var suspects []node.SuspectStatus
	body, err := f.fetchJSON(ctx, node.PathQuarantine, nil, &suspects)
	if err != nil {
		return err
	}
	if f.json {
		_, err := fmt.Fprintf(con.out, "%s\n", body)
		return err
	}
	isPart := func(s node.SuspectStatus) bool { return s.Part != "" }
	requests := slices.DeleteFunc(slices.Clone(suspects), isPart)
	fmt.Fprintf(con.out, "%d requests in quarantine, %d suspects\n", countQuarantined(requests), len(requests)-countQuarantined(requests))
	if parts := slices.DeleteFunc(slices.Clone(suspects), func(s node.SuspectStatus) bool { return !isPart(s) }); len(parts) > 0 {
		fmt.Fprintf(con.out, "%d parts of prompts in quarantine, %d suspects\n", countQuarantined(parts), len(parts)-countQuarantined(parts))
	}
	if !all {
		suspects = suspects[:countQuarantined(suspects)]
	}
	if len(suspects) == 0 {
		return nil
	}
	return table(con.out, true, "\nREQUEST OR PART\tSTATE\tACCOUNT\tROUTE\tSINCE\tLAPSED\tENGINES", func(w io.Writer) error {
		for _, s := range suspects {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", s.ID(), s.State, s.Account, s.Route, ago(s.Age), s.Lapsed, strings.Join(s.Engines, " "))
		}
		return nil
	})
}

func countQuarantined(suspects []node.SuspectStatus) int {
	n := 0
	for _, s := range suspects {
		if s.State == node.StateQuarantined {
			n++
		}
	}
	return n
}

// quarantineClearCommand returns the command that ends the quarantine of a request.
func quarantineClearCommand() *command {
	var f routersFlags
	var suspect string
	c := newCommand("clear", "Discard what is held against a request or a part of prompts, so that it is sent to engines again.", func(ctx context.Context, con *console) error {
		return clearSuspect(ctx, con, &f, suspect)
	})
	c.sub.AddPositionalValue(&suspect, "SUSPECT", 1, true, "The fingerprint of the request, or the part as SERVICE/ID.")
	c.sub.String(&f.router, "r", "router", "The control address of any router, HOST:PORT. Default: "+envRouter+" from the environment.")
	return c
}

// clearPath returns the path at which a suspect is cleared. Errors: ErrUsage.
func clearPath(suspect string) (string, error) {
	if !strings.Contains(suspect, "/") {
		return node.PathQuarantine + "/" + url.PathEscape(suspect), nil
	}
	p, err := quarantine.ParsePart(suspect)
	if err != nil {
		return "", ErrUsage.Wrap(err)
	}
	return node.PathQuarantineParts + "/" + url.PathEscape(p.Service) + "/" + url.PathEscape(p.ID), nil
}

func clearSuspect(ctx context.Context, con *console, f *routersFlags, suspect string) error {
	key := os.Getenv(envFleetKey)
	if f.address() == "" || key == "" {
		return ErrUsage.New("name a router with --router ADDRESS (or %s), and set %s to the fleet key", envRouter, envFleetKey)
	}
	path, err := clearPath(suspect)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+f.address()+path, nil)
	if err != nil {
		return ErrUsage.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ErrRouter.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRouterReply))
	if err != nil {
		return ErrRouter.Wrap(err)
	}
	if resp.StatusCode != http.StatusNoContent {
		return ErrRouter.New("%s answers %s: %s", f.address(), resp.Status, body)
	}
	_, err = fmt.Fprintf(con.out, "%s is sent to engines again\n", suspect)
	return err
}
