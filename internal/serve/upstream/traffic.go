package upstream

import (
	"io"
	"sync/atomic"
)

// Bytes is the traffic of one kind of call, in bytes.
type Bytes struct {
	In  int64 `json:"in"`
	Out int64 `json:"out"`
}

// Traffic is the traffic of control calls so far. It is what was read from and
// written to the connections while they served such a call: request and status
// lines, headers, framing and bodies, with calls that failed. Headers of TCP
// and IP, handshakes and acknowledgements are left out, and so are streams and
// calls to plain services, which are the callers' own traffic.
type Traffic struct {
	Status Bytes `json:"status"`
	Events Bytes `json:"events"`
	// Transfers are exports and imports of KV cache.
	Transfers Bytes `json:"transfers"`
}

// Since returns the traffic after an earlier reading.
func (t Traffic) Since(earlier Traffic) Traffic {
	return Traffic{
		Status:    t.Status.since(earlier.Status),
		Events:    t.Events.since(earlier.Events),
		Transfers: t.Transfers.since(earlier.Transfers),
	}
}

// Total is both directions together.
func (b Bytes) Total() int64 { return b.In + b.Out }

func (b Bytes) since(earlier Bytes) Bytes {
	return Bytes{In: b.In - earlier.In, Out: b.Out - earlier.Out}
}

// Traffic returns the traffic of control calls so far.
func (c *Client) Traffic() Traffic {
	m := &c.meters
	return Traffic{
		Status:    m.status.bytes(),
		Events:    m.events.bytes(),
		Transfers: m.transfers.bytes(),
	}
}

// meter counts the bytes of one kind of call.
type meter struct{ in, out atomic.Int64 }

// write writes b to w and counts it; a nil meter only writes. It counts first,
// since the reply may be read before the transport's writer goes on.
func (m *meter) write(w io.Writer, b []byte) (int, error) {
	if m == nil {
		return w.Write(b)
	}
	m.out.Add(int64(len(b)))
	n, err := w.Write(b)
	m.out.Add(int64(n - len(b)))
	return n, err
}

func (m *meter) bytes() Bytes { return Bytes{In: m.in.Load(), Out: m.out.Load()} }

// meters are the kinds that are counted.
type meters struct{ status, events, transfers meter }

// of returns the meter of an operation, or nil if it isn't counted.
func (m *meters) of(op string) *meter {
	switch op {
	case opStatus:
		return &m.status
	case opEvents:
		return &m.events
	case opExport, opImport:
		return &m.transfers
	default:
		return nil
	}
}
