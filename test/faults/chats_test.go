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

// chatScenario sends a turn of a chat to router a, injects the fault, and starts other
// chats that the fault should not affect.
type chatScenario struct {
	*faultkit.Cluster
	a, b *faultkit.Router
	// servingEngine is the engine that had the chat when the fault was injected.
	servingEngine string
}

const (
	chatTokens = 12
	// unaffectedChats is the number of other chats.
	unaffectedChats = 3
)

// chatResult is what the caller of the affected chat must receive.
type chatResult string

const (
	// completeAnswer: the complete answer to its own request.
	completeAnswer chatResult = "complete answer"
	// typedError: a typed error, since the answer is no longer available.
	typedError chatResult = "typed error"
)

type chatPoint struct {
	step      faultkit.Step
	from      string
	to        string
	direction faultkit.Direction
	contains  string
}

// Points at which faults are injected, in the order in which a turn passes them. An
// empty end of a connection matches any engine.
var (
	locateRequested  = chatPoint{faultkit.Locate, faultkit.Caller, "a", faultkit.Out, "GET /v1/locate"}
	locateReply      = chatPoint{faultkit.Locate, faultkit.Caller, "a", faultkit.In, `"address"`}
	chatReceived     = chatPoint{faultkit.Admit, faultkit.Caller, "a", faultkit.Out, "POST /v1/chat"}
	chatForwarded    = chatPoint{faultkit.Send, "a", "", faultkit.Out, "POST /v1/chat"}
	streamStarted    = chatPoint{faultkit.FirstByte, "a", "", faultkit.In, "text/event-stream"}
	streamInProgress = chatPoint{faultkit.MidStream, "a", "", faultkit.In, `"offset":3,`}
	streamDelivered  = chatPoint{faultkit.MidStream, faultkit.Caller, "a", faultkit.In, `"offset":3,`}
	streamEnding     = chatPoint{faultkit.End, "a", "", faultkit.In, "[DONE]"}
	endDelivered     = chatPoint{faultkit.Answer, faultkit.Caller, "a", faultkit.In, "[DONE]"}
)

type chatFault func(s *chatScenario, c *faultkit.Conn)

func chatKillRouter(s *chatScenario, _ *faultkit.Conn)   { s.a.Gate.Kill() }
func chatFreezeRouter(s *chatScenario, _ *faultkit.Conn) { s.a.Gate.Freeze() }
func chatCutConn(_ *chatScenario, c *faultkit.Conn)      { c.Cut() }
func chatDropReply(_ *chatScenario, c *faultkit.Conn)    { c.Drop(faultkit.In) }
func chatDropBoth(_ *chatScenario, c *faultkit.Conn)     { c.DropBoth() }
func chatStoreDown(s *chatScenario, _ *faultkit.Conn)    { s.Platform.SetDown(true) }

// chatKillOwner kills router a. Router b still considers it and further dead routers
// live, and so owners of engines.
func chatKillOwner(s *chatScenario, _ *faultkit.Conn) {
	s.b.AssumeLive("a", "c", "d", "e", "f", "g")
	s.a.Gate.Kill()
}

func chatCrashEngine(s *chatScenario, _ *faultkit.Conn) {
	s.Oracle.Engine(s.servingEngine).Crash()
}
func chatRestartEngine(s *chatScenario, _ *faultkit.Conn) {
	s.Oracle.Engine(s.servingEngine).Restart()
}
func chatDelayReply(_ *chatScenario, c *faultkit.Conn) {
	c.DelayNext(func() { time.Sleep(25 * time.Second) })
}

// chatDuplicateChunk delivers the bytes of the next read twice.
func chatDuplicateChunk(_ *chatScenario, c *faultkit.Conn) {
	c.RewriteNext(func(p []byte) []byte { return append(bytes.Clone(p), p...) })
}

// chatReorderChunk replaces a chunk's number and offset by those of its successor, as
// if that had overtaken it.
func chatReorderChunk(_ *chatScenario, c *faultkit.Conn) {
	c.RewriteNext(func(p []byte) []byte {
		p = bytes.Replace(p, []byte("id: 3\n"), []byte("id: 4\n"), 1)
		return bytes.Replace(p, []byte(`"offset":3,`), []byte(`"offset":4,`), 1)
	})
}

// chatForeignChunk changes a chunk into one of another request, of the same length.
func chatForeignChunk(_ *chatScenario, c *faultkit.Conn) {
	c.RewriteNext(func(p []byte) []byte {
		i := bytes.LastIndex(p[:bytes.Index(p, []byte(`"offset":3,`))], []byte(`"id":"`))
		p[i+len(`"id":"`)] ^= 1
		return p
	})
}

