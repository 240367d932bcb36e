package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/zeebo/xxh3"

	api "damaskrouter.example/damaskrouter/internal/platform"
)

// Paths that only the stand-in has.
const (
	PathFaults = "/standin/faults"
	PathLag    = "/standin/lag"
	PathStats  = "/standin/stats"
)

// maxBody bounds a request's body, in bytes.
const maxBody = 64 << 20

// Lag is the body of a change of the VM list's lag.
type Lag struct {
	MS int64 `json:"ms"`
}

// Weights describes what the weight store holds for a version of a model.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
}

func (s *Server) txn(c echo.Context) error {
	var req api.TxnRequest
	if err := decode(c, &req); err != nil {
		return err
	}
	s.counts.seenTxn(req.ID)
	rows, err := s.store.Commit(req.Writes)
	s.counts.update(func(st *Stats) { st.Writes[req.Use]++ })
	var conflict *api.ConflictError
	if errors.As(err, &conflict) {
		return c.JSON(http.StatusConflict, api.TxnConflict{ID: req.ID, Current: conflict.Current})
	}
	if err != nil {
		return err
	}
	s.counts.update(func(st *Stats) { st.Rows[req.Use] += uint64(len(rows)) })
	return c.JSON(http.StatusOK, api.TxnReply{ID: req.ID, Rows: rows})
}

func (s *Server) getRow(c echo.Context) error {
	s.countRead(c)
	row, err := s.store.Get(c.QueryParam(api.ParamTable), c.QueryParam(api.ParamKey))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, row)
}

func (s *Server) scan(c echo.Context) error {
	s.countRead(c)
	limit, err := strconv.Atoi(c.QueryParam(api.ParamLimit))
	if err != nil {
		return api.ErrInvalid.Wrap(err)
	}
	rows, err := s.store.Scan(c.QueryParam(api.ParamTable), c.QueryParam(api.ParamFrom), c.QueryParam(api.ParamTo), limit)
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, api.RowsReply{Rows: rows})
}

func (s *Server) countRead(c echo.Context) {
	use := api.Use(c.QueryParam(api.ParamUse))
	s.counts.update(func(st *Stats) { st.Reads[use]++ })
}

func (s *Server) putObject(c echo.Context) error {
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return api.ErrInvalid.Wrap(err)
	}
	s.counts.update(func(st *Stats) { st.Writes[useObjects]++ })
	if err := s.store.PutObject(c.Param("*"), data); err != nil {
		return err
	}
	return c.NoContent(http.StatusNoContent)
}

// useObjects counts the object store's calls, which carry no use.
const useObjects api.Use = "objects"

func (s *Server) getObject(c echo.Context) error {
	s.counts.update(func(st *Stats) { st.Reads[useObjects]++ })
	data, err := s.store.GetObject(c.Param("*"))
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, data)
}

func (s *Server) listVMs(c echo.Context) error {
	body, err := json.Marshal(api.VMsReply{VMs: s.vms.List()})
	if err != nil {
		return err
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxh3.Hash(body), 16))
	c.Response().Header().Set("ETag", etag)
	if c.Request().Header.Get("If-None-Match") == etag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, body)
}

func (s *Server) putVM(c echo.Context) error {
	var vm api.VM
	if err := decode(c, &vm); err != nil {
		return err
	}
	vm.Name = c.Param("name")
	s.vms.Put(vm)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) deleteVM(c echo.Context) error {
	s.vms.Delete(c.Param("name"))
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) getWeights(c echo.Context) error {
	s.counts.update(func(st *Stats) { st.WeightFetches++ })
	return c.JSON(http.StatusOK, Weights{Model: c.Param("model"), Version: c.Param("version")})
}

func (s *Server) setFaults(c echo.Context) error {
	var f Faults
	if err := decode(c, &f); err != nil {
		return err
	}
	if !s.faults.set(f) {
		return api.ErrInvalid.New("unknown kind %q", f.Kind)
	}
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) setLag(c echo.Context) error {
	var lag Lag
	if err := decode(c, &lag); err != nil {
		return err
	}
	s.vms.SetLag(time.Duration(lag.MS) * time.Millisecond)
	return c.NoContent(http.StatusNoContent)
}

func (s *Server) getStats(c echo.Context) error {
	return c.JSON(http.StatusOK, s.Stats())
}

// decode reads a JSON body; what can't be read is platform.ErrInvalid.
func decode(c echo.Context, v any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxBody)
	return api.ErrInvalid.Wrap(json.NewDecoder(body).Decode(v))
}
