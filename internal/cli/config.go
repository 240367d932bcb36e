package cli

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

// ErrConfigRejected means that a configuration has problems, which have been
// printed.
var ErrConfigRejected = errs.Class("configuration refused")

// versionFile is written next to the base file by "config show --out" and contains
// the number of the version that the files are a copy of.
const versionFile = ".damaskrouter-version"

const (
	dirMode  = 0o755
	fileMode = 0o644
)

// bundleFlags hold the paths of a configuration's files.
type bundleFlags struct {
	base     string
	overlays string
}

func (f *bundleFlags) add(sub *flaggy.Subcommand) {
	sub.String(&f.base, "b", "base", "The base file, in YAML.")
	sub.String(&f.overlays, "o", "overlays", "The folder with one overlay for each site, SITE.yaml.")
}

func (f *bundleFlags) read() (config.Bundle, error) {
	if f.base == "" {
		return config.Bundle{}, ErrUsage.New("name the base file with --base FILE, and the sites' folder with --overlays DIR")
	}
	return config.ReadBundle(f.base, f.overlays)
}

// files reads the files and returns them in the form of the admin API.
func (f *bundleFlags) files() (api.Files, error) {
	b, err := f.read()
	if err != nil {
		return api.Files{}, err
	}
	return api.NewFiles(b)
}

// withLocalPath replaces the name of a bundle's file by the path of the operator's
// file.
func (f *bundleFlags) withLocalPath(p config.Problem) config.Problem {
	if p.File == config.BaseFile {
		p.File = f.base
		return p
	}
	if name, ok := strings.CutPrefix(p.File, config.SitesDir+"/"); ok {
		p.File = filepath.Join(f.overlays, name)
	}
	return p
}

func configCommand() *command {
	return commandGroup("config", "Check, compare, apply and look up configurations of the fleet.",
		configCheckCommand(), configDiffCommand(), configApplyCommand(), configShowCommand(),
		configHistoryCommand(), configStatusCommand(), configRollbackCommand())
}

func configCheckCommand() *command {
	var f operatorFlags
	var files bundleFlags
	c := newCommand("check", "Say what is wrong with the files. With --admin also what the step from the version in force would break; without it no router is asked.",
		func(ctx context.Context, con *console) error { return configCheck(ctx, con, &f, &files) })
	f.add(c.sub)
	files.add(c.sub)
	return c
}

func configCheck(ctx context.Context, con *console, f *operatorFlags, files *bundleFlags) error {
	b, err := files.read()
	if err != nil {
		return err
	}
	if f.admin == "" && os.Getenv(envAdmin) == "" {
		return printProblems(con, files, config.Validate(b), nil, "the files are in order; no router was asked")
	}
	contents, err := api.NewFiles(b)
	if err != nil {
		return err
	}
	var reply api.CheckReply
	printed, err := f.post(ctx, con, api.PathCheck, api.CheckRequest{Files: contents}, &reply)
	if err != nil {
		return err
	}
	problems := append(reply.Problems, reply.ChangeProblems...)
	if printed {
		return checkProblemCount(len(problems) + len(reply.Forbidden))
	}
	return printProblems(con, files, problems, reply.Forbidden,
		fmt.Sprintf("the files are in order as a change of version %d", reply.Version))
}

// printProblems prints each problem with its file:line, a format that editors
// recognize. If there are none, it prints okMessage.
func printProblems(con *console, files *bundleFlags, problems []config.Problem, forbidden []string, okMessage string) error {
	for _, p := range problems {
		fmt.Fprintln(con.out, files.withLocalPath(p))
	}
	for _, path := range forbidden {
		fmt.Fprintln(con.out, "not yours to change:", path)
	}
	if err := checkProblemCount(len(problems) + len(forbidden)); err != nil {
		return err
	}
	_, err := fmt.Fprintln(con.out, okMessage)
	return err
}

func checkProblemCount(problems int) error {
	if problems == 0 {
		return nil
	}
	return ErrConfigRejected.New("%d faults", problems)
}

func configDiffCommand() *command {
	var f operatorFlags
	var files bundleFlags
	var from, to uint64
	c := newCommand("diff", "Show what the files change in a version, or what changed between two versions.", func(ctx context.Context, con *console) error {
		req := api.DiffRequest{From: from, To: to}
		if files.base != "" {
			contents, err := files.files()
			if err != nil {
				return err
			}
			req.Files = &contents
		}
		return configDiff(ctx, con, &f, req)
	})
	f.add(c.sub)
	files.add(c.sub)
	c.sub.UInt64(&from, "f", "from", "The earlier version. Default: the one in force.")
	c.sub.UInt64(&to, "", "to", "The later version, where no files are given. Default: the one in force.")
	return c
}

func configDiff(ctx context.Context, con *console, f *operatorFlags, req api.DiffRequest) error {
	var reply api.DiffReply
	printed, err := f.post(ctx, con, api.PathDiff, req, &reply)
	if printed || err != nil {
		return err
	}
	for _, line := range reply.Lines {
		fmt.Fprintln(con.out, line)
	}
	if len(reply.Lines) == 0 {
		fmt.Fprintln(con.out, "no difference in meaning")
	}
	return nil
}

