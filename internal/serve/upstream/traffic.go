package upstream

import "damaskrouter.example/damaskrouter/internal/base/engineconn"

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
		Status:    bytesOf(&m.status),
		Events:    bytesOf(&m.events),
		Transfers: bytesOf(&m.transfers),
	}
}

// meters are the kinds that are counted.
type meters struct{ status, events, transfers engineconn.Traffic }

func bytesOf(t *engineconn.Traffic) Bytes { return Bytes{In: t.In.Load(), Out: t.Out.Load()} }

// of returns the meter of an operation, or nil if it isn't counted.
func (m *meters) of(op string) *engineconn.Traffic {
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
