package traffic

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/prefix"
	"damaskrouter.example/damaskrouter/internal/decide/queue"
	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/labstack/echo/v4"
)

// callerInfo describes the caller of an authenticated request and the state
// from which the request is served. All fields come from one snapshot.
type callerInfo struct {
	account  *config.Account
	snapshot *board.Snapshot
	config   *config.Effective
	chatID   string
	// affinityKey identifies the chat, or is 0 if the request names none. It is
	// derived from the account as well, so equal chat ids of two accounts have
	// different keys.
	affinityKey uint64
	class       queue.Class
	deadline    time.Time
}

const bearerPrefix = "Bearer "

// maxDeadline is the longest timeout that a caller may set.
const maxDeadline = time.Hour

// authenticate finds the client account of a request and reads the common
// headers. Its errors are *apierr.Error.
func (s *Server) authenticate(c echo.Context) (*callerInfo, error) {
	snap := s.Board.Snapshot()
	if snap.Config == nil {
		return nil, notReadyError()
	}
	account, err := findAccount(snap.Config, c.Request())
	if err != nil {
		return nil, err
	}
	caller := &callerInfo{account: account, snapshot: snap, config: snap.Config}
	if err := caller.readHeaders(c.Request().Header); err != nil {
		return nil, err
	}
	return caller, nil
}

func findAccount(cfg *config.Effective, r *http.Request) (*config.Account, error) {
	unauthorized := apierr.New(apierr.CodeUnauthorized, http.StatusUnauthorized, "missing or unknown API key")
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok || key == "" {
		return nil, unauthorized
	}
	account, ok := cfg.AccountByKeyHash(access.HashSecret(key).String())
	if !ok {
		return nil, unauthorized
	}
	return account, nil
}

func (c *callerInfo) readHeaders(h http.Header) error {
	c.setChat(h.Get(wire.HeaderChatID))
	if c.chatID != "" && !validID(c.chatID) {
		return httperr.BadRequest("malformed " + wire.HeaderChatID)
	}
	if err := c.setClass(h.Get(wire.HeaderPriority)); err != nil {
		return err
	}
	return c.setDeadline(h.Get(wire.HeaderDeadlineMS))
}

func (c *callerInfo) setChat(id string) {
	c.chatID = id
	if id != "" {
		c.affinityKey = prefix.ChatID(c.account.Name, id)
	}
}

// setClass sets the priority class that the caller requests, limited to the
// account's highest.
func (c *callerInfo) setClass(name string) error {
	class, err := queue.ParseClass(name)
	if err != nil {
		return httperr.BadRequest("unknown class in " + wire.HeaderPriority).WithCause(err)
	}
	highest, err := queue.ParseClass(c.account.MaxPriority)
	if err != nil {
		highest = queue.Normal
	}
	c.class = max(class, highest)
	return nil
}

func (c *callerInfo) setDeadline(ms string) error {
	if ms == "" {
		return nil
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || n <= 0 || n > maxDeadline.Milliseconds() {
		return httperr.BadRequest("malformed " + wire.HeaderDeadlineMS)
	}
	c.deadline = time.Now().Add(time.Duration(n) * time.Millisecond)
	return nil
}
