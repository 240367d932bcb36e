package origins

import (
	"context"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
)

const (
	// minHistoryPause is the first pause between two calls of a router whose history is not complete;
	// each further one is twice as long, up to maxHistoryPause. historyTimeout bounds a call.
	minHistoryPause = 50 * time.Millisecond
	maxHistoryPause = 2 * time.Second
	historyTimeout  = time.Second
	// storeWait bounds how long streams that can be resumed begin at other versions than one that the store does not
	// hold yet.
	storeWait = 2 * time.Second
)

// History returns the versions that have served lately, by service, and whether there were no others.
func (r *Registry) History() (versions map[string][]string, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.All(), r.complete(r.Clock())
}

// AdoptHistory adds versions that have served before this router knew of them. With them, its history
// is complete.
func (r *Registry) AdoptHistory(versions map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Adopt(versions, r.Clock())
}

// SetStored sets the versions that the store holds, by service.
func (r *Registry) SetStored(versions map[string][]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stored = versions
	r.updateEstablished(r.Clock())
}

// Stored returns the versions that the store holds, by service, as far as is known.
func (r *Registry) Stored() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stored
}

// Established reports whether streams that can be resumed should begin at a version: the store holds it, so that it is
// known after a loss of all routers, or no version of the service is established.
func (r *Registry) Established(service, version string) bool {
	versions := (*r.established.Load())[service]
	return len(versions) == 0 || versions[version]
}

// updateEstablished notes the versions that are established. The caller holds the mutex.
func (r *Registry) updateEstablished(now time.Duration) {
	next := make(map[string]map[string]bool)
	firstSeen := make(map[serviceVersion]time.Duration)
	for service, versions := range r.history.All() {
		next[service] = make(map[string]bool)
		for _, version := range versions {
			key := serviceVersion{service, version}
			at, known := r.firstSeen[key]
			if !known {
				at = now
			}
			firstSeen[key] = at
			if now-at >= storeWait || slices.Contains(r.stored[service], version) {
				next[service][version] = true
			}
		}
	}
	r.firstSeen = firstSeen
	r.established.Store(&next)
}

type serviceVersion struct{ service, version string }

// allEstablished reports whether all versions of services that have several are established.
func (r *Registry) allEstablished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, versions := range r.history.All() {
		if len(versions) > 1 && len((*r.established.Load())[service]) < len(versions) {
			return false
		}
	}
	return true
}

// FollowHistory requests a complete history whenever that of this router is not, and the stored versions while one is not
// established, until the context ends.
func (r *Registry) FollowHistory(ctx context.Context) {
	wait := minHistoryPause
	for pause.For(ctx, wait) {
		if r.historyComplete() && r.allEstablished() {
			wait = minHistoryPause
			continue
		}
		r.requestHistory(ctx)
		wait = min(2*wait, maxHistoryPause)
		if r.historyComplete() {
			// Nothing is established later than storeWait.
			wait = minHistoryPause
		}
	}
}

func (r *Registry) historyComplete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Complete(r.Clock())
}

// requestHistory requests a complete history from the router that precedes this one in the fleet. The
// first one of the fleet reads it from the store.
func (r *Registry) requestHistory(ctx context.Context) {
	live := r.Live()
	self := slices.IndexFunc(live, func(p feed.Peer) bool { return p.Name == r.Self })
	if self < 0 {
		return
	}
	parent, ok := feed.ParentOf(live[self], live, nil, r.Clock())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var reply HistoryReply
	if err := r.Call(ctx, parent, HistoryMethod, HistoryArgs{}, &reply); err != nil {
		r.Log.Debug("history of versions not received", "router", parent.Name, "cause", err)
		return
	}
	if reply.Complete && !r.historyComplete() {
		r.AdoptHistory(reply.Versions)
	}
	if reply.Stored != nil {
		r.SetStored(reply.Stored)
	}
}
