package cli

import (
	"cmp"
	"context"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

func accountCommand() *command {
	limit := accountLimitCommand()
	c := newCommand("account", "Change one client account.", func(ctx context.Context, con *console) error {
		if limit.sub.Used {
			return limit.run(ctx, con)
		}
		return ErrUsage.New("say what to change: account limit NAME")
	})
	c.sub.AttachSubcommand(limit.sub, 1)
	return c
}

// accountLimitCommand returns the command that bounds an account that is in trouble.
func accountLimitCommand() *command {
	var f changeFlags
	var name, rate, concurrency string
	c := newCommand("limit", "Bound one client account, as the next version of the configuration; \"config rollback\" takes it back.", func(ctx context.Context, con *console) error {
		bound, err := parseBound(rate, concurrency)
		if err != nil {
			return err
		}
		return limitAccount(ctx, con, &f, name, bound)
	})
	f.add(c.sub)
	c.sub.AddPositionalValue(&name, "NAME", 1, true, "The account.")
	c.sub.String(&rate, "", "per-second", "How many requests a second the fleet accepts from it; 0 for no limit.")
	c.sub.String(&concurrency, "", "concurrency", "How many unfinished requests it may have; 0 for no limit.")
	return c
}

// parseBound parses the limits; an empty text leaves a limit as it is. Errors: ErrUsage.
func parseBound(rate, concurrency string) (config.Bound, error) {
	var out config.Bound
	if rate != "" {
		n, err := strconv.ParseFloat(rate, 64)
		if err != nil || !(n >= 0) {
			return out, ErrUsage.New("--per-second %q is no rate", rate)
		}
		out.RequestsPerSecond = &n
	}
	if concurrency != "" {
		n, err := strconv.Atoi(concurrency)
		if err != nil || n < 0 {
			return out, ErrUsage.New("--concurrency %q is no number of requests", concurrency)
		}
		out.Concurrency = &n
	}
	if rate == "" && concurrency == "" {
		return out, ErrUsage.New("give --per-second, --concurrency, or both")
	}
	return out, nil
}

// limitAccount accepts a version that differs from the one that it is made from in the bound only.
func limitAccount(ctx context.Context, con *console, f *changeFlags, name string, bound config.Bound) error {
	f.comment = cmp.Or(f.comment, "limits of account "+name)
	if err := f.prepare(ctx, con, ""); err != nil {
		return err
	}
	flags := f.operatorFlags
	flags.json = false
	var current api.VersionFiles
	if _, err := flags.get(ctx, con, api.PathConfig+"/"+strconv.FormatUint(f.from, 10), nil, &current); err != nil {
		return err
	}
	base, err := config.WithBound([]byte(current.Files.Base), name, bound)
	if err != nil {
		return err
	}
	current.Files.Base = string(base)
	v, err := f.submit(ctx, con, api.PathConfig, api.ApplyRequest{Files: current.Files, Comment: f.comment, Withdraw: f.withdraw})
	if err != nil {
		return err
	}
	con.note("overlays of sites that set limits of the account go on to apply; to take this back: config rollback --to %d", f.from)
	return f.awaitRollout(ctx, con, v)
}
