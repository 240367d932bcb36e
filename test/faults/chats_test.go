package faults

import (
	"bytes"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/client"
	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"github.com/stretchr/testify/require"
)

// turn is a scenario: a caller sends a turn of a chat to router a, the fault
// strikes, others go on with chats of their own.
type turn struct {
	*faultkit.World
	a, b *faultkit.Router
	// serving is the engine that had the chat when the fault struck.
	serving string
}

const (
	turnTokens = 12
	// neighbours are the chats besides the one that the fault strikes.
	neighbours = 3
)

// turnEnd is what the struck caller must get.
type turnEnd string

const (
	// whole: its own whole answer.
	whole turnEnd = "whole answer"
	// typed: a typed error, as the answer can't be had any more.
	typed turnEnd = "typed error"
)

type turnPoint struct {
	step faultkit.Step
	from string
	to   string
	dir  faultkit.Direction
	text string
}

// The points, in the order in which a turn passes them. An empty end of a
// connection stands for any engine.
var (
	locateAsked  = turnPoint{faultkit.Locate, faultkit.Caller, "a", faultkit.Out, "GET /v1/locate"}
	locateReply  = turnPoint{faultkit.Locate, faultkit.Caller, "a", faultkit.In, `"address"`}
	turnIn       = turnPoint{faultkit.Admit, faultkit.Caller, "a", faultkit.Out, "POST /v1/chat"}
	turnSent     = turnPoint{faultkit.Send, "a", "", faultkit.Out, "POST /v1/chat"}
	turnAccepted = turnPoint{faultkit.FirstByte, "a", "", faultkit.In, "text/event-stream"}
	turnFlows    = turnPoint{faultkit.MidStream, "a", "", faultkit.In, `"offset":3,`}
	turnShown    = turnPoint{faultkit.MidStream, faultkit.Caller, "a", faultkit.In, `"offset":3,`}
	turnEnds     = turnPoint{faultkit.End, "a", "", faultkit.In, "[DONE]"}
	turnAnswered = turnPoint{faultkit.Answer, faultkit.Caller, "a", faultkit.In, "[DONE]"}
)

type turnStrike func(s *turn, c *faultkit.Conn)

func turnKill(s *turn, _ *faultkit.Conn)      { s.a.Gate.Kill() }
func turnFreeze(s *turn, _ *faultkit.Conn)    { s.a.Gate.Freeze() }
func turnCut(_ *turn, c *faultkit.Conn)       { c.Cut() }
func turnDropReply(_ *turn, c *faultkit.Conn) { c.Drop(faultkit.In) }
func turnSilence(_ *turn, c *faultkit.Conn)   { c.Silence() }
func turnStoreDown(s *turn, _ *faultkit.Conn) { s.Platform.SetDown(true) }

// turnOwnerDies kills the router while the other takes it, and more that are
// gone, for the owners of the engines.
func turnOwnerDies(s *turn, _ *faultkit.Conn) {
	s.b.Believe("a", "c", "d", "e", "f", "g")
	s.a.Gate.Kill()
}

func turnEngineDies(s *turn, _ *faultkit.Conn) {
	s.Oracle.Engine(s.serving).Crash()
}
func turnEngineFlaps(s *turn, _ *faultkit.Conn) {
	s.Oracle.Engine(s.serving).Restart()
}
func turnLate(_ *turn, c *faultkit.Conn) {
	c.Delay(func() { time.Sleep(25 * time.Second) })
}

// turnRepeated delivers a piece of the stream twice.
func turnRepeated(_ *turn, c *faultkit.Conn) {
	c.Rewrite(func(p []byte) []byte { return append(bytes.Clone(p), p...) })
}

// turnOvertaken makes a chunk the one after it, as if that had overtaken it.
func turnOvertaken(_ *turn, c *faultkit.Conn) {
	c.Rewrite(func(p []byte) []byte {
		p = bytes.Replace(p, []byte("id: 3\n"), []byte("id: 4\n"), 1)
		return bytes.Replace(p, []byte(`"offset":3,`), []byte(`"offset":4,`), 1)
	})
}

// turnForeign makes a chunk one of another request, of the same length.
func turnForeign(_ *turn, c *faultkit.Conn) {
	c.Rewrite(func(p []byte) []byte {
		i := bytes.LastIndex(p[:bytes.Index(p, []byte(`"offset":3,`))], []byte(`"id":"`))
		p[i+len(`"id":"`)] ^= 1
		return p
	})
}

