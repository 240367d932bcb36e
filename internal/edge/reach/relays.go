package reach

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/zeebo/errs"
)

// Errors of connections through other routers.
var (
	// ErrNoRelay means that no other router could connect to the engine, and none could tell that the
	// engine is down.
	ErrNoRelay = errs.Class("reach: no router reaches the engine")
	// ErrEngineDown means that a router that reaches other engines can't reach this one.
	ErrEngineDown = errs.Class("reach: engine down")
)

const (
	// maxRelayAttempts is the number of routers that are asked for one connection.
	maxRelayAttempts = 12
	// maxDownReplies is the number of routers that must find the engine down, as far as there are so
	// many: the path from one of them may be lost too.
	maxDownReplies = 2
	// relayStagger is the time after which the next router is asked if one has not replied.
	relayStagger = 40 * time.Millisecond
	// cutOffCooldown is how long a router that is cut off as well is not asked again, busyCooldown the
	// same for one that takes no further tunnels, and noReplyCooldown for one that did not reply or
	// does not relay.
	cutOffCooldown  = time.Second
	busyCooldown    = 250 * time.Millisecond
	noReplyCooldown = 3 * time.Second
)

// Open opens a stream to another router.
type Open func(ctx context.Context, to feed.Peer) (net.Conn, error)

// Relays selects the routers through which to reach engines. It is safe for concurrent use.
type Relays struct {
	Self feed.Peer
	// Live returns the routers that are believed alive.
	Live  func() []feed.Peer
	Open  Open
	Clock Clock

	mu sync.Mutex
	// states holds the last experience with each router by its name, and open the number of open
	// tunnels through each.
	states map[string]relayState
	open   map[string]int
}

// InUse returns the number of open tunnels by the router that relays them.
func (r *Relays) InUse() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.open)
}

// count changes the number of open tunnels through a router.
func (r *Relays) count(router string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open == nil {
		r.open = make(map[string]int)
	}
	r.open[router] += n
	if r.open[router] == 0 {
		delete(r.open, router)
	}
}

// relayState is the last experience with a router as a relay.
type relayState struct {
	notBefore time.Duration
	// worked means that it has connected to an engine.
	worked bool
}

const (
	// otherSiteFactor and untestedFactor are how many times less often a router of another site, or
	// one that has not relayed yet, is asked first. Neither is left out: a few routers would carry the
	// load of many.
	otherSiteFactor = 4
	untestedFactor  = 4
)

// candidates returns the routers to ask, in a random order that prefers those of the own site, those
// that have relayed before and those with more bandwidth.
func (r *Relays) candidates() []feed.Peer {
	now := r.Clock()
	live := r.Live()
	r.mu.Lock()
	defer r.mu.Unlock()
	type candidate struct {
		peer  feed.Peer
		order float64
	}
	var all []candidate
	for _, p := range live {
		state := r.states[p.Name]
		if p.Name == r.Self.Name || now < state.notBefore {
			continue
		}
		order := rand.ExpFloat64() / float64(max(p.Link, 1))
		if p.Site != r.Self.Site {
			order *= otherSiteFactor
		}
		if !state.worked {
			order *= untestedFactor
		}
		all = append(all, candidate{p, order})
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.order, b.order) })
	out := make([]feed.Peer, 0, maxRelayAttempts)
	for _, c := range all[:min(len(all), maxRelayAttempts)] {
		out = append(out, c.peer)
	}
	return out
}

// record records the experience with a router.
func (r *Relays) record(peer feed.Peer, err error) {
	cooldown := time.Duration(0)
	switch {
	case err == nil, ErrEngineDown.Has(err), errNoPath.Has(err):
	case errCutOff.Has(err):
		cooldown = cutOffCooldown
	case errBusy.Has(err):
		cooldown = busyCooldown
	default:
		cooldown = noReplyCooldown
	}
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.states == nil {
		r.states = make(map[string]relayState)
	}
	if cooldown == 0 {
		r.states[peer.Name] = relayState{worked: r.states[peer.Name].worked || err == nil}
		return
	}
	// Routers that lose their paths at the same moment ask again at different ones.
	jitter := 0.75 + rand.Float64()/2
	r.states[peer.Name] = relayState{notBefore: now + time.Duration(jitter*float64(cooldown))}
}

