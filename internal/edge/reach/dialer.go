package reach

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/base/pause"
	"github.com/charmbracelet/log"
)

const (
	// slowDial is the time after which a second connection is opened through another router. Within a
	// region a connection takes a few milliseconds.
	slowDial = 50 * time.Millisecond
	// directTimeout bounds the opening of a direct connection. A lost packet costs a second, in which
	// another way would have been found.
	directTimeout = 300 * time.Millisecond
	// relayedTimeout bounds the opening of a connection through another router.
	relayedTimeout = 500 * time.Millisecond
	// DialTimeout bounds both, one after the other.
	DialTimeout = directTimeout + relayedTimeout
	// otherEngines is the number of other engines that are tried to find out whether this router
	// reaches any.
	otherEngines = 3
	// checkInterval is how often lost paths are tried, checksAtOnce how many of them.
	checkInterval = 200 * time.Millisecond
	checksAtOnce  = 2
	// maxChecks limits the connections that are opened at once to check the paths under suspicion.
	maxChecks = 32
	// stallInterval is the minimum time between two checks of a connection on which nothing is
	// acknowledged.
	stallInterval = directTimeout
)

// Dialer opens connections to engines: directly, or through another router if the direct path is
// lost. It is safe for concurrent use.
type Dialer struct {
	Table *Table
	// Direct opens a direct connection.
	Direct engineconn.DialFunc
	Relays *Relays
	// Addresses returns the addresses of the registered engines.
	Addresses func() []string
	// PathLost is called when the direct path to an address is lost, and PathBack when it returns.
	PathLost, PathBack func(address string)
	// Silent is called when an engine that does not acknowledge a request can't be connected to either.
	Silent func(address string)
	// Context ends the checks in the background.
	Context context.Context
	Clock   Clock
	Log     *log.Logger

	mu sync.Mutex
	// stalls holds when the path to an address was last checked after a stall, for stallInterval.
	stalls map[string]time.Duration
}

// Dial opens a connection to an engine. If a direct one takes long or fails, it opens one through
// another router. Errors: of Direct, ErrEngineDown, ErrNoRelay.
func (d *Dialer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.Table.Mode(address) == Relayed {
		conn, err := d.dialRelayed(ctx, address)
		if !ErrNoRelay.Has(err) || !d.Table.Untried(address) {
			return conn, err
		}
		return d.dialDirect(ctx, network, address)
	}
	direct := d.startDirect(network, address)
	slow := time.NewTimer(slowDial)
	defer slow.Stop()
	select {
	case result := <-direct:
		return d.afterDirect(ctx, address, result)
	case <-ctx.Done():
		go d.attribute(address, direct)
		return nil, ctx.Err()
	case <-slow.C:
	}
	if d.Table.KnownDown(address) {
		result := d.await(ctx, address, direct)
		return result.conn, result.err
	}
	return d.race(ctx, address, direct)
}

// dialed is the result of an attempt to open a connection.
type dialed struct {
	conn net.Conn
	err  error
}

// close closes the connection, if there is one.
func (r dialed) close() {
	if r.conn != nil {
		_ = r.conn.Close()
	}
}

// startDirect begins to open a direct connection. The attempt outlives the request, since its outcome
// tells whether the path is lost.
func (d *Dialer) startDirect(network, address string) <-chan dialed {
	out := make(chan dialed, 1)
	go func() {
		conn, err := d.dialDirect(d.Context, network, address)
		out <- dialed{conn, err}
	}()
	return out
}

// await waits for a direct attempt.
func (d *Dialer) await(ctx context.Context, address string, direct <-chan dialed) dialed {
	select {
	case result := <-direct:
		return result
	case <-ctx.Done():
		go d.attribute(address, direct)
		return dialed{err: ctx.Err()}
	}
}

// afterDirect returns the result of a direct attempt, or a connection through another router if it
// failed.
func (d *Dialer) afterDirect(ctx context.Context, address string, direct dialed) (net.Conn, error) {
	if direct.err == nil || ctx.Err() != nil || d.Table.KnownDown(address) {
		return direct.conn, direct.err
	}
	conn, err := d.dialRelayed(ctx, address)
	return d.resolve(address, direct.err, dialed{conn, err})
}

// resolve returns the result of an attempt through another router after a direct one has failed.
func (d *Dialer) resolve(address string, directErr error, relayed dialed) (net.Conn, error) {
	if relayed.err == nil {
		d.lost(address)
		return relayed.conn, nil
	}
	if ErrEngineDown.Has(relayed.err) || d.ReachesOthers(address) {
		return nil, directErr
	}
	return nil, relayed.err
}

