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
	// maxHandoffChats bounds the chats whose cache is transferred when an engine drains.
	maxHandoffChats = 500
	// handoffBytesPerSecond bounds the transfer rate so that transfers don't slow down the engines'
	// requests.
	handoffBytesPerSecond = 64 << 20
	// handoffBurst is the most that a single cache is charged against the transfer rate, in bytes,
	// because the limiter rejects a larger amount. It is meant to be at least the size of the
	// largest cache.
	handoffBurst   = 64 << 20
	handoffTimeout = 10 * time.Second
)

// Handoff transfers the KV cache of the chats of a draining engine to the engines that will serve
// them. Without the transfer each of these chats is prefilled again, which slows down the pool
// while it already lacks an engine.
type Handoff struct {
	Board    *board.Board
	Upstream *upstream.Client
	Facts    *admission.CacheIndex
	Log      *log.Logger

	// Moved counts the transferred prefixes, and also the prefixes of pools without another engine,
	// which are not transferred. Failed counts the failed transfers.
	Moved, Failed atomic.Int64

	// started are the incarnations whose transfer was started, by engine name.
	started map[string]uint64
	limiter *rate.Limiter
}

// Run transfers the caches of owned engines that are draining, until ctx ends.
func (h *Handoff) Run(ctx context.Context) {
	h.started = make(map[string]uint64)
	h.limiter = rate.NewLimiter(handoffBytesPerSecond, handoffBurst)
	runPeriodically(ctx, handoffPeriod, h.step)
}

func (h *Handoff) step(ctx context.Context) {
	snap := h.Board.Snapshot()
	for name := range h.started {
		if _, ok := snap.Engines[name]; !ok {
			delete(h.started, name)
		}
	}
	for _, e := range snap.Engines {
		if e.Kind != platform.KindEngine || !e.Leaving || !e.Reported {
			continue
		}
		if r, ok := snap.EngineOwner(e.ID); !ok || r.Name != snap.Self {
			continue
		}
		if h.started[e.Name] == e.Status.Incarnation {
			continue
		}
		h.started[e.Name] = e.Status.Incarnation
		go h.moveChats(ctx, e)
	}
}

// moveChats transfers the chats cached at e, the most recent first.
func (h *Handoff) moveChats(ctx context.Context, e board.Engine) {
	chats := h.Facts.RecentChats(e.ID, e.Status.Incarnation, maxHandoffChats)
	sort.Slice(chats, func(i, j int) bool { return chats[i].Age < chats[j].Age })
	for _, c := range chats {
		if ctx.Err() != nil {
			return
		}
		if err := h.moveChat(ctx, e, c); err != nil {
			h.Failed.Add(1)
			h.Log.Debug("cached prefix not transferred", "from", e.Name, "cause", err)
			continue
		}
		h.Moved.Add(1)
	}
	h.Log.Info("cache transfer finished", "from", e.Name, "chats", len(chats))
}

func (h *Handoff) moveChat(ctx context.Context, from board.Engine, c admission.RecentChat) error {
	to, ok := h.nextEngine(from, c.Chat)
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
	h.Facts.RecordServed(c.Chat, prefix.Location{
		Engine:      to.ID,
		Incarnation: to.Status.Incarnation,
		Prefix:      c.Place.Prefix,
		Tokens:      c.Place.Tokens,
	})
	return nil
}

// nextEngine returns the first engine other than from in the chat's rendezvous order. Once from is
// no longer listed, all routers select this engine for the chat without exchanging messages.
func (h *Handoff) nextEngine(from board.Engine, chat uint64) (board.Engine, bool) {
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
