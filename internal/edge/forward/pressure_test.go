package forward

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// silentCaller is a caller that reads nothing: writes block until their deadline.
type silentCaller struct {
	*httptest.ResponseRecorder
	expired chan struct{}
}

func newSilentCaller() *silentCaller {
	return &silentCaller{ResponseRecorder: httptest.NewRecorder(), expired: make(chan struct{})}
}

func (c *silentCaller) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		close(c.expired)
	}
	return nil
}

func (c *silentCaller) Write([]byte) (int, error) {
	<-c.expired
	return 0, os.ErrDeadlineExceeded
}

// newHeldExchange returns an exchange that holds memory, if the router has taken it on.
func (tr *testRouter) newHeldExchange(w http.ResponseWriter) (*exchange, *Refusal) {
	x := tr.newExchange(context.Background())
	x.w = w
	return x, x.holdMemory()
}

// Guards against callers that read nothing and hold the memory of a router, so that others are refused until
// the answers' deadlines, and against a log that calls them callers that left.
func TestSilentCallersAreGivenUpForOthers(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		tr.f.SetMemory(10 * exchangeMemory)
		done := make(chan *exchange, 10)
		for range 10 {
			x, refusal := tr.newHeldExchange(newSilentCaller())
			require.Nil(t, refusal)
			go func() {
				if x.writeEvents(http.NewResponseController(x.w), []byte("data\n\n")) != nil {
					x.releaseMemory()
				}
				done <- x
			}()
		}
		time.Sleep(500 * time.Millisecond)
		_, refusal := tr.newHeldExchange(httptest.NewRecorder())
		require.Equal(t, ReasonNoMemory, refusal.Reason)
		require.Equal(t, http.StatusServiceUnavailable, refusal.Status)
		require.Positive(t, refusal.RetryAfter)
		require.Empty(t, done, "a pause of half a second")
		time.Sleep(time.Second)
		_, refusal = tr.newHeldExchange(httptest.NewRecorder())
		require.NotNil(t, refusal, "the memory returns when the others have ended")
		x := <-done
		require.Equal(t, ReasonSlowCaller, x.disconnectRefusal().Reason)
		time.Sleep(100 * time.Millisecond)
		_, refusal = tr.newHeldExchange(httptest.NewRecorder())
		require.Nil(t, refusal)
		state := tr.f.Memory()
		require.Equal(t, int64(2), state.Refused)
		require.True(t, state.Short)
		require.Equal(t, int64(2), state.GivenUp, "as few as are sufficient")
		require.LessOrEqual(t, state.Used, state.Limit)
		tr.f.SetMemory(1)
		time.Sleep(time.Minute)
		require.False(t, tr.f.Memory().Short)
		_, refusal = tr.newHeldExchange(httptest.NewRecorder())
		require.NotNil(t, refusal)
		for range 9 {
			<-done
		}
	})
}

// Guards against bodies of unknown length that exceed the memory, and against bodies that are lost at
// the steps in which they are counted.
func TestBodiesAreCounted(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		tr.snapshot.Config = catalog.NewConfig(catalog.Config{Version: 1})
		read := func(length int) (*exchange, *Refusal) {
			x, refusal := tr.newHeldExchange(httptest.NewRecorder())
			require.Nil(t, refusal)
			defer x.releaseMemory()
			x.r.Body = http.NoBody
			x.r = httptest.NewRequest(http.MethodPost, "/", struct{ *strings.Reader }{strings.NewReader(strings.Repeat("x", length))})
			x.r.ContentLength = -1
			x.snapshot = tr.snapshot
			return x, x.readBody()
		}
		tr.f.SetMemory(exchangeMemory + 3*memoryStep)
		for _, length := range []int{0, 1, memoryStep, 2*memoryStep + 1} {
			x, refusal := read(length)
			require.Nil(t, refusal)
			require.Len(t, x.body, length)
		}
		_, refusal := read(5 * memoryStep)
		require.Equal(t, ReasonNoMemory, refusal.Reason)
		require.Zero(t, tr.f.Memory().Used)
	})
}

// Guards against an incomplete event, of up to a megabyte, that is held beyond the memory.
func TestIncompleteEventsAreCounted(t *testing.T) {
	withTestRouter(t, 1, func(tr *testRouter) {
		tr.f.SetMemory(exchangeMemory + 2*memoryStep)
		x, refusal := tr.newHeldExchange(httptest.NewRecorder())
		require.Nil(t, refusal)
		splitter := &eventSplitter{}
		held := 0
		for x.holdPending(len(splitter.pending)) {
			held = len(splitter.pending)
			splitter.add(bytes.Repeat([]byte("x"), 1000))
		}
		require.GreaterOrEqual(t, held, 2*memoryStep)
		require.LessOrEqual(t, held, 3*memoryStep)
	})
}
