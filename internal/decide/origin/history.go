package origin

import (
	"slices"
	"time"
)

// Window is for how long at least a version that serves no more is remembered: a stream that it began may be
// resumed for as long.
const Window = 30 * time.Second

// maxWindow bounds SetWindow. What is adopted as complete is complete for any window.
const maxWindow = time.Hour

// maxObservationGap is the longest time between two observations after which none in between can have
// been missed. A router that was suspended for longer begins anew.
const maxObservationGap = 5 * time.Second

// History is the versions of each service that have served lately. It is not safe for concurrent use.
type History struct {
	// seen is when each version was last seen, by service.
	seen map[string]map[string]time.Duration
	// completeSince is the reading of the boot clock since which all versions were seen.
	completeSince time.Duration
	observedAt    time.Duration
	// window is for how long versions are remembered.
	window time.Duration
}

// NewHistory returns an empty history that begins at now. If complete is set, there were no streams
// before.
func NewHistory(now time.Duration, complete bool) *History {
	h := &History{seen: make(map[string]map[string]time.Duration), completeSince: now, observedAt: now, window: Window}
	if complete {
		h.completeSince = now - maxWindow
	}
	return h
}

// SetWindow sets for how long versions are remembered, if that is longer than Window. A history that was
// complete is complete again once it has lasted for the longer time.
func (h *History) SetWindow(window time.Duration) { h.window = min(max(window, Window), maxWindow) }

// Observe records the versions that serve at now.
func (h *History) Observe(versions map[string][]string, now time.Duration) {
	if now-h.observedAt > maxObservationGap {
		h.completeSince = now
	}
	h.observedAt = now
	h.see(versions, now)
	for service, byVersion := range h.seen {
		for version, at := range byVersion {
			if now-at > h.window {
				delete(byVersion, version)
			}
		}
		if len(byVersion) == 0 {
			delete(h.seen, service)
		}
	}
}

// Adopt adds the versions of a complete history of another router or of the store: this one is
// complete then too.
func (h *History) Adopt(versions map[string][]string, now time.Duration) {
	h.see(versions, now)
	h.completeSince = min(h.completeSince, now-maxWindow)
}

func (h *History) see(versions map[string][]string, now time.Duration) {
	for service, list := range versions {
		byVersion := h.seen[service]
		if byVersion == nil {
			byVersion = make(map[string]time.Duration)
			h.seen[service] = byVersion
		}
		for _, version := range list {
			byVersion[version] = now
		}
	}
}

// Complete reports whether the history contains all versions that have served within the
// window.
func (h *History) Complete(now time.Duration) bool { return now-h.completeSince >= h.window }

// Versions returns the versions of a service that have served within the window, in order of their texts.
func (h *History) Versions(service string) []string {
	out := make([]string, 0, len(h.seen[service]))
	for version := range h.seen[service] {
		out = append(out, version)
	}
	slices.Sort(out)
	return out
}

// Has reports whether a version of a service has served within the window.
func (h *History) Has(service, version string) bool {
	_, ok := h.seen[service][version]
	return ok
}

// All returns the versions of all services.
func (h *History) All() map[string][]string {
	out := make(map[string][]string, len(h.seen))
	for service := range h.seen {
		out[service] = h.Versions(service)
	}
	return out
}
