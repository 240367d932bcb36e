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

// ErrOutcomeUnknown means that a change may or may not have been accepted.
var ErrOutcomeUnknown = errs.Class("outcome unknown")

// ErrPartialRollout means that a version was accepted, but that some routers had
// not activated it when the timeout expired. They activate it once they receive it.
var ErrPartialRollout = errs.Class("accepted, but not yet in force everywhere")

const (
	// changeAttempts is how many times a change with an unknown outcome is sent.
	changeAttempts = 3
	// changeRetryDelay is the delay between these attempts.
	changeRetryDelay = 400 * time.Millisecond
	// statusPollInterval is the interval at which --wait requests the status.
	statusPollInterval = 250 * time.Millisecond
	// defaultWaitSeconds is the default timeout of --wait.
	defaultWaitSeconds = 30
)

// changeFlags are the flags of a command that changes the configuration. The
// timeout is in seconds.
type changeFlags struct {
	operatorFlags
	from     uint64
	fromText string
	comment  string
	changeID string
	withdraw bool
	wait     bool
	timeout  int
}

func (f *changeFlags) add(sub *flaggy.Subcommand) {
	f.operatorFlags.add(sub)
	f.timeout = defaultWaitSeconds
	sub.String(&f.fromText, "f", "from", "The version that the change was made from. Default: the one that \"config show --out\" noted beside the base file, or else the one in force now.")
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
		contents, err := files.files()
		if err != nil {
			return err
		}
		versionPath := filepath.Join(filepath.Dir(files.base), versionFile)
		if err := f.prepare(ctx, con, versionPath); err != nil {
			return err
		}
		body := api.ApplyRequest{Files: contents, Comment: f.comment, Withdraw: f.withdraw}
		v, err := f.submit(ctx, con, api.PathConfig, body)
		if err != nil {
			return useLocalPaths(&files, err)
		}
		if _, err := os.Stat(versionPath); err == nil {
			if err := writeVersion(versionPath, v.Number); err != nil {
				return err
			}
		}
		return f.awaitRollout(ctx, con, v)
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
		v, err := f.submit(ctx, con, api.PathRollback, body)
		if err != nil {
			return err
		}
		return f.awaitRollout(ctx, con, v)
	})
	f.add(c.sub)
	c.sub.UInt64(&to, "", "to", "The version whose content to take.")
	return c
}

// prepare determines the version that the change is made from, and its id. It
// prints the id before anything is sent, since an operator whose connection fails
// needs it to repeat the change.
func (f *changeFlags) prepare(ctx context.Context, con *console, versionPath string) error {
	if err := f.resolveFrom(ctx, con, versionPath); err != nil {
		return err
	}
	if f.changeID == "" {
		f.changeID = uuid.NewString()
	}
	con.note("change %s, made from version %d", f.changeID, f.from)
	return nil
}

func (f *changeFlags) resolveFrom(ctx context.Context, con *console, versionPath string) error {
	if f.fromText != "" {
		return f.parseFrom(f.fromText)
	}
	data, err := os.ReadFile(versionPath)
	if err == nil {
		return f.parseFrom(strings.TrimSpace(string(data)))
	}
	if versionPath != "" && !errors.Is(err, fs.ErrNotExist) {
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

// submit sends a change, and sends it again while its outcome is unknown. That is
// safe, since a change id is accepted only once. After changeAttempts it returns
// ErrOutcomeUnknown.
func (f *changeFlags) submit(ctx context.Context, con *console, path string, body any) (config.Version, error) {
	c, err := f.client()
	if err != nil {
		return config.Version{}, err
	}
	req := client.Request{Method: http.MethodPost, Path: path, Body: body, Header: http.Header{
		"If-Match":         {strconv.Quote(strconv.FormatUint(f.from, 10))},
		api.HeaderChangeID: {f.changeID},
	}}
	outcomeUnknown := false
	for attempt := 1; ; attempt++ {
		var v config.Version
		raw, err := doWithRetry(ctx, con, c, req, &v)
		if err == nil {
			return v, f.printVersion(con, raw, v)
		}
		outcomeUnknown = outcomeUnknown || client.MayHaveTakenEffect(err)
		if !outcomeUnknown || isConclusive(err) {
			return config.Version{}, err
		}
		con.note("outcome not known yet: %v", err)
		if attempt == changeAttempts || !pause.For(ctx, changeRetryDelay) {
			return config.Version{}, ErrOutcomeUnknown.New("change %s; the same command with --change-id %s --from %d settles it: %w",
				f.changeID, f.changeID, f.from, err)
		}
	}
}

// isConclusive reports whether a refusal applies to the change and not only to
// one attempt. If the store or the token caused a second attempt to be refused
// as not executed, the first attempt may still have taken effect.
func isConclusive(err error) bool {
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

// awaitRollout waits, with --wait, until the version is active on all routers. It
// prints each router once the version is active there, and returns
// ErrPartialRollout after the timeout.
func (f *changeFlags) awaitRollout(ctx context.Context, con *console, v config.Version) error {
	if !f.wait {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.timeout)*time.Second)
	defer cancel()
	flags := f.operatorFlags
	flags.json = false
	printed := make(map[string]bool)
	var st api.Status
	var lastErr error
	for {
		_, lastErr = flags.get(ctx, con, api.PathStatus, versionParam(v.Number), &st)
		if lastErr == nil {
			f.showProgress(con, st, printed)
			if st.Complete {
				return nil
			}
		}
		if !pause.For(ctx, statusPollInterval) {
			return rolloutError(v, st, lastErr)
		}
		st = api.Status{Lagging: st.Lagging}
	}
}

func (f *changeFlags) showProgress(con *console, st api.Status, printed map[string]bool) {
	for _, r := range st.Routers {
		if r.ConfigVersion < st.Version || printed[r.Name] {
			continue
		}
		printed[r.Name] = true
		if !f.json {
			fmt.Fprintf(con.out, "in force at %s (%s)\n", r.Name, r.Site)
		}
	}
}

func rolloutError(v config.Version, st api.Status, err error) error {
	if len(st.Lagging) > 0 {
		return ErrPartialRollout.New("version %d is missing at %s", v.Number, strings.Join(st.Lagging, ", "))
	}
	return ErrPartialRollout.New("version %d: the router could not be asked: %w", v.Number, err)
}

// useLocalPaths replaces the file names in the problems of a refusal by the paths
// of the operator's files.
func useLocalPaths(files *bundleFlags, err error) error {
	var f *api.Failure
	if errors.As(err, &f) {
		for i := range f.Problems {
			f.Problems[i] = files.withLocalPath(f.Problems[i])
		}
	}
	return err
}
