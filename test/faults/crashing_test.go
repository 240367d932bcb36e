package faults

import (
	"fmt"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"github.com/stretchr/testify/require"
)

const (
	// crashRestartTime is the time after which an engine that ended is back.
	crashRestartTime = 1500 * time.Millisecond
	// crashKnownBound is the time after the third ended engine within which all routers must know
	// that a chat crashes engines, and maxLaterEnds how many it may end after that.
	crashKnownBound = 3 * time.Second
	provingEnds     = 3
	maxLaterEnds    = 3
	// provingPartEnds is the number of ended engines that prove the same of a message.
	provingPartEnds = 4
	// crashingTurns is how often the chat is sent.
	crashingTurns = 80
)

// lostRequests returns the number of requests that ended with their engines. The only chat of the
// test ends one engine each time.
func lostRequests(cl *faultkit.Cluster) int {
	n := 0
	for _, e := range cl.Oracle.Engines() {
		n += e.Stats().Lost
	}
	return n
}

// restartCrashed restarts engines that have lost requests by a crash, until stop is closed.
func restartCrashed(cl *faultkit.Cluster, stop <-chan struct{}) {
	lost := make(map[string]int)
	for {
		select {
		case <-stop:
			return
		case <-time.After(crashRestartTime):
		}
		for _, e := range cl.Oracle.Engines() {
			if s := e.Stats(); s.Lost > lost[s.Name] {
				lost[s.Name] = s.Lost
				e.Restart()
			}
		}
	}
}

// Guards against a chat that crashes every engine that executes it, and that its caller sends again
// through any router.
func TestChatThatCrashesEnginesIsStopped(t *testing.T) {
	sendCrashingChats(t, provingEnds, func(i int) faultkit.ChatOptions {
		return faultkit.ChatOptions{Chat: fmt.Sprint("mill-", i), Text: "the same text"}
	})
}

// Guards against a message that crashes every engine that answers a chat with it, where no two chats are
// alike.
func TestMessageThatCrashesEnginesIsStopped(t *testing.T) {
	sendCrashingChats(t, provingPartEnds, func(i int) faultkit.ChatOptions {
		return faultkit.ChatOptions{
			Chat: fmt.Sprint("mill-", i), Text: fmt.Sprint("text ", i),
			History: []wire.Message{{Role: "system", Content: "the same message"}, {Role: "user", Content: fmt.Sprint("earlier text ", i)}},
		}
	})
}

// sendCrashingChats sends chats that each crash the engine that executes them, to one router after the
// other, and checks how many engines end later than crashKnownBound after the proving one.
func sendCrashingChats(t *testing.T, proving int, options func(i int) faultkit.ChatOptions) {
	inCluster(t, 3, faultkit.Options{Engines: 6}, func(t *testing.T, cl *faultkit.Cluster) {
		var all []board.Router
		for _, r := range cl.Routers {
			all = append(all, r.BoardEntry())
		}
		for _, r := range cl.Routers {
			r.SetView(all...)
		}
		time.Sleep(warmUp)
		for _, e := range cl.Oracle.Engines() {
			e.Inject(engine.Fault{Kind: engine.FaultCrash})
		}
		stop := make(chan struct{})
		defer close(stop)
		go restartCrashed(cl, stop)
		var provenAt time.Time
		atBound := -1
		for i := range crashingTurns {
			c, err := cl.Client(cl.Routers[i%len(cl.Routers)])
			require.NoError(t, err)
			o := options(i)
			o.Tokens, o.Deadline = 4, 2*time.Second
			_ = cl.SendTurn(c, o)
			c.Close()
			ends := lostRequests(cl)
			if ends >= proving && provenAt.IsZero() {
				provenAt = time.Now()
			}
			if atBound < 0 && !provenAt.IsZero() && time.Since(provenAt) > crashKnownBound {
				atBound = ends
			}
			time.Sleep(150 * time.Millisecond)
		}
		require.GreaterOrEqual(t, atBound, 0, "%d engines ended", lostRequests(cl))
		later := lostRequests(cl) - atBound
		t.Logf("%d engines ended, %d of them later than %v after the proving one", atBound+later, later, crashKnownBound)
		require.LessOrEqual(t, later, maxLaterEnds)
	})
}