var (
	errCutOff = errs.Class("reach: router cut off as well")
	errBusy   = errs.Class("reach: router busy")
	// errNoPath is about one engine only.
	errNoPath = errs.Class("reach: no path to the engine")
)

// Connect opens a connection to an address through another router. Errors: ErrNoRelay, ErrEngineDown.
func (r *Relays) Connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	candidates := r.candidates()
	results := make(chan relayResult, len(candidates))
	asked, pending := 0, 0
	next := func() {
		if asked < len(candidates) {
			peer := candidates[asked]
			asked, pending = asked+1, pending+1
			go func() { results <- r.connectThrough(ctx, peer, address) }()
		}
	}
	defer func() {
		cancel()
		go closeLate(results, pending)
	}()
	var failures []error
	var down error
	downReplies := 0
	stagger := time.NewTimer(relayStagger)
	defer stagger.Stop()
	for next(); pending > 0; {
		select {
		case result := <-results:
			pending--
			if result.err == nil {
				return result.conn, nil
			}
			failures = append(failures, result.err)
			if ErrEngineDown.Has(result.err) {
				down = result.err
				downReplies++
			}
			if downReplies >= maxDownReplies {
				return nil, down
			}
			next()
		case <-stagger.C:
			next()
			stagger.Reset(relayStagger)
		case <-ctx.Done():
			return nil, ErrNoRelay.Wrap(ctx.Err())
		}
	}
	if down != nil {
		return nil, down
	}
	return nil, ErrNoRelay.New("%d routers asked: %v", asked, errors.Join(failures...))
}

type relayResult struct {
	conn net.Conn
	err  error
}

// closeLate closes the connections of attempts that are no longer needed.
func closeLate(results <-chan relayResult, pending int) {
	for range pending {
		if result := <-results; result.conn != nil {
			_ = result.conn.Close()
		}
	}
}

// connectThrough opens a connection to an address through a router.
func (r *Relays) connectThrough(ctx context.Context, peer feed.Peer, address string) relayResult {
	conn, err := r.openTunnel(ctx, peer, address)
	// An attempt that was given up says nothing about the router.
	if err == nil || ctx.Err() == nil {
		r.record(peer, err)
	}
	return relayResult{conn, err}
}

func (r *Relays) openTunnel(ctx context.Context, peer feed.Peer, address string) (net.Conn, error) {
	stream, err := r.Open(ctx, peer)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	got, err := requestAddress(stream, address)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err == nil {
		err = got.asError(peer.Name)
	}
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	r.count(peer.Name, 1)
	return newTunnel(stream, peer.Name, r.Clock, func() { r.count(peer.Name, -1) }), nil
}

// requestAddress writes the request for an address and reads the reply.
func requestAddress(stream net.Conn, address string) (reply, error) {
	if _, err := stream.Write(append([]byte{tunnelVersion, byte(len(address))}, address...)); err != nil {
		return 0, ErrTunnel.Wrap(err)
	}
	var got [1]byte
	if _, err := io.ReadFull(stream, got[:]); err != nil {
		return 0, ErrTunnel.Wrap(err)
	}
	return reply(got[0]), nil
}

// asError returns the error that a reply of a router means, or nil.
func (r reply) asError(router string) error {
	switch r {
	case replyConnected:
		return nil
	case replyEngineDown:
		return ErrEngineDown.New("as %s finds", router)
	case replyCutOff:
		return errCutOff.New("%s: %s", router, r)
	case replyUnknown, replyNoPath:
		return errNoPath.New("%s: %s", router, r)
	case replyBusy:
		return errBusy.New("%s", router)
	}
	return ErrTunnel.New("%s: %s", router, r)
}
