package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/edge/node"
	"damaskrouter.example/damaskrouter/internal/edge/settings"
)

// usualSlack is the setting that changes; each router has the same one once the faults are over.
const usualSlack = 1000

// text is a router's settings file with a retry slack.
func (w *world) text(r *router, slack int) string {
	return fmt.Sprintf(settingsText, r.name, r.ip, w.port, r.ip, w.port+1, r.ip, w.port+2, r.ip, w.port+3, w.port+4, w.port+9, r.advertised,
		w.seed, r.store.address(), revokeBound.Milliseconds(), int(stopTime.Seconds()), slack)
}

// write puts a settings file in place: at once, or a part of it first.
func (r *router) write(text string, part int, between time.Duration) error {
	if part > 0 {
		if err := os.WriteFile(r.settings, []byte(text[:part]), 0o600); err != nil {
			return err
		}
		time.Sleep(between)
	}
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

// rewrite changes the settings of routers until the end: well, with a mistake, half written, with
// and without a signal. Then all are given the same.
func rewrite(w *world, b *books, rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(duration(rng, 20*time.Millisecond, 300*time.Millisecond))
		r := pick(rng, w.routers)
		text := w.text(r, usualSlack+rng.IntN(50))
		part := 0
		switch rng.IntN(4) {
		case 0:
			b.note("settings with a mistake")
			text = strings.Replace(text, "stop_s:", "stop_s: 0 #", 1)
		case 1:
			b.note("settings half written")
			part = 1 + rng.IntN(len(text)-1)
		default:
			b.note("settings changed")
		}
		if err := r.write(text, part, duration(rng, time.Millisecond, 150*time.Millisecond)); err != nil {
			b.fail("settings not written: %v", err)
		}
		if rng.IntN(2) == 0 {
			r.signal(syscall.SIGHUP)
		}
	}
	for _, r := range w.routers {
		if err := r.write(w.text(r, usualSlack), 0, 0); err != nil {
			b.fail("settings not written: %v", err)
		}
	}
}

// checkSettings asks each router who runs what: after the last change each runs what its file says.
// They differ, since each has a store's address of its own.
func (w *world) checkSettings(b *books) {
	want := make(map[string]string)
	for _, r := range w.routers {
		set, err := settings.Parse([]byte(w.text(r, usualSlack)))
		if err != nil {
			b.fail("the soak's own settings: %v", err)
			return
		}
		want[r.name] = set.Digest()
	}
	for _, asked := range w.routers {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d%s", asked.ip, w.port+3, node.PathFleet))
		if err != nil {
			b.fail("%s does not tell who runs what: %v", asked.name, err)
			continue
		}
		var fleet feed.Fleet
		err = json.NewDecoder(resp.Body).Decode(&fleet)
		_ = resp.Body.Close()
		if err != nil || len(fleet.Statuses) != len(w.routers) {
			b.fail("%s tells of %d routers of %d, %v", asked.name, len(fleet.Statuses), len(w.routers), err)
		}
		for _, row := range fleet.Statuses {
			if row.State != feed.StateServing || row.Problem != "" || row.Settings != want[row.Router] {
				b.fail("%s tells that %s is %q, runs %s and not %s, problem %q", asked.name, row.Router, row.State,
					row.Settings, want[row.Router], row.Problem)
			}
		}
	}
}
