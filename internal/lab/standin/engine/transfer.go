package engine

import (
	"encoding/json"
	"net/http"

	"damaskrouter.example/damaskrouter/internal/serve/upstream/protocol"
	"github.com/labstack/echo/v4"
)

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
