package cli

import (
	"context"
	"fmt"

	edgesettings "damaskrouter.example/damaskrouter/internal/edge/settings"
	"damaskrouter.example/damaskrouter/internal/serve/router"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"github.com/charmbracelet/log"
)

func serveCommand() *command {
	var file string
	c := newCommand("serve", "Run one router until it is told to stop.", func(ctx context.Context, con *console) error {
		return serve(ctx, con, file)
	})
	c.sub.String(&file, "s", "settings", "The settings file of this process, in YAML.")
	return c
}

// serve runs a router. The first SIGINT or SIGTERM drains it, a second one ends the
// drain.
func serve(ctx context.Context, con *console, file string) error {
	if file == "" {
		return ErrUsage.New("serve needs --settings FILE")
	}
	set, err := settings.Load(file)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		return ErrUsage.Wrap(err)
	}
	con.log.SetLevel(level)
	r, err := router.New(set, con.log, router.Options{})
	if err != nil {
		return err
	}
	if err := r.Start(); err != nil {
		return err
	}
	defer r.Close()
	defer onSIGHUP(func() { reloadSecrets(con, r) })()
	drainOnSignal(ctx, r.Drain)
	return nil
}

func reloadSecrets(con *console, r *router.Router) {
	if err := r.ReloadSecrets(); err != nil {
		con.log.Warn("keys or certificates not reloaded; the old ones stay in use", "cause", err)
		return
	}
	con.log.Info("keys and certificates are up to date")
}

func checkCommand() *command {
	var file string
	var edge bool
	c := newCommand("check", "Check a settings file and say what is wrong with it.", func(_ context.Context, con *console) error {
		if file == "" {
			return ErrUsage.New("check needs --settings FILE")
		}
		name, err := checkSettings(file, edge)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(con.out, "%s: settings of %s are in order\n", file, name)
		return err
	})
	c.sub.Bool(&edge, "e", "edge", "The file is for the command edge.")
	c.sub.String(&file, "s", "settings", "The settings file to check.")
	return c
}

// checkSettings loads a settings file and returns the name of the router that it is
// for.
func checkSettings(file string, edge bool) (string, error) {
	if edge {
		set, _, err := edgesettings.Load(file)
		if err != nil {
			return "", err
		}
		return set.Name, nil
	}
	set, err := settings.Load(file)
	if err != nil {
		return "", err
	}
	return set.Name, nil
}
