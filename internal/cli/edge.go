package cli

import (
	"context"
	"os"

	"damaskrouter.example/damaskrouter/internal/base/hangup"
	"damaskrouter.example/damaskrouter/internal/edge/logsink"
	"damaskrouter.example/damaskrouter/internal/edge/node"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"damaskrouter.example/damaskrouter/platform"
	"github.com/charmbracelet/log"
)

// envSettings is the environment variable that replaces the flag --settings.
const envSettings = "DAMASKROUTER_SETTINGS"

func edgeCommand() *command {
	var file string
	c := newCommand("edge", "Run one router on the platform until it is told to stop.", func(ctx context.Context, con *console) error {
		return runEdge(ctx, con, file)
	})
	c.sub.String(&file, "s", "settings", "The settings file, in YAML. The default is the value of "+envSettings+".")
	return c
}

// runEdge runs a router on the platform. The first SIGINT or SIGTERM drains it, a
// second one ends the drain.
func runEdge(ctx context.Context, con *console, file string) error {
	if file == "" {
		file = os.Getenv(envSettings)
	}
	if file == "" {
		return ErrUsage.New("edge needs --settings FILE or %s", envSettings)
	}
	sink := logsink.New(con.out)
	defer sink.Close()
	logger := newLogger(sink, log.InfoLevel)
	set, content, err := settings.Load(file)
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(set.LogLevel)
	if err != nil {
		return ErrUsage.Wrap(err)
	}
	logger.SetLevel(level)
	r := node.New(set, node.Platform{
		Codec:          platform.Codec{},
		Store:          func(address string) node.Store { return platform.NewStore(address, platform.WatchOptions()) },
		MountDirectory: platform.MountDirectory,
		MountReady:     platform.MountReady,
	}, logger)
	if err := r.Start(); err != nil {
		return err
	}
	defer r.Close()
	go r.Watch(ctx, file, content, hangup.Signals())
	drainOnSignal(ctx, r.Leave)
	return nil
}
