// Package cli implements the command line of damaskrouter.
package cli

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"damaskrouter.example/damaskrouter/internal/base/version"
	"github.com/charmbracelet/log"
	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

// ErrUsage means that the command line is invalid.
var ErrUsage = errs.Class("usage")

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is a subcommand with its flags.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context, *console) error
}

// console holds the outputs of a command.
type console struct {
	out io.Writer
	err io.Writer
	log *log.Logger
}

// note prints a line for the user that is not part of the command's output.
func (c *console) note(format string, args ...any) {
	fmt.Fprintf(c.err, format+"\n", args...)
}

// Main runs the command that args name and returns the exit code. SIGINT and
// SIGTERM end the command's context.
func Main(args []string, stdout, stderr io.Writer) int {
	p := flaggy.NewParser("damaskrouter")
	p.Description = "A router fleet for returning chats with language models."
	p.Version = version.String()
	p.AdditionalHelpAppend = "\nStart with: damaskrouter demo"
	p.ShowCompletion = false
	commands := []*command{
		serveCommand(), edgeCommand(), chatCommand(), callCommand(), locateCommand(),
		configCommand(), accountsCommand(), accountCommand(), sitesCommand(), servicesCommand(), poolsCommand(),
		fleetCommand(), sharesCommand(), quarantineCommand(), claimsCommand(), auditCommand(), operatorsCommand(), keysCommand(),
		standinCommand(), checkCommand(), versionCommand(), benchCommand(), worthCommand(), demoCommand(),
	}
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	con := &console{out: stdout, err: stderr, log: newLogger(stderr, log.InfoLevel)}
	for _, c := range commands {
		if c.sub.Used {
			return exitCode(con, stderr, c.run(ctx, con))
		}
	}
	p.ShowHelp()
	return exitUsage
}

func exitCode(con *console, stderr io.Writer, err error) int {
	switch {
	case err == nil:
		return exitOK
	case ErrUsage.Has(err):
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	fmt.Fprintln(stderr, err)
	return exitFailed
}

// newLogger returns a logger that writes JSON lines to w.
func newLogger(w io.Writer, level log.Level) *log.Logger {
	l := log.NewWithOptions(w, log.Options{ReportTimestamp: true, TimeFormat: timeFormat, Level: level})
	l.SetFormatter(log.JSONFormatter)
	return l
}

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

func newCommand(name, description string, run func(context.Context, *console) error) *command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return &command{sub: sub, run: run}
}

func versionCommand() *command {
	return newCommand("version", "Print the version.", func(_ context.Context, c *console) error {
		_, err := fmt.Fprintln(c.out, version.String())
		return err
	})
}