// turnVMsStale lets the engine die while the list goes on naming it.
func turnVMsStale(s *turn, _ *faultkit.Conn) {
	s.a.HoldVMs(true)
	s.b.HoldVMs(true)
	s.Platform.DeleteVM(s.serving)
	s.Oracle.Engine(s.serving).Crash()
}

// turnIPReused puts another engine at the address of the one that serves.
func turnIPReused(s *turn, _ *faultkit.Conn) {
	for i := range 2 {
		if s.serving == fmt.Sprint("engine-", i) {
			s.a.HoldVMs(true)
			s.ReplaceEngine(i, "engine-9")
		}
	}
}

type turnCell struct {
	fault  faultkit.Fault
	at     turnPoint
	strike turnStrike
	want   turnEnd
	does   string
}

var turnCells = []turnCell{
	{faultkit.Kill, locateAsked, turnKill, whole, "asked router killed; the next seed answers"},
	{faultkit.Freeze, locateAsked, turnFreeze, whole, "asked router frozen; the next seed answers"},
	{faultkit.CutBoth, locateAsked, turnCut, whole, "connection cut at the question"},
	{faultkit.CutOneWay, locateReply, turnDropReply, whole, "locate answer lost one way"},
	{faultkit.Silent, locateAsked, turnSilence, whole, "connection silent at the question"},
	{faultkit.ReplyLost, locateReply, turnCut, whole, "locate answer lost"},
	{faultkit.ReplyLate, locateReply, turnLate, whole, "locate answer later than the caller waits"},
	{faultkit.StoreDown, locateAsked, turnStoreDown, whole, "store down: locate goes on"},

	{faultkit.Kill, turnIn, turnKill, whole, "router killed as the request comes in; sent again elsewhere"},
	{faultkit.Freeze, turnIn, turnFreeze, whole, "router frozen as the request comes in"},
	{faultkit.CutBoth, turnIn, turnCut, whole, "caller's connection cut at the request"},
	{faultkit.CutOneWay, turnIn, turnDropReply, whole, "replies to the caller lost from the request on"},
	{faultkit.Silent, turnIn, turnSilence, whole, "caller's connection silent from the request on"},
	{faultkit.StoreDown, turnIn, turnStoreDown, whole, "store down: chats are admitted"},

	{faultkit.Kill, turnSent, turnKill, whole, "router killed at the sending"},
	{faultkit.Kill, turnSent, turnEngineDies, whole, "engine killed at the sending; sent to another"},
	{faultkit.Freeze, turnSent, turnFreeze, whole, "router frozen at the sending, later thawed"},
	{faultkit.CutBoth, turnSent, turnCut, whole, "engine's connection cut at the sending"},
	{faultkit.CutOneWay, turnSent, turnDropReply, whole, "engine's replies lost from the sending on"},
	{faultkit.Silent, turnSent, turnSilence, whole, "engine's connection silent from the sending on"},
	{faultkit.StoreDown, turnSent, turnStoreDown, whole, "store down at the sending"},
	{faultkit.VMsStale, turnSent, turnVMsStale, whole, "list names an engine that is gone; sent to another"},
	{faultkit.Flap, turnSent, turnEngineFlaps, whole, "engine restarts at the sending; its new incarnation refuses"},
	{faultkit.IPReused, turnSent, turnIPReused, whole, "another engine at the address refuses what is not meant for it"},

	{faultkit.Kill, turnAccepted, turnKill, whole, "router killed before the first chunk; the caller asks elsewhere"},
	{faultkit.Kill, turnAccepted, turnEngineDies, whole, "engine killed before the first chunk; sent to another"},
	{faultkit.Freeze, turnAccepted, turnFreeze, whole, "router frozen before the first chunk"},
	{faultkit.CutBoth, turnAccepted, turnCut, whole, "engine's connection cut before the first chunk"},
	{faultkit.CutOneWay, turnAccepted, turnDropReply, whole, "engine's reply head lost"},
	{faultkit.Silent, turnAccepted, turnSilence, whole, "engine's connection silent before the first chunk"},
	{faultkit.ReplyLost, turnAccepted, turnCut, whole, "reply lost after the engine has begun"},
	{faultkit.ReplyLate, turnAccepted, turnLate, whole, "reply head later than its time-out; the late stream reaches nobody"},
	{faultkit.StoreDown, turnAccepted, turnStoreDown, whole, "store down before the first chunk"},
	{faultkit.Flap, turnAccepted, turnEngineFlaps, whole, "engine restarts before the first chunk"},
	{faultkit.VMsStale, turnAccepted, turnVMsStale, whole, "engine gone before the first chunk, still listed"},
	{faultkit.IPReused, turnAccepted, turnIPReused, whole, "another engine at the address before the first chunk"},

	{faultkit.Kill, turnFlows, turnKill, whole, "router killed; the caller resumes at another, without gap or repetition"},
	{faultkit.Kill, turnFlows, turnEngineDies, typed, "engine killed: typed error, never half an answer shown as whole"},
	{faultkit.Freeze, turnFlows, turnFreeze, whole, "router frozen and thawed after the caller has resumed elsewhere"},
	{faultkit.CutBoth, turnFlows, turnCut, whole, "engine's connection cut; resumed on a new one"},
	{faultkit.CutBoth, turnShown, turnCut, whole, "caller's connection cut; resumed"},
	{faultkit.CutOneWay, turnFlows, turnDropReply, whole, "engine's chunks lost from here on; resumed"},
	{faultkit.CutOneWay, turnShown, turnDropReply, whole, "chunks to the caller lost from here on; resumed"},
	{faultkit.Silent, turnFlows, turnSilence, whole, "engine's connection silent; resumed on a new one"},
	{faultkit.Silent, turnShown, turnSilence, whole, "caller's connection silent; resumed"},
	{faultkit.ReplyLate, turnFlows, turnLate, whole, "chunks later than the idle gap; the late ones are not shown"},
	{faultkit.Duplicate, turnFlows, turnRepeated, whole, "chunk delivered twice; shown once"},
	{faultkit.Reorder, turnFlows, turnOvertaken, whole, "chunk out of its order; resumed at the right offset"},
	{faultkit.Reorder, turnFlows, turnForeign, whole, "late chunk of another request on the connection; not shown"},
	{faultkit.StoreDown, turnFlows, turnStoreDown, whole, "store down in the middle of a stream"},
	{faultkit.VMsStale, turnFlows, turnVMsStale, typed, "engine gone in the middle of a stream, still listed"},
	{faultkit.Flap, turnFlows, turnEngineFlaps, typed, "engine restarts in the middle of a stream: its new incarnation has no such stream"},
	{faultkit.IPReused, turnFlows, turnIPReused, typed, "another engine at the address in the middle of a stream"},

	{faultkit.Kill, turnEnds, turnKill, whole, "router killed with the end marker unread; the caller resumes for it"},
	{faultkit.Kill, turnEnds, turnEngineDies, whole, "engine killed as its end marker is under way: the answer is whole"},
	{faultkit.Freeze, turnEnds, turnFreeze, whole, "router frozen before the end marker"},
	{faultkit.CutBoth, turnEnds, turnCut, whole, "cut before the end marker: not taken for the end"},
	{faultkit.CutOneWay, turnEnds, turnDropReply, whole, "end marker lost"},
	{faultkit.Silent, turnEnds, turnSilence, whole, "connection silent before the end marker"},
	{faultkit.ReplyLost, turnEnds, turnCut, whole, "end marker lost after the engine has finished"},
	{faultkit.ReplyLate, turnEnds, turnLate, whole, "end marker later than the idle gap"},
	{faultkit.Duplicate, turnEnds, turnRepeated, whole, "end marker delivered twice"},
	{faultkit.StoreDown, turnEnds, turnStoreDown, whole, "store down at the end"},

	{faultkit.Flap, turnEnds, turnEngineFlaps, whole, "engine restarts as its end marker is under way"},
	{faultkit.IPReused, turnEnds, turnIPReused, typed, "engine replaced by another at its address before the end marker: not taken for the end"},
	{faultkit.ViewsDiff, turnFlows, turnOwnerDies, whole, "resumed while the owner of the engine is dead and still taken for alive"},
	{faultkit.ViewsDiff, turnFlows, turnKill, whole, "resumed at a router that sees itself as the whole fleet and never heard of the permit"},

	{faultkit.Kill, turnAnswered, turnKill, whole, "router killed before the end marker reaches the caller"},
	{faultkit.Freeze, turnAnswered, turnFreeze, whole, "router frozen before the end marker reaches the caller"},
	{faultkit.CutBoth, turnAnswered, turnCut, whole, "caller's connection cut before the end marker"},
	{faultkit.CutOneWay, turnAnswered, turnDropReply, whole, "end marker lost on the way to the caller"},
	{faultkit.Silent, turnAnswered, turnSilence, whole, "caller's connection silent before the end marker"},
	{faultkit.ReplyLost, turnAnswered, turnCut, whole, "end marker lost after everything took effect"},
	{faultkit.ReplyLate, turnAnswered, turnLate, whole, "end marker later than the caller waits"},
	{faultkit.StoreDown, turnAnswered, turnStoreDown, whole, "store down before the end marker reaches the caller"},
}

