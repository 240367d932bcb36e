package cli

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/operate/admin/client"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/zeebo/errs"
)

// ErrUnsettled means that a change may or may not have been accepted.
var ErrUnsettled = errs.Class("outcome unknown")

// ErrNotEverywhere means that a version was accepted and that routers still
// lack it when the wait is over. It is in force there as soon as they hear of it.
var ErrNotEverywhere = errs.Class("accepted, but not yet in force everywhere")

const (
	// changeAttempts is how often an unsettled change is sent.
	changeAttempts = 3
	// changePause is the wait between the attempts.
	changePause = 400 * time.Millisecond
	// statusPeriod is how often --wait asks.
	statusPeriod = 250 * time.Millisecond
	// defaultWait is how long --wait lasts, in seconds.
	defaultWait = 30
)

// changeFlags are the flags of a command that changes the configuration.
type changeFlags struct {
	operatorFlags
	from     uint64
	fromGot  string
	comment  string
	changeID string
	withdraw bool
	wait     bool
	timeout  int
}

func (f *changeFlags) add(sub *flaggy.Subcommand) {
	f.operatorFlags.add(sub)
	f.timeout = defaultWait
	sub.String(&f.fromGot, "f", "from", "The version that the change was made from. Default: the one that \"config show --out\" noted beside the base file, or else the one in force now.")
	sub.String(&f.comment, "c", "comment", "Why; it goes into the audit trail.")
	sub.String(&f.changeID, "i", "change-id", "The id of the change. The same id is accepted once, so give it again to repeat a change whose outcome you don't know. Default: a fresh one, which is printed.")
	sub.Bool(&f.withdraw, "", "withdraw", "Let sites stop serving what they serve now, without a retire mark. Needs the role breakglass.")
	sub.Bool(&f.wait, "w", "wait", "Wait until all routers have the version in force.")
	sub.Int(&f.timeout, "", "timeout", "How long to wait, in seconds.")
}

func configApplyCommand() *command {
	var f changeFlags
	var files bundleFlags
	c := newCommand("apply", "Make the files the next version of the fleet's configuration.", func(ctx context.Context, con *console) error {
		texts, err := files.files()
		if err != nil {
			return err
		}
		noted := filepath.Join(filepath.Dir(files.base), versionFile)
		if err := f.prepare(ctx, con, noted); err != nil {
			return err
		}
		body := api.ApplyRequest{Files: texts, Comment: f.comment, Withdraw: f.withdraw}
		v, err := f.change(ctx, con, api.PathConfig, body)
		if err != nil {
			return localise(&files, err)
		}
		if _, err := os.Stat(noted); err == nil {
			if err := writeVersion(noted, v.Number); err != nil {
				return err
			}
		}
		return f.finish(ctx, con, v)
	})
	f.add(c.sub)
	files.add(c.sub)
	return c
}

func configRollbackCommand() *command {
	var f changeFlags
	var to uint64
	c := newCommand("rollback", "Make the content of an earlier version the next version.", func(ctx context.Context, con *console) error {
		if to == 0 {
			return ErrUsage.New("say which version's content to take, with --to VERSION")
		}
		if err := f.prepare(ctx, con, ""); err != nil {
			return err
		}
		body := api.RollbackRequest{To: to, Comment: f.comment, Withdraw: f.withdraw}
		v, err := f.change(ctx, con, api.PathRollback, body)
		if err != nil {
			return err
		}
		return f.finish(ctx, con, v)
	})
	f.add(c.sub)
	c.sub.UInt64(&to, "", "to", "The version whose content to take.")
	return c
}

// prepare settles which version the change is made from, and its id. The id is
// printed before anything is sent: who loses the connection needs it.
func (f *changeFlags) prepare(ctx context.Context, con *console, noted string) error {
	if err := f.settleFrom(ctx, con, noted); err != nil {
		return err
	}
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	con.note("change %s, made from version %d", f.changeID, f.from)
	return nil
}