// chatStaleVMList crashes the engine while the routers' VM lists still name it.
func chatStaleVMList(s *chatScenario, _ *faultkit.Conn) {
	s.a.HoldVMList(true)
	s.b.HoldVMList(true)
	s.Platform.DeleteVM(s.servingEngine)
	s.Oracle.Engine(s.servingEngine).Crash()
}

// chatReplaceEngine starts another engine at the address of the serving one.
func chatReplaceEngine(s *chatScenario, _ *faultkit.Conn) {
	for i := range 2 {
		if s.servingEngine == fmt.Sprint("engine-", i) {
			s.a.HoldVMList(true)
			s.ReplaceEngine(i, "engine-9")
		}
	}
}

type chatCell struct {
	fault       faultkit.Fault
	point       chatPoint
	inject      chatFault
	want        chatResult
	description string
}

var chatCells = []chatCell{
	{faultkit.Kill, locateRequested, chatKillRouter, completeAnswer, "asked router killed; the next seed answers"},
	{faultkit.Freeze, locateRequested, chatFreezeRouter, completeAnswer, "asked router frozen; the next seed answers"},
	{faultkit.CutBoth, locateRequested, chatCutConn, completeAnswer, "connection cut at the question"},
	{faultkit.CutOneWay, locateReply, chatDropReply, completeAnswer, "locate answer lost one way"},
	{faultkit.Silent, locateRequested, chatDropBoth, completeAnswer, "connection silent at the question"},
	{faultkit.ReplyLost, locateReply, chatCutConn, completeAnswer, "locate answer lost"},
	{faultkit.ReplyLate, locateReply, chatDelayReply, completeAnswer, "locate answer later than the caller waits"},
	{faultkit.StoreDown, locateRequested, chatStoreDown, completeAnswer, "store down: locate goes on"},

	{faultkit.Kill, chatReceived, chatKillRouter, completeAnswer, "router killed as the request comes in; sent again elsewhere"},
	{faultkit.Freeze, chatReceived, chatFreezeRouter, completeAnswer, "router frozen as the request comes in"},
	{faultkit.CutBoth, chatReceived, chatCutConn, completeAnswer, "caller's connection cut at the request"},
	{faultkit.CutOneWay, chatReceived, chatDropReply, completeAnswer, "replies to the caller lost from the request on"},
	{faultkit.Silent, chatReceived, chatDropBoth, completeAnswer, "caller's connection silent from the request on"},
	{faultkit.StoreDown, chatReceived, chatStoreDown, completeAnswer, "store down: chats are admitted"},

	{faultkit.Kill, chatForwarded, chatKillRouter, completeAnswer, "router killed at the sending"},
	{faultkit.Kill, chatForwarded, chatCrashEngine, completeAnswer, "engine killed at the sending; sent to another"},
	{faultkit.Freeze, chatForwarded, chatFreezeRouter, completeAnswer, "router frozen at the sending, later thawed"},
	{faultkit.CutBoth, chatForwarded, chatCutConn, completeAnswer, "engine's connection cut at the sending"},
	{faultkit.CutOneWay, chatForwarded, chatDropReply, completeAnswer, "engine's replies lost from the sending on"},
	{faultkit.Silent, chatForwarded, chatDropBoth, completeAnswer, "engine's connection silent from the sending on"},
	{faultkit.StoreDown, chatForwarded, chatStoreDown, completeAnswer, "store down at the sending"},
	{faultkit.StaleVMList, chatForwarded, chatStaleVMList, completeAnswer, "list names an engine that is gone; sent to another"},
	{faultkit.Flap, chatForwarded, chatRestartEngine, completeAnswer, "engine restarts at the sending; its new incarnation refuses"},
	{faultkit.AddressReused, chatForwarded, chatReplaceEngine, completeAnswer, "another engine at the address refuses what is not meant for it"},

	{faultkit.Kill, streamStarted, chatKillRouter, completeAnswer, "router killed before the first chunk; the caller asks elsewhere"},
	{faultkit.Kill, streamStarted, chatCrashEngine, completeAnswer, "engine killed before the first chunk; sent to another"},
	{faultkit.Freeze, streamStarted, chatFreezeRouter, completeAnswer, "router frozen before the first chunk"},
	{faultkit.CutBoth, streamStarted, chatCutConn, completeAnswer, "engine's connection cut before the first chunk"},
	{faultkit.CutOneWay, streamStarted, chatDropReply, completeAnswer, "engine's reply head lost"},
	{faultkit.Silent, streamStarted, chatDropBoth, completeAnswer, "engine's connection silent before the first chunk"},
	{faultkit.ReplyLost, streamStarted, chatCutConn, completeAnswer, "reply lost after the engine has begun"},
	{faultkit.ReplyLate, streamStarted, chatDelayReply, completeAnswer, "reply head later than its time-out; the late stream reaches nobody"},
	{faultkit.StoreDown, streamStarted, chatStoreDown, completeAnswer, "store down before the first chunk"},
	{faultkit.Flap, streamStarted, chatRestartEngine, completeAnswer, "engine restarts before the first chunk"},
	{faultkit.StaleVMList, streamStarted, chatStaleVMList, completeAnswer, "engine gone before the first chunk, still listed"},
	{faultkit.AddressReused, streamStarted, chatReplaceEngine, completeAnswer, "another engine at the address before the first chunk"},

	{faultkit.Kill, streamInProgress, chatKillRouter, completeAnswer, "router killed; the caller resumes at another, without gap or repetition"},
	{faultkit.Kill, streamInProgress, chatCrashEngine, typedError, "engine killed: typed error, never half an answer shown as whole"},
	{faultkit.Freeze, streamInProgress, chatFreezeRouter, completeAnswer, "router frozen and thawed after the caller has resumed elsewhere"},
	{faultkit.CutBoth, streamInProgress, chatCutConn, completeAnswer, "engine's connection cut; resumed on a new one"},
	{faultkit.CutBoth, streamDelivered, chatCutConn, completeAnswer, "caller's connection cut; resumed"},
	{faultkit.CutOneWay, streamInProgress, chatDropReply, completeAnswer, "engine's chunks lost from here on; resumed"},
	{faultkit.CutOneWay, streamDelivered, chatDropReply, completeAnswer, "chunks to the caller lost from here on; resumed"},
	{faultkit.Silent, streamInProgress, chatDropBoth, completeAnswer, "engine's connection silent; resumed on a new one"},
	{faultkit.Silent, streamDelivered, chatDropBoth, completeAnswer, "caller's connection silent; resumed"},
	{faultkit.ReplyLate, streamInProgress, chatDelayReply, completeAnswer, "chunks later than the idle gap; the late ones are not shown"},
	{faultkit.Duplicate, streamInProgress, chatDuplicateChunk, completeAnswer, "chunk delivered twice; shown once"},
	{faultkit.Reorder, streamInProgress, chatReorderChunk, completeAnswer, "chunk out of its order; resumed at the right offset"},
	{faultkit.Reorder, streamInProgress, chatForeignChunk, completeAnswer, "late chunk of another request on the connection; not shown"},
	{faultkit.StoreDown, streamInProgress, chatStoreDown, completeAnswer, "store down in the middle of a stream"},
	{faultkit.StaleVMList, streamInProgress, chatStaleVMList, typedError, "engine gone in the middle of a stream, still listed"},
	{faultkit.Flap, streamInProgress, chatRestartEngine, typedError, "engine restarts in the middle of a stream: its new incarnation has no such stream"},
	{faultkit.AddressReused, streamInProgress, chatReplaceEngine, typedError, "another engine at the address in the middle of a stream"},

	{faultkit.Kill, streamEnding, chatKillRouter, completeAnswer, "router killed with the end marker unread; the caller resumes for it"},
	{faultkit.Kill, streamEnding, chatCrashEngine, completeAnswer, "engine killed as its end marker is under way: the answer is whole"},
	{faultkit.Freeze, streamEnding, chatFreezeRouter, completeAnswer, "router frozen before the end marker"},
	{faultkit.CutBoth, streamEnding, chatCutConn, completeAnswer, "cut before the end marker: not taken for the end"},
	{faultkit.CutOneWay, streamEnding, chatDropReply, completeAnswer, "end marker lost"},
	{faultkit.Silent, streamEnding, chatDropBoth, completeAnswer, "connection silent before the end marker"},
	{faultkit.ReplyLost, streamEnding, chatCutConn, completeAnswer, "end marker lost after the engine has finished"},
	{faultkit.ReplyLate, streamEnding, chatDelayReply, completeAnswer, "end marker later than the idle gap"},
	{faultkit.Duplicate, streamEnding, chatDuplicateChunk, completeAnswer, "end marker delivered twice"},
	{faultkit.StoreDown, streamEnding, chatStoreDown, completeAnswer, "store down at the end"},

	{faultkit.Flap, streamEnding, chatRestartEngine, completeAnswer, "engine restarts as its end marker is under way"},
	{faultkit.AddressReused, streamEnding, chatReplaceEngine, typedError, "engine replaced by another at its address before the end marker: not taken for the end"},
	{faultkit.ViewsDiffer, streamInProgress, chatKillOwner, completeAnswer, "resumed while the owner of the engine is dead and still taken for alive"},
	{faultkit.ViewsDiffer, streamInProgress, chatKillRouter, completeAnswer, "resumed at a router that sees itself as the whole fleet and never heard of the permit"},

	{faultkit.Kill, endDelivered, chatKillRouter, completeAnswer, "router killed before the end marker reaches the caller"},
	{faultkit.Freeze, endDelivered, chatFreezeRouter, completeAnswer, "router frozen before the end marker reaches the caller"},
	{faultkit.CutBoth, endDelivered, chatCutConn, completeAnswer, "caller's connection cut before the end marker"},
	{faultkit.CutOneWay, endDelivered, chatDropReply, completeAnswer, "end marker lost on the way to the caller"},
	{faultkit.Silent, endDelivered, chatDropBoth, completeAnswer, "caller's connection silent before the end marker"},
	{faultkit.ReplyLost, endDelivered, chatCutConn, completeAnswer, "end marker lost after everything took effect"},
	{faultkit.ReplyLate, endDelivered, chatDelayReply, completeAnswer, "end marker later than the caller waits"},
	{faultkit.StoreDown, endDelivered, chatStoreDown, completeAnswer, "store down before the end marker reaches the caller"},
}

