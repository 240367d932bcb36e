// Package admission joins placement, permits, queues and limits into one
// question that a request asks: which engine may I use, and when?
package admission

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/board"
	"damaskrouter.example/damaskrouter/internal/config"
	"damaskrouter.example/damaskrouter/internal/placement"
	"damaskrouter.example/damaskrouter/internal/queue"
)

// Request is what admission needs to know of a request.
type Request struct {
	// ID is unique to the request across the fleet.
	ID      string
	Account *config.Account
	Class   queue.Class
	// Pools are the pools that can serve the request, in order of preference.
	Pools []*config.Pool
	// Deadline is when the caller stops waiting; zero for no limit of its own.
	Deadline time.Time
	// Place describes the request to placement.
	Place placement.Request
	// Avoid lists engines that have already failed this request.
	Avoid []uint64
}

// Grant is the right to send one request to one engine.
type Grant struct {
	Engine   board.Engine
	Decision placement.Decision
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Release gives the permit back. Only the first call has an effect.
	Release func()
}
