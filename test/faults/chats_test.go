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

// chatResult is the result that the caller of the affected chat must receive.
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
// empty from or to matches any engine.
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

// chatKillOwner kills router a. Router b still considers a and five other dead routers
// live, and therefore owners of engines.
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
// if the successor had arrived first.
func chatReorderChunk(_ *chatScenario, c *faultkit.Conn) {
	c.RewriteNext(func(p []byte) []byte {
		p = bytes.Replace(p, []byte("id: 3\n"), []byte("id: 4\n"), 1)
		return bytes.Replace(p, []byte(`"offset":3,`), []byte(`"offset":4,`), 1)
	})
}

// chatForeignChunk replaces a chunk by one of another request, of the same length.
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
	{faultkit.Kill, locateRequested, chatKillRouter, completeAnswer, "queried router killed; the next seed replies"},
	{faultkit.Freeze, locateRequested, chatFreezeRouter, completeAnswer, "queried router frozen; the next seed replies"},
	{faultkit.CutBoth, locateRequested, chatCutConn, completeAnswer, "connection cut at the locate request"},
	{faultkit.CutOneWay, locateReply, chatDropReply, completeAnswer, "locate reply lost one way"},
	{faultkit.Silent, locateRequested, chatDropBoth, completeAnswer, "connection silent at the locate request"},
	{faultkit.ReplyLost, locateReply, chatCutConn, completeAnswer, "locate reply lost"},
	{faultkit.ReplyLate, locateReply, chatDelayReply, completeAnswer, "locate reply later than the caller's timeout"},
	{faultkit.StoreDown, locateRequested, chatStoreDown, completeAnswer, "store down: locate still works"},

	{faultkit.Kill, chatReceived, chatKillRouter, completeAnswer, "router killed as the request arrives; sent again to another router"},
	{faultkit.Freeze, chatReceived, chatFreezeRouter, completeAnswer, "router frozen as the request arrives"},
	{faultkit.CutBoth, chatReceived, chatCutConn, completeAnswer, "caller's connection cut at the request"},
	{faultkit.CutOneWay, chatReceived, chatDropReply, completeAnswer, "replies to the caller lost after the request"},
	{faultkit.Silent, chatReceived, chatDropBoth, completeAnswer, "caller's connection silent after the request"},
	{faultkit.StoreDown, chatReceived, chatStoreDown, completeAnswer, "store down: chats are admitted"},

	{faultkit.Kill, chatForwarded, chatKillRouter, completeAnswer, "router killed as the request is sent"},
	{faultkit.Kill, chatForwarded, chatCrashEngine, completeAnswer, "engine killed as the request is sent; sent to another engine"},
	{faultkit.Freeze, chatForwarded, chatFreezeRouter, completeAnswer, "router frozen as the request is sent, later thawed"},
	{faultkit.CutBoth, chatForwarded, chatCutConn, completeAnswer, "engine's connection cut as the request is sent"},
	{faultkit.CutOneWay, chatForwarded, chatDropReply, completeAnswer, "engine's replies lost after the request is sent"},
	{faultkit.Silent, chatForwarded, chatDropBoth, completeAnswer, "engine's connection silent after the request is sent"},
	{faultkit.StoreDown, chatForwarded, chatStoreDown, completeAnswer, "store down as the request is sent"},
	{faultkit.StaleVMList, chatForwarded, chatStaleVMList, completeAnswer, "VM list names an engine that has crashed; sent to another engine"},
	{faultkit.Flap, chatForwarded, chatRestartEngine, completeAnswer, "engine restarts as the request is sent; its new incarnation refuses it"},
	{faultkit.AddressReused, chatForwarded, chatReplaceEngine, completeAnswer, "another engine at the address refuses a request for its predecessor"},

	{faultkit.Kill, streamStarted, chatKillRouter, completeAnswer, "router killed before the first chunk; the caller retries at another router"},
	{faultkit.Kill, streamStarted, chatCrashEngine, completeAnswer, "engine killed before the first chunk; sent to another engine"},
	{faultkit.Freeze, streamStarted, chatFreezeRouter, completeAnswer, "router frozen before the first chunk"},
	{faultkit.CutBoth, streamStarted, chatCutConn, completeAnswer, "engine's connection cut before the first chunk"},
	{faultkit.CutOneWay, streamStarted, chatDropReply, completeAnswer, "engine's response header lost"},
	{faultkit.Silent, streamStarted, chatDropBoth, completeAnswer, "engine's connection silent before the first chunk"},
	{faultkit.ReplyLost, streamStarted, chatCutConn, completeAnswer, "response lost after the engine has started to execute"},
	{faultkit.ReplyLate, streamStarted, chatDelayReply, completeAnswer, "response header later than its timeout; the late stream is discarded"},
	{faultkit.StoreDown, streamStarted, chatStoreDown, completeAnswer, "store down before the first chunk"},
	{faultkit.Flap, streamStarted, chatRestartEngine, completeAnswer, "engine restarts before the first chunk"},
	{faultkit.StaleVMList, streamStarted, chatStaleVMList, completeAnswer, "engine crashed before the first chunk, still on the VM list"},
	{faultkit.AddressReused, streamStarted, chatReplaceEngine, completeAnswer, "another engine at the address before the first chunk"},

	{faultkit.Kill, streamInProgress, chatKillRouter, completeAnswer, "router killed; the caller resumes at another router, without gap or repetition"},
	{faultkit.Kill, streamInProgress, chatCrashEngine, typedError, "engine killed: typed error, never a truncated answer returned as complete"},
	{faultkit.Freeze, streamInProgress, chatFreezeRouter, completeAnswer, "router frozen and thawed after the caller has resumed elsewhere"},
	{faultkit.CutBoth, streamInProgress, chatCutConn, completeAnswer, "engine's connection cut; resumed on a new connection"},
	{faultkit.CutBoth, streamDelivered, chatCutConn, completeAnswer, "caller's connection cut; resumed"},
	{faultkit.CutOneWay, streamInProgress, chatDropReply, completeAnswer, "engine's chunks lost in the middle of the stream; resumed"},
	{faultkit.CutOneWay, streamDelivered, chatDropReply, completeAnswer, "chunks to the caller lost in the middle of the stream; resumed"},
	{faultkit.Silent, streamInProgress, chatDropBoth, completeAnswer, "engine's connection silent; resumed on a new connection"},
	{faultkit.Silent, streamDelivered, chatDropBoth, completeAnswer, "caller's connection silent; resumed"},
	{faultkit.ReplyLate, streamInProgress, chatDelayReply, completeAnswer, "chunks later than the idle timeout; late chunks are not streamed"},
	{faultkit.Duplicate, streamInProgress, chatDuplicateChunk, completeAnswer, "chunk delivered twice; streamed once"},
	{faultkit.Reorder, streamInProgress, chatReorderChunk, completeAnswer, "chunk out of order; resumed at the right offset"},
	{faultkit.Reorder, streamInProgress, chatForeignChunk, completeAnswer, "late chunk of another request on the connection; not streamed"},
	{faultkit.StoreDown, streamInProgress, chatStoreDown, completeAnswer, "store down in the middle of a stream"},
	{faultkit.StaleVMList, streamInProgress, chatStaleVMList, typedError, "engine crashed in the middle of a stream, still on the VM list"},
	{faultkit.Flap, streamInProgress, chatRestartEngine, typedError, "engine restarts in the middle of a stream: its new incarnation has no such stream"},
	{faultkit.AddressReused, streamInProgress, chatReplaceEngine, typedError, "another engine at the address in the middle of a stream"},

	{faultkit.Kill, streamEnding, chatKillRouter, completeAnswer, "router killed with the end marker unread; the caller resumes to get it"},
	{faultkit.Kill, streamEnding, chatCrashEngine, completeAnswer, "engine killed while its end marker is under way: the answer is complete"},
	{faultkit.Freeze, streamEnding, chatFreezeRouter, completeAnswer, "router frozen before the end marker"},
	{faultkit.CutBoth, streamEnding, chatCutConn, completeAnswer, "connection cut before the end marker: not taken for the end"},
	{faultkit.CutOneWay, streamEnding, chatDropReply, completeAnswer, "end marker lost"},
	{faultkit.Silent, streamEnding, chatDropBoth, completeAnswer, "connection silent before the end marker"},
	{faultkit.ReplyLost, streamEnding, chatCutConn, completeAnswer, "end marker lost after the engine has finished"},
	{faultkit.ReplyLate, streamEnding, chatDelayReply, completeAnswer, "end marker later than the idle timeout"},
	{faultkit.Duplicate, streamEnding, chatDuplicateChunk, completeAnswer, "end marker delivered twice"},
	{faultkit.StoreDown, streamEnding, chatStoreDown, completeAnswer, "store down at the end"},

	{faultkit.Flap, streamEnding, chatRestartEngine, completeAnswer, "engine restarts while its end marker is under way"},
	{faultkit.AddressReused, streamEnding, chatReplaceEngine, typedError, "engine replaced by another at its address before the end marker: not taken for the end"},
	{faultkit.ViewsDiffer, streamInProgress, chatKillOwner, completeAnswer, "resumed while the owner of the engine is dead and still considered live"},
	{faultkit.ViewsDiffer, streamInProgress, chatKillRouter, completeAnswer, "resumed at a router that sees itself as the whole fleet and does not know of the permit"},

	{faultkit.Kill, endDelivered, chatKillRouter, completeAnswer, "router killed before the end marker reaches the caller"},
	{faultkit.Freeze, endDelivered, chatFreezeRouter, completeAnswer, "router frozen before the end marker reaches the caller"},
	{faultkit.CutBoth, endDelivered, chatCutConn, completeAnswer, "caller's connection cut before the end marker"},
	{faultkit.CutOneWay, endDelivered, chatDropReply, completeAnswer, "end marker lost on the way to the caller"},
	{faultkit.Silent, endDelivered, chatDropBoth, completeAnswer, "caller's connection silent before the end marker"},
	{faultkit.ReplyLost, endDelivered, chatCutConn, completeAnswer, "end marker lost after everything took effect"},
	{faultkit.ReplyLate, endDelivered, chatDelayReply, completeAnswer, "end marker later than the caller's timeout"},
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

// runChat guards against a caller that treats a truncated answer as complete, or receives a
// repeated or foreign chunk, or a stream with a missing one. That happens if a stream is accepted
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
