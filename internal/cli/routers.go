package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/node"
	"github.com/zeebo/errs"
)

// ErrRouter means that a router can't be reached, or that its response is an error
// or can't be decoded.
var ErrRouter = errs.Class("router")

const (
	// envRouter is the environment variable that replaces the flag --router.
	envRouter = "DAMASKROUTER_ROUTER"
	// routerTimeout bounds a request to a router, which may call three other routers
	// before it responds.
	routerTimeout = 5 * time.Second
	// maxRouterReply bounds a router's response, in bytes. The fleet status of
	// 380 routers takes 100 KB.
	maxRouterReply = 8 << 20
	// watchInterval is the delay between two requests of --watch.
	watchInterval = 2 * time.Second
	// clearScreen moves the terminal's cursor to the top left and clears the screen.
	clearScreen = "\x1b[H\x1b[J"
)

// routersFlags are the flags of commands about routers on the platform.
type routersFlags struct {
	router string
	site   string
	json   bool
	watch  bool
	all    bool
}

func (f *routersFlags) address() string {
	if f.router == "" {
		f.router = os.Getenv(envRouter)
	}
	return f.router
}

// fetch sends a request to a router's metrics address and returns the response
// body. The error is ErrRouter.
func (f *routersFlags) fetch(ctx context.Context, path string, query url.Values) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, routerTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: f.address(), Path: path, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, ErrRouter.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, ErrRouter.Wrap(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRouterReply))
	if err != nil {
		return nil, ErrRouter.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, ErrRouter.New("%s answers %s: %s", f.address(), resp.Status, body)
	}
	return body, nil
}

// fetchJSON calls fetch and decodes the response into out. The error is ErrRouter.
func (f *routersFlags) fetchJSON(ctx context.Context, path string, query url.Values, out any) ([]byte, error) {
	body, err := f.fetch(ctx, path, query)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return nil, ErrRouter.New("%s answers no JSON at %s: %w", f.address(), path, err)
	}
	return body, nil
}

// showRouters prints the routers with their settings and configuration. With
// --watch it repeats that until ctx ends.
func showRouters(ctx context.Context, con *console, f *routersFlags) error {
	for {
		if err := showRoutersOnce(ctx, con, f); err != nil || !f.watch {
			return err
		}
		if !pause.For(ctx, watchInterval) {
			return nil
		}
		fmt.Fprint(con.out, clearScreen)
	}
}

func showRoutersOnce(ctx context.Context, con *console, f *routersFlags) error {
	var fleet feed.Fleet
	body, err := f.fetchJSON(ctx, node.PathFleet, nil, &fleet)
	if err != nil {
		return err
	}
	if f.json {
		_, err := fmt.Fprintf(con.out, "%s\n", body)
		return err
	}
	if f.site != "" {
		fleet.Statuses = slices.DeleteFunc(fleet.Statuses, func(s feed.Status) bool { return s.Site != f.site })
	}
	if err := printRouters(con.out, fleet, f.all); err != nil {
		return err
	}
	return showEngines(ctx, con, f)
}

// showEngines prints the engines to which the router sends no new requests, or only few. Routers of
// earlier releases don't list them.
func showEngines(ctx context.Context, con *console, f *routersFlags) error {
	var list node.EngineList
	if _, err := f.fetchJSON(ctx, node.PathEngines, nil, &list); err != nil {
		fmt.Fprintf(con.out, "\nengines are not listed: %v\n", err)
		return nil
	}
	if f.site != "" {
		list.Engines = slices.DeleteFunc(list.Engines, func(e node.EngineStatus) bool { return e.Site != f.site })
	}
	if err := printVersions(con.out, list); err != nil {
		return err
	}
	fmt.Fprintf(con.out, "\nengines that %s sends nothing or little: %d of %d\n", list.Router, len(list.Engines), list.Known)
	if len(list.Engines) == 0 {
		return nil
	}
	return table(con.out, true, "ENGINE\tSERVICE\tSITE\tSTATE\tFOR", func(w io.Writer) error {
		for _, e := range list.Engines {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Engine, e.Service, e.Site, e.State, stateDuration(e.ForMS))
		}
		return nil
	})
}

// printVersions prints the versions of the engines' software with the requests of one router.
func printVersions(out io.Writer, list node.EngineList) error {
	if len(list.Versions) == 0 {
		return nil
	}
	fmt.Fprintf(out, "\nversions of engines, with the requests and resumed streams of %s\n", list.Router)
	return table(out, true, "SERVICE\tVERSION\tENGINES\tTAKING\tREQUESTS\tFAILED\tRESUMED\tNOT RESUMED", func(w io.Writer) error {
		for _, v := range list.Versions {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", v.Service, v.Version, v.Engines, v.Taking, v.Requests, v.Failed, v.Resumed, v.NotResumed)
		}
		return nil
	})
}

