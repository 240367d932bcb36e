package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
)

// EventPage is a page of an engine's cache events.
type EventPage struct {
	wire.CacheEvents
	// Gap is set where events between the one asked for and the first one
	// returned are missing: what is known of the cache is then doubtful.
	Gap bool
}

// Status asks an upstream for its report. Where another upstream or another
// incarnation answers, it returns that report together with an ErrIdentity
// failure: a replaced VM may have come back with the same IP address.
func (c *Client) Status(ctx context.Context, call Call) (wire.EngineStatus, error) {
	want := Call{Name: call.Name, Incarnation: call.Incarnation}
	call.Name = ""
	call.Incarnation = 0
	query := ""
	if call.Brief {
		query = url.Values{protocol.QueryBrief: {"1"}}.Encode()
	}
	var st wire.EngineStatus
	err := c.control(ctx, request{
		op:     opStatus,
		method: http.MethodGet,
		path:   wire.PathEngineStatus,
		query:  query,
		call:   call,
		pooled: true,
	}, &st)
	if err != nil {
		return wire.EngineStatus{}, err
	}
	return st, checkIdentity(opStatus, want, st.Name, st.Incarnation)
}

// Events returns the cache events after sequence number after. Ask next with
// the page's Next.
func (c *Client) Events(ctx context.Context, call Call, after uint64) (EventPage, error) {
	want := Call{Incarnation: call.Incarnation}
	call.Incarnation = 0
	var page EventPage
	err := c.control(ctx, request{
		op:     opEvents,
		method: http.MethodGet,
		path:   wire.PathEngineEvents,
		query:  url.Values{protocol.QueryAfter: {strconv.FormatUint(after, 10)}}.Encode(),
		call:   call,
		pooled: true,
		// A page of events is numbers in the same few words over and over.
		packed: true,
	}, &page.CacheEvents)
	if err != nil {
		return EventPage{}, err
	}
	page.Gap = hasGap(page.Events, after)
	return page, checkIdentity(opEvents, want, "", page.Incarnation)
}

// hasGap reports whether the sequence numbers after the given one have a hole.
func hasGap(events []wire.CacheEvent, after uint64) bool {
	for _, e := range events {
		if e.Seq != after+1 {
			return true
		}
		after = e.Seq
	}
	return false
}

// Export fetches the KV cache of the prefix.
func (c *Client) Export(ctx context.Context, call Call, prefix uint64) ([]byte, error) {
	body, err := json.Marshal(protocol.ExportRequest{Prefix: prefix})
	if err != nil {
		return nil, &Failure{Op: opExport, Sent: NotSent, Cause: ErrCall.Wrap(err)}
	}
	res, err := c.transfer(ctx, opExport, wire.PathEngineExport, protocol.TypeJSON, call, body)
	return res.Body, err
}

// Import stores a KV cache that Export returned.
func (c *Client) Import(ctx context.Context, call Call, kv []byte) error {
	_, err := c.transfer(ctx, opImport, wire.PathEngineImport, protocol.TypeBinary, call, kv)
	return err
}

func (c *Client) transfer(ctx context.Context, op, path, typ string, call Call, body []byte) (Response, error) {
	return c.whole(ctx, request{
		op:      op,
		method:  http.MethodPost,
		path:    path,
		body:    body,
		call:    call,
		typ:     typ,
		headers: c.opts.TransferTimeout,
	}, c.opts.MaxTransfer)
}

// control runs a short call and decodes its JSON reply into out.
func (c *Client) control(ctx context.Context, r request, out any) error {
	r.headers = c.opts.CallTimeout
	r.accept = protocol.TypeJSON
	res, err := c.whole(ctx, r, c.opts.MaxBody)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(res.Body, out); err != nil {
		return &Failure{Op: r.op, Sent: SentNoReply, Status: res.Status, Cause: ErrMalformed.Wrap(err)}
	}
	return nil
}

func checkIdentity(op string, want Call, name string, incarnation uint64) error {
	if want.Name != "" && want.Name != name {
		return identityFailure(op, "name %q instead of %q", name, want.Name)
	}
	if want.Incarnation != 0 && want.Incarnation != incarnation {
		return identityFailure(op, "incarnation %d instead of %d", incarnation, want.Incarnation)
	}
	return nil
}

func identityFailure(op, format string, args ...any) *Failure {
	return &Failure{Op: op, Sent: Replied, Status: http.StatusOK, Cause: ErrIdentity.New(format, args...)}
}
