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

// caller is an authenticated request's view of the fleet: everything it reads
// comes from one snapshot.
type caller struct {
	account  *config.Account
	snapshot *board.Snapshot
	config   *config.Effective
	chatID   string
	// chat is the affinity key of the account's chat, or 0. It is derived
	// from the account too, so that equal chat ids of two accounts differ.
	chat     uint64
	class    queue.Class
	deadline time.Time
}

const bearer = "Bearer "

// maxDeadline bounds the wait that a caller may ask for.
const maxDeadline = time.Hour

// authenticate finds the client account and reads the common headers.
func (s *Server) authenticate(c echo.Context) (*caller, error) {
	snap := s.Board.Snapshot()
	if snap.Config == nil {
		return nil, notReady()
	}
	account, err := accountOf(snap.Config, c.Request())
	if err != nil {
		return nil, err
	}
	who := &caller{account: account, snapshot: snap, config: snap.Config}
	if err := who.readHeaders(c.Request().Header); err != nil {
		return nil, err
	}
	return who, nil
}

func accountOf(cfg *config.Effective, r *http.Request) (*config.Account, error) {
	unauthorized := apierr.New(apierr.CodeUnauthorized, http.StatusUnauthorized, "missing or unknown API key")
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || key == "" {
		return nil, unauthorized
	}
	account, ok := cfg.AccountByKeyHash(access.HashSecret(key).String())
	if !ok {
		return nil, unauthorized
	}
	return account, nil
}

func (w *caller) readHeaders(h http.Header) error {
	w.setChat(h.Get(wire.HeaderChatID))
	if w.chatID != "" && !validID(w.chatID) {
		return httperr.BadRequest("malformed " + wire.HeaderChatID)
	}
	if err := w.setClass(h.Get(wire.HeaderPriority)); err != nil {
		return err
	}
	return w.setDeadline(h.Get(wire.HeaderDeadlineMS))
}

func (w *caller) setChat(id string) {
	w.chatID = id
	if id != "" {
		w.chat = prefix.ChatID(w.account.Name, id)
	}
}

// setClass takes the class asked for, but none above the account's own limit.
func (w *caller) setClass(name string) error {
	class, err := queue.ParseClass(name)
	if err != nil {
		return httperr.BadRequest("unknown class in " + wire.HeaderPriority).WithCause(err)
	}
	highest, err := queue.ParseClass(w.account.MaxPriority)
	if err != nil {
		highest = queue.Normal
	}
	w.class = max(class, highest)
	return nil
}

func (w *caller) setDeadline(ms string) error {
	if ms == "" {
		return nil
	}
	n, err := strconv.ParseInt(ms, 10, 64)
	if err != nil || n <= 0 || n > maxDeadline.Milliseconds() {
		return httperr.BadRequest("malformed " + wire.HeaderDeadlineMS)
	}
	w.deadline = time.Now().Add(time.Duration(n) * time.Millisecond)
	return nil
}
