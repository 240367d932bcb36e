package upstream

import "damaskrouter.example/damaskrouter/internal/base/engineconn"

// Bytes is the traffic of one kind of call, in bytes received and sent.
type Bytes struct {
	In  int64 `json:"in"`
	Out int64 `json:"out"`
}

// Traffic is the traffic of control calls since the client was created. It
// counts the bytes read from and written to connections during such calls:
// request and status lines, headers, framing and bodies, including those of
// failed calls. TCP and IP headers, handshakes and acknowledgements are not
// counted, nor are streams and calls to plain services, which carry the traffic
// of callers.
type Traffic struct {
	Status Bytes `json:"status"`
	Events Bytes `json:"events"`
	// Transfers counts exports and imports of KV cache.
	Transfers Bytes `json:"transfers"`
}

// Since returns the traffic between an earlier reading and t.
func (t Traffic) Since(earlier Traffic) Traffic {
	return Traffic{
		Status:    t.Status.since(earlier.Status),
		Events:    t.Events.since(earlier.Events),
		Transfers: t.Transfers.since(earlier.Transfers),
	}
}

// Total returns the sum of both directions.
func (b Bytes) Total() int64 { return b.In + b.Out }

func (b Bytes) since(earlier Bytes) Bytes {
	return Bytes{In: b.In - earlier.In, Out: b.Out - earlier.Out}
}

// Traffic returns the traffic of control calls since New.
func (c *Client) Traffic() Traffic {
	m := &c.traffic
	return Traffic{
		Status:    bytesOf(&m.status),
		Events:    bytesOf(&m.events),
		Transfers: bytesOf(&m.transfers),
	}
}

// trafficCounters holds the counters of the operations that Traffic covers.
type trafficCounters struct{ status, events, transfers engineconn.Traffic }

func bytesOf(t *engineconn.Traffic) Bytes { return Bytes{In: t.In.Load(), Out: t.Out.Load()} }

// forOperation returns the counter of an operation, or nil if it isn't counted.
func (m *trafficCounters) forOperation(op string) *engineconn.Traffic {
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
