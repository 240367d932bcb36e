package controller

import (
	"context"
	"sort"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/prefix"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
)

const (
	handoffPeriod = 500 * time.Millisecond
	// maxHandoff bounds the chats whose cache is moved when an engine leaves.
	maxHandoff = 500
	// handoffBytesPerSecond bounds the copying, so that it does not slow the
	// engines' own work down.
	handoffBytesPerSecond = 64 << 20
	// handoffBurst is at least the largest cache that is moved in one piece.
	handoffBurst   = 64 << 20
	handoffTimeout = 10 * time.Second
)

// Handoff moves the KV cache of the chats of an engine that leaves to the
// engines that will serve them. Without it every chat of that engine is
// prefilled anew, and the pool slows down just when it is one engine short.
type Handoff struct {
	Board    *board.Board
	Upstream *upstream.Client
	Facts    *admission.Facts
	Log      *log.Logger

	// Moved counts the prefixes moved, Failed those that could not be.
	Moved, Failed atomic.Int64

	// started are the incarnations already taken care of, by engine.
	started map[string]uint64
	limiter *rate.Limiter
}

// Run watches for owned engines that leave until ctx ends.
func (h *Handoff) Run(ctx context.Context) {
	h.started = make(map[string]uint64)
	h.limiter = rate.NewLimiter(handoffBytesPerSecond, handoffBurst)
	every(ctx, handoffPeriod, h.step)
}

func (h *Handoff) step(ctx context.Context) {
	snap := h.Board.Snapshot()
	for name := range h.started {
		if _, ok := snap.Engines[name]; !ok {
			delete(h.started, name)
		}
	}
	for _, e := range snap.Engines {
		if e.Kind != platform.KindEngine || !e.Leaving || !e.Known {
			continue
		}
		if r, ok := snap.EngineOwner(e.ID); !ok || r.Name != snap.Self {
			continue
		}
		if h.started[e.Name] == e.Status.Incarnation {
			continue
		}
		h.started[e.Name] = e.Status.Incarnation
		go h.move(ctx, e)
	}
}

// move copies the hot chats of e, the most recent first.
func (h *Handoff) move(ctx context.Context, e board.Engine) {
	hot := h.Facts.Hot(e.ID, e.Status.Incarnation, maxHandoff)
	sort.Slice(hot, func(i, j int) bool { return hot[i].Age < hot[j].Age })
	for _, c := range hot {
		if ctx.Err() != nil {
			return
		}
		if err := h.moveOne(ctx, e, c); err != nil {
			h.Failed.Add(1)
			h.Log.Debug("prefix not moved", "from", e.Name, "cause", err)
			continue
		}
		h.Moved.Add(1)
	}
	h.Log.Info("cache handed off", "from", e.Name, "chats", len(hot))
}

func (h *Handoff) moveOne(ctx context.Context, from board.Engine, c admission.HotChat) error {
	to, ok := h.next(from, c.Chat)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoffTimeout)
	defer cancel()
	kv, err := h.Upstream.Export(ctx, callTo(from), c.Place.Prefix)
	if err != nil {
		return err
	}
	if err := h.limiter.WaitN(ctx, min(len(kv), handoffBurst)); err != nil {
		return err
	}
	if err := h.Upstream.Import(ctx, callTo(to), kv); err != nil {
		return err
	}
	h.Facts.Served(c.Chat, prefix.Place{
		Engine:      to.ID,
		Incarnation: to.Status.Incarnation,
		Prefix:      c.Place.Prefix,
		Tokens:      c.Place.Tokens,
	})
	return nil
}

// next is the engine that the chat's rendezvous order names once from is gone:
// the one that every router falls back to without being told.
func (h *Handoff) next(from board.Engine, chat uint64) (board.Engine, bool) {
	g := h.Board.Snapshot().Group(from.Pool, from.Region)
	if g == nil {
		return board.Engine{}, false
	}
	var best board.Engine
	var bestScore uint64
	found := false
	for _, e := range g.Engines {
		if e.Leaving || e.Name == from.Name {
			continue
		}
		if s := rendezvous.Score(chat, e.ID); !found || s > bestScore {
			best, bestScore, found = e, s, true
		}
	}
	return best, found
}

func callTo(e board.Engine) upstream.Call {
	return upstream.Call{Address: e.Address, Name: e.Name, Incarnation: e.Status.Incarnation}
}
