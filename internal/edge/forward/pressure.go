package forward

import (
	"io"
	"net/http"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/pressure"
	"damaskrouter.example/damaskrouter/internal/edge/flow"
	"github.com/zeebo/errs"
)

const (
	// exchangeMemory is what a request holds beside its body and its answer: connections, buffers, headers
	// and stacks.
	exchangeMemory = 48 << 10
	// memoryStep is the size of the steps in which bodies and answers of unknown length are counted.
	memoryStep = 32 << 10
	// relieveInterval is the least time between two searches for answers to give up. A search looks at all
	// requests.
	relieveInterval = 50 * time.Millisecond
)

// errNoMemory means that a body or an answer does not fit into the memory for requests.
var errNoMemory = errs.Class("memory for requests used up")

// requestMemory bounds the memory that the requests of this router hold. It is safe for concurrent use.
type requestMemory struct {
	clock func() time.Duration

	mu     sync.Mutex
	budget *pressure.Budget
	// giveUp holds by request the function that gives up its answer.
	giveUp     map[uint64]func()
	relievedAt time.Duration
	refused    int64
	refusedAt  time.Duration
	givenUp    int64
}

// RequestMemory is the state of the memory for requests of a router, in bytes.
type RequestMemory struct {
	Limit    int64 `json:"limit"`
	Used     int64 `json:"used"`
	Requests int   `json:"requests"`
	// Refused is the number of requests that were refused for want of memory, and GivenUp that of the
	// answers that were given up because their callers read nothing.
	Refused int64 `json:"refused"`
	GivenUp int64 `json:"given_up"`
	// Short is set if a request was refused within the last shortFor.
	Short bool `json:"short"`
}

// shortFor is how long a router counts as short of memory after it refused a request: long enough for an
// operator who lists the routers every few seconds.
const shortFor = 10 * time.Second

func newRequestMemory(clock func() time.Duration) *requestMemory {
	return &requestMemory{clock: clock, budget: pressure.New(flow.UrgencyClasses), giveUp: make(map[uint64]func())}
}

// SetMemory sets the memory that the requests of this router may hold, in bytes; zero for no bound.
func (f *Forwarder) SetMemory(limit int64) {
	f.memory.mu.Lock()
	defer f.memory.mu.Unlock()
	f.memory.budget.SetLimit(limit)
}

// Memory returns the state of the memory for requests.
func (f *Forwarder) Memory() RequestMemory {
	m := f.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	used, requests := m.budget.Used()
	return RequestMemory{
		Limit: m.budget.Limit(), Used: used, Requests: requests, Refused: m.refused, GivenUp: m.givenUp,
		Short: m.refused > 0 && m.clock()-m.refusedAt < shortFor,
	}
}

// admit takes on a request of an urgency class. giveUp gives up its answer; it is called at most once, and must
// not block.
func (m *requestMemory) admit(class int, bytes int64, giveUp func()) (id uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id, ok = m.budget.Admit(class, bytes)
	if !ok {
		m.refused++
		m.refusedAt = m.clock()
		m.relieve(bytes)
		return 0, false
	}
	m.giveUp[id] = giveUp
	return id, true
}

// grow adds to what a request holds, or returns false if that exceeds the memory.
func (m *requestMemory) grow(id uint64, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget.Grow(id, bytes) {
		return true
	}
	m.relieve(bytes)
	return false
}

func (m *requestMemory) shrink(id uint64, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Shrink(id, bytes)
}

// relieve gives up answers whose callers read nothing. The memory returns when their requests have ended. The
// caller holds the mutex.
func (m *requestMemory) relieve(bytes int64) {
	now := m.clock()
	if now-m.relievedAt < relieveInterval {
		return
	}
	m.relievedAt = now
	for _, id := range m.budget.Relieve(now, bytes) {
		m.givenUp++
		m.giveUp[id]()
	}
}

func (m *requestMemory) end(id uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.End(id)
	delete(m.giveUp, id)
}

// wait records whether a write to the caller of a request is in progress, which blocks while the caller reads
// nothing.
func (m *requestMemory) wait(id uint64, inProgress bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if inProgress {
		m.budget.Wait(id, m.clock())
		return
	}
	m.budget.Resume(id)
}

// holdMemory counts the request and its body, if that is not too large to be taken on.
func (x *exchange) holdMemory() *Refusal {
	control := http.NewResponseController(x.w)
	id, ok := x.f.memory.admit(x.urgency(), exchangeMemory+max(x.r.ContentLength, 0), func() {
		x.givenUp.Store(true)
		// A write that waits for the caller fails at once. Connections of tests may support no deadlines.
		_ = control.SetWriteDeadline(time.Unix(1, 0))
	})
	if !ok {
		return notExecuted(ReasonNoMemory, retrySoon)
	}
	x.memoryID = id
	return nil
}

// releaseMemory ends the count of the request.
func (x *exchange) releaseMemory() {
	if x.memoryID != 0 {
		x.f.memory.end(x.memoryID)
	}
}

// callerWriter records in the memory for requests while a write to the caller is in progress.
type callerWriter struct{ x *exchange }

func (w callerWriter) Write(p []byte) (int, error) {
	w.x.f.memory.wait(w.x.memoryID, true)
	defer w.x.f.memory.wait(w.x.memoryID, false)
	return w.x.w.Write(p)
}

// writeEvents writes complete events of a stream to the caller at once.
func (x *exchange) writeEvents(control *http.ResponseController, events []byte) error {
	x.f.memory.wait(x.memoryID, true)
	defer x.f.memory.wait(x.memoryID, false)
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return control.Flush()
}

// holdPending counts what is held of an incomplete event, or returns false if it exceeds the memory. The
// first bytes are counted with the request.
func (x *exchange) holdPending(bytes int) bool {
	for int64(bytes) > x.pendingHeld+memoryStep/2 {
		if !x.f.memory.grow(x.memoryID, memoryStep) {
			return false
		}
		x.pendingHeld += memoryStep
	}
	return true
}

// dropPending ends the count of an incomplete event that was discarded.
func (x *exchange) dropPending() {
	x.f.memory.shrink(x.memoryID, x.pendingHeld)
	x.pendingHeld = 0
}

// counted returns a reader whose bytes beyond those already counted are added to what the request holds. It
// fails with errNoMemory, and without having read more, where that exceeds the memory.
func (x *exchange) counted(r io.Reader, already int64) *countedReader {
	return &countedReader{x: x, r: r, left: already}
}

type countedReader struct {
	x    *exchange
	r    io.Reader
	left int64
	// held is what was counted.
	held int64
}

func (c *countedReader) Read(p []byte) (int, error) {
	if c.x.memoryID == 0 {
		return c.r.Read(p)
	}
	if c.left <= 0 {
		if !c.x.f.memory.grow(c.x.memoryID, memoryStep) {
			return 0, errNoMemory.New("")
		}
		c.left += memoryStep
		c.held += memoryStep
	}
	n, err := c.r.Read(p[:min(int64(len(p)), c.left)])
	c.left -= int64(n)
	return n, err
}

// drop ends the count of bytes that were discarded.
func (c *countedReader) drop() {
	c.x.f.memory.shrink(c.x.memoryID, c.held)
	c.held = 0
}