func configShowCommand() *command {
	var f operatorFlags
	var version uint64
	var out string
	c := newCommand("show", "Print a version and its files, or write them to a folder to work on.", func(ctx context.Context, con *console) error {
		return configShow(ctx, con, &f, version, out)
	})
	f.add(c.sub)
	c.sub.UInt64(&version, "n", "number", "The version. Default: the one in force.")
	c.sub.String(&out, "O", "out", "The folder to write base.yaml and sites/ to. Files there are replaced.")
	return c
}

func configShow(ctx context.Context, con *console, f *operatorFlags, version uint64, out string) error {
	if version == 0 {
		head, err := f.head(ctx, con)
		if err != nil {
			return err
		}
		version = head.Version
	}
	var v api.VersionFiles
	printed, err := f.get(ctx, con, api.PathConfig+"/"+strconv.FormatUint(version, 10), nil, &v)
	if err != nil {
		return err
	}
	if out != "" {
		return writeBundle(con, out, v)
	}
	if printed {
		return nil
	}
	fmt.Fprintf(con.out, "# version %d, %s, accepted %s from %s: %s\n", v.Number, v.Hash, v.Time.Format(timeFormat), v.Author, v.Comment)
	for _, name := range sortedNames(v.Files) {
		fmt.Fprintf(con.out, "# --- %s\n%s", name, v.Files.Bundle().Files()[name])
	}
	return nil
}

// head returns the active version.
func (f *operatorFlags) head(ctx context.Context, con *console) (config.Head, error) {
	flags := *f
	flags.json = false
	var head config.Head
	_, err := flags.get(ctx, con, api.PathConfig, nil, &head)
	return head, err
}

func writeBundle(con *console, dir string, v api.VersionFiles) error {
	if err := os.MkdirAll(filepath.Join(dir, config.SitesDir), dirMode); err != nil {
		return err
	}
	contents := v.Files.Bundle().Files()
	for _, name := range sortedNames(v.Files) {
		file := filepath.Join(dir, filepath.FromSlash(name))
		if err := os.WriteFile(file, contents[name], fileMode); err != nil {
			return err
		}
	}
	if err := writeVersion(filepath.Join(dir, versionFile), v.Number); err != nil {
		return err
	}
	_, err := fmt.Fprintf(con.out, "version %d is in %s\n", v.Number, dir)
	return err
}

func writeVersion(file string, version uint64) error {
	return os.WriteFile(file, []byte(strconv.FormatUint(version, 10)+"\n"), fileMode)
}

func configHistoryCommand() *command {
	f := listFlags{limit: api.DefaultLimit}
	c := newCommand("history", "List the accepted versions, newest first.", func(ctx context.Context, con *console) error {
		return listing[config.Version]{
			path:    api.PathHistory,
			columns: "VERSION\tACCEPTED\tAUTHOR\tCHANGE\tCOMMENT",
			row: func(v config.Version) string {
				return fmt.Sprintf("%d\t%s\t%s\t%s\t%s", v.Number, v.Time.Format(timeFormat), v.Author, v.ChangeID, historyComment(v))
			},
		}.run(ctx, con, &f)
	})
	f.add(c.sub)
	c.sub.Int(&f.limit, "n", "limit", "How many versions to list; 0 for all.")
	return c
}

func historyComment(v config.Version) string {
	if v.RollbackTo == 0 {
		return v.Comment
	}
	return fmt.Sprintf("(content of version %d) %s", v.RollbackTo, v.Comment)
}

func configStatusCommand() *command {
	var f operatorFlags
	var version uint64
	c := newCommand("status", "Show which routers have a version in force.", func(ctx context.Context, con *console) error {
		var st api.Status
		printed, err := f.get(ctx, con, api.PathStatus, versionParam(version), &st)
		if printed || err != nil {
			return err
		}
		return printStatus(con.out, st)
	})
	f.add(c.sub)
	c.sub.UInt64(&version, "n", "number", "The version to ask about. Default: the newest.")
	return c
}

func versionParam(version uint64) url.Values {
	if version == 0 {
		return nil
	}
	return url.Values{api.ParamVersion: {strconv.FormatUint(version, 10)}}
}

func printStatus(out io.Writer, st api.Status) error {
	if !st.HeadKnown {
		fmt.Fprintln(out, "the store can't be asked now; the newest version that a router has counts")
	}
	err := table(out, true, "ROUTER\tSITE\tSTATE\tVERSION", func(w io.Writer) error {
		for _, r := range st.Routers {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", r.Name, r.Site, r.State, r.ConfigVersion)
		}
		return nil
	})
	if err != nil {
		return err
	}
	summary := "all routers in service have it"
	if !st.Complete {
		summary = "not yet at " + strings.Join(st.Lagging, ", ")
	}
	_, err = fmt.Fprintf(out, "version %d: %s (as %s knows)\n", st.Version, summary, st.SeenBy)
	return err
}

func sortedNames(f api.Files) []string {
	return sortedKeys(f.Bundle().Files())
}