func chatTests() cellTests {
	tests := cellTests{}
	for _, c := range chatCells {
		tests.add(c.fault, c.point.step, cellTest{
			guarantees:  []faultkit.Guarantee{faultkit.OwnResponse},
			description: "chat: " + c.description,
			run:         func(t *testing.T) { runChat(t, c) },
		})
	}
	return tests
}

// runChat guards against a caller that takes a truncated answer for complete, or
// receives a repeated, missing or foreign chunk. That happens if a stream is accepted
// although its end, its offsets or its request ID are wrong.
func runChat(t *testing.T, c chatCell) {
	inCluster(t, 2, faultkit.Options{Engines: 2}, func(t *testing.T, cl *faultkit.Cluster) {
		s := &chatScenario{Cluster: cl, a: cl.Routers[0], b: cl.Routers[1]}
		injected := make(chan struct{})
		s.addTriggers(c, injected)
		affectedClient := s.newClient(t)
		var all sync.WaitGroup
		var got faultkit.Chat
		all.Go(func() {
			got = s.SendTurn(affectedClient, faultkit.ChatOptions{Chat: "struck", Text: "struck", Tokens: chatTokens})
		})
		select {
		case <-injected:
		case <-time.After(lateArrivalTime):
			require.Fail(t, "the fault was not injected")
		}
		others := s.startUnaffected(t, &all)
		all.Wait()
		time.Sleep(pastDeadlines)
		s.a.Gate.Thaw()
		s.Platform.SetDown(false)
		synctest.Wait()
		for _, o := range others {
			requireUnaffected(t, c, o.Err)
		}
		requireChatResult(t, c.want, got)
	})
}