func (f *changeFlags) settleFrom(ctx context.Context, con *console, noted string) error {
	if f.fromGot != "" {
		return f.parseFrom(f.fromGot)
	}
	data, err := os.ReadFile(noted)
	if err == nil {
		return f.parseFrom(strings.TrimSpace(string(data)))
	}
	if noted != "" && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	head, err := f.head(ctx, con)
	if err != nil {
		return err
	}
	f.from = head.Version
	con.note("no --from given: taken to be made from version %d, which is in force now", f.from)
	return nil
}

func (f *changeFlags) parseFrom(text string) error {
	version, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return ErrUsage.New("%q is no version", text)
	}
	f.from = version
	return nil
}

// change sends a change until its outcome is known. Repeating it is safe: the
// change id is accepted once.
func (f *changeFlags) change(ctx context.Context, con *console, path string, body any) (config.Version, error) {
	c, err := f.client()
	if err != nil {
		return config.Version{}, err
	}
	req := client.Request{Method: http.MethodPost, Path: path, Body: body, Header: http.Header{
		"If-Match":         {strconv.Quote(strconv.FormatUint(f.from, 10))},
		api.HeaderChangeID: {f.changeID},
	}}
	unsettled := false
	for attempt := 1; ; attempt++ {
		var v config.Version
		raw, err := patiently(ctx, con, c, req, &v)
		if err == nil {
			return v, f.printVersion(con, raw, v)
		}
		unsettled = unsettled || client.Unsettled(err)
		if !unsettled || isFinal(err) {
			return config.Version{}, err
		}
		con.note("outcome not known yet: %v", err)
		if attempt == changeAttempts || !pause.For(ctx, changePause) {
			return config.Version{}, ErrUnsettled.New("change %s; the same command with --change-id %s --from %d settles it: %w",
				f.changeID, f.changeID, f.from, err)
		}
	}
}

// isFinal reports a refusal that speaks of the change, and not only of the
// attempt. "Did not run" of a second attempt, which the store or the token
// refused, says nothing about a first one that may be in force.
func isFinal(err error) bool {
	var f *api.Failure
	if !errors.As(err, &f) {
		return false
	}
	switch f.Code {
	case apierr.CodeConflict, apierr.CodeKeyReused, apierr.CodeInvalidConfig:
		return f.Ran == apierr.RanNo
	}
	return false
}

func (f *changeFlags) printVersion(con *console, raw []byte, v config.Version) error {
	text := fmt.Sprintf("version %d", v.Number)
	if f.json {
		text = string(raw)
	}
	_, err := fmt.Fprintln(con.out, text)
	return err
}

// finish waits, if asked to, until all routers have the version in force, and
// names each router as it gets there.
func (f *changeFlags) finish(ctx context.Context, con *console, v config.Version) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.timeout)*time.Second)
	defer cancel()
	quiet := f.operatorFlags
	quiet.json = false
	shown := make(map[string]bool)
	var st api.Status
	var lastErr error
	for {
		_, lastErr = quiet.get(ctx, con, api.PathStatus, versionParam(v.Number), &st)
		if lastErr == nil {
			f.showProgress(con, st, shown)
			if st.Complete {
				return nil
			}
		}
		if !pause.For(ctx, statusPeriod) {
			return notEverywhere(v, st, lastErr)
		}
		st = api.Status{Lagging: st.Lagging}
	}
}

func (f *changeFlags) showProgress(con *console, st api.Status, shown map[string]bool) {
	for _, r := range st.Routers {
		if r.ConfigVersion < st.Version || shown[r.Name] {
			continue
		}
		shown[r.Name] = true
		if !f.json {
			fmt.Fprintf(con.out, "in force at %s (%s)\n", r.Name, r.Site)
		}
	}
}

func notEverywhere(v config.Version, st api.Status, err error) error {
	if len(st.Lagging) > 0 {
		return ErrNotEverywhere.New("version %d is missing at %s", v.Number, strings.Join(st.Lagging, ", "))
	}
	return ErrNotEverywhere.New("version %d: the router could not be asked: %w", v.Number, err)
}

// localise names the operator's own files in the problems of a refusal.
func localise(files *bundleFlags, err error) error {
	var f *api.Failure
	if errors.As(err, &f) {
		for i := range f.Problems {
			f.Problems[i] = files.local(f.Problems[i])
		}
	}
	return err
}
