package faults

import (
	"fmt"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"github.com/stretchr/testify/require"
)

const (
	// signalTurns is the number of chats sent to each router, turnInterval apart.
	signalTurns  = 40
	turnInterval = 50 * time.Millisecond
)

// sendTurns sends new chats to all routers in turn and returns how many were answered.
func sendTurns(t *testing.T, cl *faultkit.Cluster, name string) (answered int) {
	for i := range signalTurns * len(cl.Routers) {
		c, err := cl.Client(cl.Routers[i%len(cl.Routers)])
		require.NoError(t, err)
		chat := cl.SendTurn(c, faultkit.ChatOptions{Chat: fmt.Sprint(name, "-", i), Tokens: 2, Deadline: 2 * time.Second})
		c.Close()
		if chat.Err == nil {
			answered++
		}
		time.Sleep(turnInterval / time.Duration(len(cl.Routers)))
	}
	return answered
}

// Guards against requests to an engine that refuses them because it leaves, while neither the VM list
// nor its own reports say so.
func TestEngineThatRefusesAsLeavingGetsNoMoreRequests(t *testing.T) {
	inCluster(t, 3, faultkit.Options{Engines: 4}, func(t *testing.T, cl *faultkit.Cluster) {
		leaving := cl.Oracle.Engine(firstEngine)
		leaving.Inject(engine.Fault{Kind: engine.FaultRefuse, Code: protocol.CodeLeaving})
		answered := sendTurns(t, cl, "leaving")
		require.Equal(t, signalTurns*len(cl.Routers), answered)
		require.LessOrEqual(t, leaving.Stats().Refused, len(cl.Routers), "one for each router")
		leaving.ClearFaults()
		executed := len(leaving.Stats().Runs)
		sendTurns(t, cl, "later")
		require.Len(t, leaving.Stats().Runs, executed, "leaving is final")
	})
}

// Guards against requests to an engine that refuses them and states for how long, and against an
// engine that gets none after that time.
func TestEngineThatRefusesWithRetryAfterIsPaused(t *testing.T) {
	inCluster(t, 3, faultkit.Options{Engines: 4}, func(t *testing.T, cl *faultkit.Cluster) {
		paused := cl.Oracle.Engine(firstEngine)
		paused.Inject(engine.Fault{Kind: engine.FaultRefuse, Code: protocol.CodeQueueFull, RetryAfter: "1.5"})
		started := time.Now()
		answered := sendTurns(t, cl, "paused")
		require.Equal(t, signalTurns*len(cl.Routers), answered)
		pauses := 1 + int(time.Since(started)/(1500*time.Millisecond))
		require.LessOrEqual(t, paused.Stats().Refused, 2*pauses*len(cl.Routers))
		require.Positive(t, paused.Stats().Refused)
		paused.ClearFaults()
		executed := len(paused.Stats().Runs)
		require.Equal(t, signalTurns*len(cl.Routers), sendTurns(t, cl, "after"))
		require.Greater(t, len(paused.Stats().Runs), executed, "the engine is used again, and was not ejected")
	})
}

// Guards against chats that wait, or are told to retry too soon, while all engines are paused.
func TestChatIsRefusedWhileAllEnginesArePaused(t *testing.T) {
	inCluster(t, 1, faultkit.Options{Engines: 2}, func(t *testing.T, cl *faultkit.Cluster) {
		for _, e := range cl.Oracle.Engines() {
			e.Inject(engine.Fault{Kind: engine.FaultRefuse, Code: protocol.CodeQueueFull, RetryAfter: "20"})
		}
		send := func(name string) faultkit.Chat {
			c, err := cl.Client()
			require.NoError(t, err)
			defer c.Close()
			return cl.SendTurn(c, faultkit.ChatOptions{Chat: name, Tokens: 2, Deadline: 4 * time.Second})
		}
		refusals := func() (n int) {
			for _, e := range cl.Oracle.Engines() {
				n += e.Stats().Refused
			}
			return n
		}
		require.Error(t, send("first").Err)
		known := refusals()
		require.Error(t, send("second").Err)
		require.LessOrEqual(t, refusals(), max(known, len(cl.Oracle.Engines())))
		for _, e := range cl.Oracle.Engines() {
			e.ClearFaults()
		}
		time.Sleep(21 * time.Second)
		require.NoError(t, send("third").Err)
	})
}