func chatProofs() proofs {
	p := proofs{}
	for _, c := range turnCells {
		p.add(c.fault, c.at.step, proof{
			promises: []faultkit.Promise{faultkit.OwnAnswer},
			does:     "chat: " + c.does,
			run:      func(t *testing.T) { runTurn(t, c) },
		})
	}
	return p
}

// Symptom: a caller reads half an answer as whole, a repeated or missing
// piece, or a piece of somebody else's answer.
// Sequence: the fault strikes one turn at the step; other callers go on; the
// caller's library resumes or asks again; the fault ends and late bytes arrive.
// Cause: a stream is trusted although its end, its offsets or its request id
// say that it must not be.
func runTurn(t *testing.T, c turnCell) {
	inWorld(t, 2, faultkit.Options{Engines: 2}, func(t *testing.T, w *faultkit.World) {
		s := &turn{World: w, a: w.Routers[0], b: w.Routers[1]}
		hit := make(chan struct{})
		s.arm(c, hit)
		struckCaller := s.client(t)
		var all sync.WaitGroup
		var got faultkit.Chat
		all.Go(func() {
			got = s.Say(struckCaller, faultkit.ChatOptions{Chat: "struck", Text: "struck", Tokens: turnTokens})
		})
		select {
		case <-hit:
		case <-time.After(lull):
			require.Fail(t, "the fault never strikes")
		}
		others := s.others(t, &all)
		all.Wait()
		time.Sleep(ages)
		s.a.Gate.Thaw()
		s.Platform.SetDown(false)
		synctest.Wait()
		for _, o := range others {
			requireOther(t, c, o.Err)
		}
		requireEnd(t, c.want, got)
	})
}

