package cli

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"github.com/integrii/flaggy"
)

// claimFlags identify a non-idempotent request.
type claimFlags struct {
	operatorFlags
	account string
	key     string
}

func (f *claimFlags) add(sub *flaggy.Subcommand) {
	f.operatorFlags.add(sub)
	sub.String(&f.account, "c", "account", "The client account.")
	sub.String(&f.key, "k", "key", "The idempotency key that the caller gave.")
}

func (f *claimFlags) check() error {
	if f.account == "" || f.key == "" {
		return ErrUsage.New("name the request with --account NAME and --key KEY")
	}
	return nil
}

func claimsCommand() *command {
	return commandGroup("claims", "Look up and settle requests that run at most once.", claimsShowCommand(), claimsResolveCommand())
}

func claimsShowCommand() *command {
	var f claimFlags
	c := newCommand("show", "Show what is known of a request.", func(ctx context.Context, con *console) error {
		if err := f.check(); err != nil {
			return err
		}
		query := url.Values{api.ParamAccount: {f.account}, api.ParamKey: {f.key}}
		var v claim.View
		printed, err := f.get(ctx, con, api.PathClaims, query, &v)
		if printed || err != nil {
			return err
		}
		return printClaim(con.out, v)
	})
	f.add(c.sub)
	return c
}

func claimsResolveCommand() *command {
	var f claimFlags
	var verdict string
	var seenVersion int64
	c := newCommand("resolve", "Settle a request whose outcome is not known.", func(ctx context.Context, con *console) error {
		if err := f.check(); err != nil {
			return err
		}
		if verdict == "" || seenVersion == 0 {
			return ErrUsage.New("say --verdict ran or --verdict not-run, and --seen VERSION as claims show printed it")
		}
		req := api.ResolveRequest{Account: f.account, Key: f.key, Verdict: claim.Verdict(verdict), Seen: seenVersion}
		var v claim.View
		printed, err := f.post(ctx, con, api.PathResolve, req, &v)
		if printed || err != nil {
			return err
		}
		return printClaim(con.out, v)
	})
	f.add(c.sub)
	c.sub.String(&verdict, "v", "verdict", "ran: the key is closed for good. not-run: the key may be used again; right only if the VM of the router that holds it is gone, since a paused one may still send the request.")
	c.sub.Int64(&seenVersion, "s", "seen", "The version of the claim that the verdict is about.")
	return c
}

func printClaim(out io.Writer, v claim.View) error {
	if v.State == "" {
		_, err := fmt.Fprintln(out, "settled")
		return err
	}
	_, err := fmt.Fprintf(out, "account %s, service %s: %s (version %d, held by router %s, status %d)\n",
		v.Account, v.Service, v.State, v.Version, v.Router, v.Status)
	return err
}
