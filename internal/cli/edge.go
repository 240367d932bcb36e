package cli

import (
	"context"
	"os"

	"damaskrouter.example/damaskrouter/internal/edge/logsink"
	"damaskrouter.example/damaskrouter/internal/edge/node"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
	"damaskrouter.example/damaskrouter/platform"
	"github.com/charmbracelet/log"
)

// settingsVariable names the settings file where the command line doesn't.
const settingsVariable = "DAMASKROUTER_SETTINGS"

func edgeCommand() *command {
	var file string
	c := newCommand("edge", "Run one router on the platform until it is told to stop.", func(ctx context.Context, con *console) error {
		return runEdge(ctx, con, file)
	})
	c.sub.String(&file, "s", "settings", "The settings file, in YAML. The default is the value of "+settingsVariable+".")
	return c
}

// runEdge runs a router on the platform. The first signal makes it leave, a
// second one ends it.
func runEdge(ctx context.Context, con *console, file string) error {
	if file == "" {
		file = os.Getenv(settingsVariable)
	}
	if file == "" {
		return ErrUsage.New("edge needs --settings FILE or %s", settingsVariable)
	}
	sink := logsink.New(con.out)
	defer sink.Close()
	logger := newLogger(sink, log.InfoLevel)
	// A SIGHUP that nobody catches ends the process, also while it starts.
	defer onHangup(func() { reloadEdge(logger, file) })()
	set, err := settings.Load(file)
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
	drainOnSignal(ctx, r.Leave)
	return nil
}

// reloadEdge checks a settings file that was changed. Addresses and bounds hold
// from the start of the process to its end; a change of them is said to be so,
// and nothing is interrupted.
func reloadEdge(logger *log.Logger, file string) {
	if _, err := settings.Load(file); err != nil {
		logger.Warn("settings changed and are not usable; those of the start stay in force", "cause", err)
		return
	}
	logger.Info("settings read again; those of the start stay in force until a restart")
}
