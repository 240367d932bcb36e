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

// QueryStart returns a function that queries an engine for the time of its start. It opens a connection of its own.
func QueryStart(conns *engineconn.Pool, codec Codec) func(catalog.Engine) (born int64, err error) {
	return func(e catalog.Engine) (int64, error) {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		method, target, header := codec.StartRequest(e)
		response, err := conns.Send(ctx, engineTarget(e), &engineconn.Request{
			Method: method, Target: target, Host: e.Address, Header: header, Repeatable: true,
			MaxIdle: newConnection, MaxIdleConns: maxIdleConns,
			Matches: func(http.Header) bool { return true },
		})
		if err != nil {
			return 0, err
		}
		defer response.Close()
		body, err := io.ReadAll(io.LimitReader(response, maxStartReply))
		if err != nil {
			return 0, err
		}
		return codec.StartOf(response.Status, body)
	}
}

// newConnection as a maximum idle time forces a new connection.
const newConnection = -1