// stateDuration returns for how long a state holds as text.
func stateDuration(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return roundDuration(time.Duration(ms) * time.Millisecond)
}

// settingsGroup is a group of routers that run the same settings.
type settingsGroup struct {
	digest  string
	routers []feed.Status
}

// groupBySettings groups the routers by their settings, the largest group first. Routers whose
// status has not been received are in no group.
func groupBySettings(list []feed.Status) []settingsGroup {
	byDigest := make(map[string][]feed.Status)
	for _, s := range list {
		if s.State != feed.StateNotHeard {
			byDigest[s.Settings] = append(byDigest[s.Settings], s)
		}
	}
	var out []settingsGroup
	for digest, routers := range byDigest {
		out = append(out, settingsGroup{digest, routers})
	}
	slices.SortFunc(out, func(a, b settingsGroup) int {
		return cmp.Or(len(b.routers)-len(a.routers), strings.Compare(a.digest, b.digest))
	})
	return out
}

func printRouters(out io.Writer, fleet feed.Fleet, all bool) error {
	fmt.Fprintf(out, "seen by %s, told by %s, %d routers\n", fleet.SeenBy, fleet.ToldBy, len(fleet.Statuses))
	printEvacuated(out, fleet.Statuses)
	printEras(out, fleet.Statuses)
	printShortOfMemory(out, fleet.Statuses)
	groups := groupBySettings(fleet.Statuses)
	err := table(out, true, "\nSETTINGS\tROUTERS\tSITES\tSINCE\tCONFIG", func(w io.Writer) error {
		for _, g := range groups {
			fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", g.digest, len(g.routers), siteNames(g.routers), settingsAgeRange(g.routers), configVersionRange(g.routers))
		}
		return nil
	})
	if err != nil {
		return err
	}
	listed, heading := fleet.Statuses, "every router"
	if !all {
		listed, heading = outliers(fleet.Statuses, groups), "routers that differ from most, or need a look"
	}
	fmt.Fprintf(out, "\n%s: %d\n", heading, len(listed))
	if len(listed) == 0 {
		return nil
	}
	return table(out, true, "ROUTER\tSITE\tSTATE\tSETTINGS\tSINCE\tCONFIG\tCONFIRMED\tUP\tVERSION\tHEARD\tNOTE", func(w io.Writer) error {
		for _, s := range listed {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\t%s\n", s.Router, s.Site, s.State, s.Settings, ago(s.SettingsAge),
				s.Config, ago(s.ConfigAge), roundDuration(s.UpFor), s.Version, ago(s.Age), statusNote(s))
		}
		return nil
	})
}

// printEvacuated prints the evacuated sites, each with the number of routers that know of it.
func printEvacuated(out io.Writer, list []feed.Status) {
	printKnown(out, "evacuated", list, func(s feed.Status) []string { return s.Evacuated })
}

// printEras prints the eras of the store, each with the number of routers whose engines are of it.
func printEras(out io.Writer, list []feed.Status) {
	printKnown(out, "store era", list, func(s feed.Status) []string {
		if s.StoreEra == "" {
			return nil
		}
		return []string{s.StoreEra}
	})
}

// printShortOfMemory prints the routers that refuse requests for want of memory.
func printShortOfMemory(out io.Writer, list []feed.Status) {
	for _, s := range list {
		if s.ShortOfMemory {
			fmt.Fprintf(out, "short of memory for requests: %s\n", s.Router)
		}
	}
}

// printKnown prints what the routers know, each with the number of routers that know of it.
func printKnown(out io.Writer, label string, list []feed.Status, known func(feed.Status) []string) {
	knownBy := make(map[string]int)
	received := 0
	for _, s := range list {
		if s.State != feed.StateNotHeard {
			received++
		}
		for _, item := range known(s) {
			knownBy[item]++
		}
	}
	for _, item := range slices.Sorted(maps.Keys(knownBy)) {
		fmt.Fprintf(out, "%s: %s, known to %d of %d routers\n", label, item, knownBy[item], received)
	}
}