// race returns the connection that is opened first, the direct one or one through another router.
func (d *Dialer) race(ctx context.Context, address string, direct <-chan dialed) (net.Conn, error) {
	relayCtx, cancel := context.WithCancel(ctx)
	relayed := make(chan dialed, 1)
	go func() {
		conn, err := d.dialRelayed(relayCtx, address)
		relayed <- dialed{conn, err}
	}()
	select {
	case result := <-direct:
		if result.err == nil {
			cancel()
			go func() { (<-relayed).close() }()
			return result.conn, nil
		}
		defer cancel()
		return d.resolve(address, result.err, <-relayed)
	case result := <-relayed:
		cancel()
		if result.err == nil {
			go d.judge(address, direct)
			return result.conn, nil
		}
		own := d.await(ctx, address, direct)
		if own.err == nil || ctx.Err() != nil {
			return own.conn, own.err
		}
		return d.resolve(address, own.err, result)
	case <-ctx.Done():
		cancel()
		go func() { (<-relayed).close() }()
		go d.attribute(address, direct)
		return nil, ctx.Err()
	}
}

// ReachesOthers reports whether a failure to connect to an address is due to the engine there as far
// as this router can tell: it reaches an engine at another address, or knows of none.
func (d *Dialer) ReachesOthers(address string) bool {
	reached, try := d.Table.ReachedOther(address, d.Addresses(), otherEngines)
	if reached || len(try) == 0 {
		return true
	}
	results := make(chan error, len(try))
	for _, other := range try {
		go func() { results <- d.tryDirect(other) }()
	}
	for range try {
		if <-results == nil {
			return true
		}
	}
	return false
}

// judge waits for a direct attempt to an engine that another router reaches.
func (d *Dialer) judge(address string, direct <-chan dialed) {
	result := <-direct
	result.close()
	if result.err != nil && d.Context.Err() == nil {
		d.lost(address)
	}
}

// attribute waits for a direct attempt that the request did not wait for, and finds out whether the
// engine or the path is at fault if it fails.
func (d *Dialer) attribute(address string, direct <-chan dialed) {
	result := <-direct
	result.close()
	if result.err == nil || d.Context.Err() != nil || d.Table.KnownDown(address) || !d.mayCheckStall(address) {
		return
	}
	conn, err := d.dialRelayed(d.Context, address)
	dialed{conn, err}.close()
	if err == nil {
		d.lost(address)
	}
}

// dialDirect opens a direct connection and records the outcome.
func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	conn, err := d.Direct(dialCtx, network, address)
	switch {
	case err == nil:
		d.reached(address)
	case !errors.Is(ctx.Err(), context.Canceled):
		d.Table.Failed(address)
	}
	return conn, err
}

func (d *Dialer) reached(address string) {
	if d.Table.Reached(address) {
		d.PathBack(address)
	}
}

// dialRelayed opens a connection through another router.
func (d *Dialer) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayedTimeout)
	defer cancel()
	conn, err := d.Relays.Connect(ctx, address)
	if ErrEngineDown.Has(err) {
		d.Table.EngineFault(address)
	}
	return conn, err
}

// lost records that the direct path to an address is lost, and checks the others if it is not the
// first one.
func (d *Dialer) lost(address string) {
	isNew, check := d.Table.Lost(address)
	if isNew {
		d.PathLost(address)
	}
	if check {
		d.Log.Warn("paths to engines lost; checking the others", "address", address)
		go d.checkSuspected()
	}
}

// checkSuspected tries the direct paths that are under suspicion.
func (d *Dialer) checkSuspected() {
	defer d.Table.Checked()
	slots := make(chan struct{}, maxChecks)
	var wg sync.WaitGroup
	for _, address := range d.Table.Unchecked(d.Addresses()) {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if d.tryDirect(address) != nil && d.Context.Err() == nil {
				d.lost(address)
			}
		})
	}
	wg.Wait()
}

// tryDirect opens a direct connection, records the outcome and closes the connection.
func (d *Dialer) tryDirect(address string) error {
	conn, err := d.dialDirect(d.Context, "tcp4", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Stalled finds out whether the engine or the path to it is at fault if a request is not acknowledged.
// New requests need not wait for the end of that one.
func (d *Dialer) Stalled(address string) {
	if d.Table.Mode(address) == Relayed || !d.mayCheckStall(address) {
		return
	}
	ctx, cancel := context.WithTimeout(d.Context, DialTimeout)
	defer cancel()
	conn, err := d.Dial(ctx, "tcp4", address)
	dialed{conn, err}.close()
	if err != nil && d.Context.Err() == nil && !ErrNoRelay.Has(err) {
		d.Silent(address)
	}
}

// mayCheckStall limits the checks after stalls.
func (d *Dialer) mayCheckStall(address string) bool {
	now := d.Clock()
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.stalls, func(_ string, last time.Duration) bool { return now-last >= stallInterval })
	if _, checked := d.stalls[address]; checked {
		return false
	}
	if d.stalls == nil {
		d.stalls = make(map[string]time.Duration)
	}
	d.stalls[address] = now
	return true
}

// Run tries lost paths until the context ends.
func (d *Dialer) Run(ctx context.Context) {
	for pause.For(ctx, checkInterval) {
		var wg sync.WaitGroup
		for _, address := range d.Table.ToCheck(checksAtOnce) {
			wg.Go(func() { _ = d.tryDirect(address) })
		}
		wg.Wait()
	}
}
