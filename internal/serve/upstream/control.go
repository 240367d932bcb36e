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
	// Gap is set if events are missing between the argument after of Events and the
	// last event of the page. The known state of the cache is then unreliable.
	Gap bool
}

// Status requests the status report of an upstream. If another upstream or
// incarnation responds, it returns that report together with an ErrIdentity
// failure, since a replacement VM may have the same IP address.
func (c *Client) Status(ctx context.Context, call Call) (wire.EngineStatus, error) {
	want := Call{Name: call.Name, Incarnation: call.Incarnation}
	call.Name = ""
	call.Incarnation = 0
	query := ""
	if call.Brief {
		query = url.Values{protocol.QueryBrief: {"1"}}.Encode()
	}
	var st wire.EngineStatus
	err := c.doControl(ctx, request{
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

// Events returns the cache events with sequence numbers above after. The next
// page is requested with the page's Next. Errors include ErrIdentity if another
// incarnation responds.
func (c *Client) Events(ctx context.Context, call Call, after uint64) (EventPage, error) {
	want := Call{Incarnation: call.Incarnation}
	call.Incarnation = 0
	var page EventPage
	err := c.doControl(ctx, request{
		op:     opEvents,
		method: http.MethodGet,
		path:   wire.PathEngineEvents,
		query:  url.Values{protocol.QueryAfter: {strconv.FormatUint(after, 10)}}.Encode(),
		call:   call,
		pooled: true,
		// Events repeat the same field names and compress well.
		acceptGzip: true,
	}, &page.CacheEvents)
	if err != nil {
		return EventPage{}, err
	}
	page.Gap = hasGap(page.Events, after)
	return page, checkIdentity(opEvents, want, "", page.Incarnation)
}

// hasGap reports whether the events are not consecutive, starting at after+1.
func hasGap(events []wire.CacheEvent, after uint64) bool {
	for _, e := range events {
		if e.Seq != after+1 {
			return true
		}
		after = e.Seq
	}
	return false
}

// Export returns the KV cache of the prefix with the given chain hash, in the
// engine's binary form.
func (c *Client) Export(ctx context.Context, call Call, prefix uint64) ([]byte, error) {
	body, err := json.Marshal(protocol.ExportRequest{Prefix: prefix})
	if err != nil {
		return nil, &Failure{Op: opExport, Sent: NotSent, Cause: ErrCall.Wrap(err)}
	}
	res, err := c.transfer(ctx, opExport, wire.PathEngineExport, protocol.TypeJSON, call, body)
	return res.Body, err
}

// Import loads a KV cache that Export returned into the engine.
func (c *Client) Import(ctx context.Context, call Call, kv []byte) error {
	_, err := c.transfer(ctx, opImport, wire.PathEngineImport, protocol.TypeBinary, call, kv)
	return err
}

func (c *Client) transfer(ctx context.Context, op, path, contentType string, call Call, body []byte) (Response, error) {
	return c.do(ctx, request{
		op:            op,
		method:        http.MethodPost,
		path:          path,
		body:          body,
		call:          call,
		contentType:   contentType,
		headerTimeout: c.opts.TransferTimeout,
	}, c.opts.MaxTransfer)
}

// doControl sends a short request and decodes its JSON response into out.
func (c *Client) doControl(ctx context.Context, r request, out any) error {
	r.headerTimeout = c.opts.CallTimeout
	r.accept = protocol.TypeJSON
	res, err := c.do(ctx, r, c.opts.MaxBody)
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