// outliers returns the routers that are not in the largest group, don't have the newest
// configuration, are not serving, or have a note.
func outliers(list []feed.Status, groups []settingsGroup) []feed.Status {
	newest := uint64(0)
	for _, s := range list {
		newest = max(newest, s.Config)
	}
	var out []feed.Status
	for _, s := range list {
		differs := len(groups) > 0 && s.Settings != groups[0].digest
		if differs || s.Config != newest || s.State != feed.StateServing || statusNote(s) != "" {
			out = append(out, s)
		}
	}
	return out
}

func statusNote(s feed.Status) string {
	switch {
	case s.Problem != "":
		return "settings file: " + s.Problem
	case len(s.CutOff) > 0:
		return fmt.Sprintf("no path to the engines of %s; through %s", strings.Join(s.CutOff, ", "), cmp.Or(strings.Join(s.Through, ", "), "nobody"))
	case len(s.Waiting) > 0:
		return "wait for a restart: " + strings.Join(s.Waiting, ", ")
	}
	return ""
}

func siteNames(list []feed.Status) string {
	var sites []string
	for _, s := range list {
		sites = append(sites, s.Site)
	}
	slices.Sort(sites)
	return strings.Join(slices.Compact(sites), " ")
}

// settingsAgeRange returns the time since the settings took effect on the last and on the first of
// the routers.
func settingsAgeRange(list []feed.Status) string {
	first, last := list[0].SettingsAge, list[0].SettingsAge
	for _, s := range list {
		first, last = max(first, s.SettingsAge), min(last, s.SettingsAge)
	}
	if roundDuration(first) == roundDuration(last) {
		return ago(first)
	}
	return roundDuration(last) + " to " + ago(first)
}

func configVersionRange(list []feed.Status) string {
	var versions []uint64
	for _, s := range list {
		versions = append(versions, s.Config)
	}
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) == 1 {
		return fmt.Sprint(versions[0])
	}
	return fmt.Sprintf("%d to %d", versions[0], versions[len(versions)-1])
}

func roundDuration(d time.Duration) string {
	if d < time.Second {
		return d.Round(time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}

func ago(d time.Duration) string { return roundDuration(d) + " ago" }

// fleetDiffCommand returns the command that shows which settings of two routers differ.
func fleetDiffCommand() *command {
	var f routersFlags
	var a, b string
	c := newCommand("diff", "Show which settings of two routers on the platform differ.", func(ctx context.Context, con *console) error {
		return diffRouters(ctx, con, &f, a, b)
	})
	c.sub.AddPositionalValue(&a, "A", 1, true, "The name of a router.")
	c.sub.AddPositionalValue(&b, "B", 2, true, "The name of another one.")
	c.sub.String(&f.router, "r", "router", "The metrics address of any router, HOST:PORT. Default: "+envRouter+" from the environment.")
	c.sub.Bool(&f.all, "", "own", "Show also what is each router's own: its name, site, addresses and VM.")
	return c
}

// difference holds the values of one setting on two routers.
type difference struct{ path, a, b string }

func diffRouters(ctx context.Context, con *console, f *routersFlags, a, b string) error {
	if f.address() == "" {
		return ErrUsage.New("name a router with --router ADDRESS (or %s)", envRouter)
	}
	var replies [2]node.SettingsReply
	var failures []error
	for i, name := range []string{a, b} {
		_, err := f.fetchJSON(ctx, node.PathSettings, url.Values{node.QueryRouter: {name}}, &replies[i])
		failures = append(failures, err)
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	list := differences(replies[0], replies[1], f.all)
	if len(list) == 0 {
		_, err := fmt.Fprintf(con.out, "%s and %s run the same settings, %s\n", a, b, replies[0].Digest)
		return err
	}
	return table(con.out, true, "SETTING\t"+a+"\t"+b, func(w io.Writer) error {
		for _, d := range list {
			fmt.Fprintf(w, "%s\t%s\t%s\n", d.path, d.a, d.b)
		}
		return nil
	})
}

// differences returns the settings whose values differ. Settings that are specific to one router,
// such as its name, are included only if own is set. A setting that a router of another version
// lacks has an empty value there.
func differences(a, b node.SettingsReply, own bool) []difference {
	values := make(map[string]*difference)
	var order []string
	entry := func(path string) *difference {
		if values[path] == nil {
			values[path] = &difference{path: path}
			order = append(order, path)
		}
		return values[path]
	}
	for _, field := range a.Fields {
		if own || !field.Own {
			entry(field.Path).a = field.Value
		}
	}
	for _, field := range b.Fields {
		if own || !field.Own {
			entry(field.Path).b = field.Value
		}
	}
	var out []difference
	for _, path := range order {
		if d := values[path]; d.a != d.b {
			out = append(out, *d)
		}
	}
	return out
}
