package cli

import (
	"context"
	"fmt"

	"damaskrouter.example/damaskrouter/internal/router"
	"damaskrouter.example/damaskrouter/internal/settings"
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

// serve runs a router. The first signal drains it, a second one ends it.
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
	defer onHangup(func() { reload(con, r) })()
	<-ctx.Done()
	again, stop := secondSignal()
	defer stop()
	r.Drain(again)
	return nil
}

func reload(con *console, r *router.Router) {
	if err := r.ReloadSecrets(); err != nil {
		con.log.Warn("keys or certificates not reloaded; the old ones stay in use", "cause", err)
		return
	}
	con.log.Info("keys and certificates are up to date")
}

func checkCommand() *command {
	var file string
	c := newCommand("check", "Check a settings file and say what is wrong with it.", func(_ context.Context, con *console) error {
		if file == "" {
			return ErrUsage.New("check needs --settings FILE")
		}
		set, err := settings.Load(file)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(con.out, "%s: settings of %s are in order\n", file, set.Name)
		return err
	})
	c.sub.String(&file, "s", "settings", "The settings file to check.")
	return c
}