// requireOther judges a chat that the fault did not strike. Only where the
// owners of all engines are gone may it be refused, as not run.
func requireOther(t *testing.T, c turnCell, err error) {
	t.Helper()
	var refusal *apierr.Error
	if c.fault == faultkit.ViewsDiff && errors.As(err, &refusal) {
		require.Equal(t, apierr.RanNo, refusal.Ran)
		return
	}
	require.NoError(t, err)
}

func requireEnd(t *testing.T, want turnEnd, got faultkit.Chat) {
	t.Helper()
	if want == whole {
		require.NoError(t, got.Err)
		return
	}
	var refusal *apierr.Error
	require.ErrorAs(t, got.Err, &refusal)
	require.NotEqual(t, apierr.RanNo, refusal.Ran)
}

func (s *turn) client(t *testing.T) *client.Client {
	c, err := s.Client()
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// arm sets the trap, and notes which engine the chat was sent to.
func (s *turn) arm(c turnCell, hit chan struct{}) {
	s.Net.Tap(faultkit.Tap{
		From: "a", Dir: faultkit.Out, Contains: []byte("POST /v1/chat"),
		Strike: func(conn *faultkit.Conn) { s.serving = conn.To },
	})
	s.Net.Tap(faultkit.Tap{
		From: c.at.from, To: c.at.to, Dir: c.at.dir, Contains: []byte(c.at.text),
		Strike: func(conn *faultkit.Conn) {
			defer close(hit)
			c.strike(s, conn)
		},
	})
}

// others start turns of chats of their own, after the fault has struck.
func (s *turn) others(t *testing.T, all *sync.WaitGroup) []*faultkit.Chat {
	var chats []*faultkit.Chat
	for i := range neighbours {
		got := new(faultkit.Chat)
		chats = append(chats, got)
		c := s.client(t)
		name := fmt.Sprint("other-", i)
		all.Go(func() { *got = s.Say(c, faultkit.ChatOptions{Chat: name, Text: name, Tokens: turnTokens}) })
	}
	return chats
}
