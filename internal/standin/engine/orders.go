package engine

import (
	"encoding/json"
	"net/http"
	"slices"

	"damaskrouter.example/damaskrouter/internal/upstream/protocol"
	"damaskrouter.example/damaskrouter/internal/wire"
	"github.com/labstack/echo/v4"
)

func (e *Engine) postOrder(c echo.Context) error {
	var o wire.Order
	if code := e.mayOrder(c); code != "" {
		return refuse(c, refusalStatus(code), code)
	}
	if err := json.NewDecoder(c.Request().Body).Decode(&o); err != nil {
		return refuse(c, http.StatusBadRequest, protocol.CodeBadRequest)
	}
	if code := e.obey(o); code != "" {
		return refuse(c, refusalStatus(code), code)
	}
	return c.JSON(http.StatusOK, e.Status())
}

func (e *Engine) mayOrder(c echo.Context) protocol.Code {
	auth := c.Request().Header.Get(echo.HeaderAuthorization)
	if e.opts.OrderToken != "" && auth != bearerPrefix+e.opts.OrderToken {
		return protocol.CodeSenderUnknown
	}
	if e.wrongIdentity(c) {
		return protocol.CodeWrongIdentity
	}
	return ""
}

// obey carries an order out, or returns why not.
func (e *Engine) obey(o wire.Order) protocol.Code {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := o.Fence < e.fence
	if old && e.opts.CheckFence {
		return protocol.CodeStaleFence
	}
	if !e.apply(o) {
		return protocol.CodeBadRequest
	}
	if old {
		e.ledger.books.OldFences++
	}
	e.fence = max(e.fence, o.Fence)
	e.ledger.books.Orders = append(e.ledger.books.Orders, o)
	return ""
}

// apply sets what the order declares. Another model or version makes the
// cached prefixes worthless.
func (e *Engine) apply(o wire.Order) bool {
	switch o.Kind {
	case wire.OrderLoadModel:
		e.replace(&e.model, o.Value)
	case wire.OrderVersion:
		e.replace(&e.version, o.Value)
	case wire.OrderLoadAdapter:
		if !slices.Contains(e.adapters, o.Value) {
			e.adapters = append(slices.Clone(e.adapters), o.Value)
		}
	case wire.OrderRole:
		e.role = o.Value
	default:
		return false
	}
	return true
}

func (e *Engine) replace(field *string, value string) {
	if *field == value {
		return
	}
	*field = value
	e.cache.evict(0)
}

func (e *Engine) postExport(c echo.Context) error {
	var req protocol.ExportRequest
	if err := json.NewDecoder(c.Request().Body).Decode(&req); err != nil {
		return refuse(c, http.StatusBadRequest, protocol.CodeBadRequest)
	}
	if e.wrongIdentity(c) {
		return refuse(c, http.StatusConflict, protocol.CodeWrongIdentity)
	}
	e.mu.Lock()
	chain := e.cache.chain(req.Prefix)
	e.mu.Unlock()
	if len(chain) == 0 {
		return refuse(c, http.StatusNotFound, protocol.CodeUnknownPrefix)
	}
	kv, err := encodeKV(chain, e.opts.KVBytesPerToken)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, protocol.TypeBinary, kv)
}

func (e *Engine) postImport(c echo.Context) error {
	if e.wrongIdentity(c) {
		return refuse(c, http.StatusConflict, protocol.CodeWrongIdentity)
	}
	chain, err := decodeKV(c.Request().Body)
	if err != nil {
		return refuse(c, http.StatusBadRequest, protocol.CodeBadRequest)
	}
	e.mu.Lock()
	e.cache.storeChain(chain)
	e.mu.Unlock()
	return c.NoContent(http.StatusNoContent)
}
