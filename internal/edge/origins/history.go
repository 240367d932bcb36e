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

// FollowHistory requests a complete history whenever that of this router is not, until the context
// ends.
func (r *Registry) FollowHistory(ctx context.Context) {
	wait := minHistoryPause
	for pause.For(ctx, wait) {
		if r.historyComplete() {
			wait = minHistoryPause
			continue
		}
		r.requestHistory(ctx)
		wait = min(2*wait, maxHistoryPause)
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
	if reply.Complete {
		r.AdoptHistory(reply.Versions)
	}
}