// requireUnaffected checks a chat that the fault does not affect. It may be refused, as
// not executed, only where the owners of all engines are dead.
func requireUnaffected(t *testing.T, c chatCell, err error) {
	t.Helper()
	var refusal *apierr.Error
	if c.fault == faultkit.ViewsDiffer && errors.As(err, &refusal) {
		require.Equal(t, apierr.RanNo, refusal.Ran)
		return
	}
	require.NoError(t, err)
}

func requireChatResult(t *testing.T, want chatResult, got faultkit.Chat) {
	t.Helper()
	if want == completeAnswer {
		require.NoError(t, got.Err)
		return
	}
	var refusal *apierr.Error
	require.ErrorAs(t, got.Err, &refusal)
	require.NotEqual(t, apierr.RanNo, refusal.Ran)
}

func (s *chatScenario) newClient(t *testing.T) *client.Client {
	c, err := s.Client()
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return c
}

// addTriggers adds the trigger of the fault, and one that records the engine that the
// chat was sent to.
func (s *chatScenario) addTriggers(c chatCell, injected chan struct{}) {
	s.Net.AddTrigger(faultkit.Trigger{
		From: "a", Dir: faultkit.Out, Contains: []byte("POST /v1/chat"),
		Strike: func(conn *faultkit.Conn) { s.servingEngine = conn.To },
	})
	s.Net.AddTrigger(faultkit.Trigger{
		From: c.point.from, To: c.point.to, Dir: c.point.direction, Contains: []byte(c.point.contains),
		Strike: func(conn *faultkit.Conn) {
			defer close(injected)
			c.inject(s, conn)
		},
	})
}

// startUnaffected starts turns of other chats.
func (s *chatScenario) startUnaffected(t *testing.T, all *sync.WaitGroup) []*faultkit.Chat {
	var chats []*faultkit.Chat
	for i := range unaffectedChats {
		got := new(faultkit.Chat)
		chats = append(chats, got)
		c := s.newClient(t)
		name := fmt.Sprint("other-", i)
		all.Go(func() { *got = s.SendTurn(c, faultkit.ChatOptions{Chat: name, Text: name, Tokens: chatTokens}) })
	}
	return chats
}
