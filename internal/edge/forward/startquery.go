package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

const (
	// queryTimeout bounds the time to query an engine for its start.
	queryTimeout = 300 * time.Millisecond
	// maxStartReply is the longest reply, in bytes.
	maxStartReply = 64 << 10
)

// StatedStart is the time of its start that an engine has stated, as in its entry, and when the connection on
// which it did was open: its process had begun by then.
type StatedStart struct {
	Born     int64
	OpenedAt time.Duration
}

// QueryStart returns a function that queries an engine for the time of its start. It opens a connection of its own.
func QueryStart(conns *engineconn.Pool, codec Codec) func(catalog.Engine) (StatedStart, error) {
	return func(e catalog.Engine) (StatedStart, error) {
		reply, err := requestStart(conns, codec, e)
		if err != nil {
			return StatedStart{}, err
		}
		born, err := codec.StartOf(reply.status, reply.body)
		return StatedStart{Born: born, OpenedAt: reply.openedAt}, err
	}
}

// isStart reports whether an engine states, on a new connection, that it is the start of its entry. One whose entry states
// no time of its start has another ID after each.
func isStart(conns *engineconn.Pool, codec Codec, e catalog.Engine) bool {
	reply, err := requestStart(conns, codec, e)
	if err != nil || reply.status != http.StatusOK {
		return false
	}
	if e.Born == 0 {
		return true
	}
	born, err := codec.StartOf(reply.status, reply.body)
	return err == nil && born == e.Born
}

// startReply is the reply to a request for the start of an engine, which another engine rejects.
type startReply struct {
	status   int
	body     []byte
	openedAt time.Duration
}

func requestStart(conns *engineconn.Pool, codec Codec, e catalog.Engine) (startReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	method, target, header := codec.StartRequest(e)
	response, err := conns.Send(ctx, engineTarget(e), &engineconn.Request{
		Method: method, Target: target, Host: e.Address, Header: header, Repeatable: true,
		MaxIdle: newConnection, MaxIdleConns: maxIdleConns,
		Matches: func(http.Header) bool { return true },
	})
	if err != nil {
		return startReply{}, err
	}
	defer response.Close()
	body, err := io.ReadAll(io.LimitReader(response, maxStartReply))
	return startReply{status: response.Status, body: body, openedAt: response.OpenedAt()}, err
}

// newConnection as a maximum idle time forces a new connection.
const newConnection = -1
