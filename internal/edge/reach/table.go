// Package reach connects a router to engines that it may have lost its own path to. A connection that
// fails does not tell whether the engine or the path to it is at fault. Another router that reaches
// the engine tells them apart, and relays the connection meanwhile.
package reach

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Clock returns the time since the VM booted, including suspends.
type Clock func() time.Duration

// Mode is how to connect to an engine.
type Mode uint8

const (
	// Direct connects to the engine, and through another router if that fails.
	Direct Mode = iota
	// Relayed connects through another router.
	Relayed
)

const (
	// suspicionPaths is the number of paths that are lost within suspicionWindow at which the others
	// are suspected too. Until they are checked, requests do not wait for them.
	suspicionPaths  = 2
	suspicionWindow = time.Second
	// engineFaultFor is how long the result that an engine is down itself keeps this router from
	// asking others about it again.
	engineFaultFor = 500 * time.Millisecond
	// recentlyReached is how long a connection shows that this router reaches engines.
	recentlyReached = time.Second
	// flapWindow is the period in which repeated losses of paths delay their return, by settleTime
	// for the second and twice as much for each further one, up to maxSettleTime.
	flapWindow    = 20 * time.Second
	settleTime    = 500 * time.Millisecond
	maxSettleTime = 4 * time.Second
)

// Table holds what is known about the direct paths to engines, by address. It is safe for concurrent
// use.
type Table struct {
	clock Clock

	mu    sync.Mutex
	paths map[string]*path
	// lost is the number of paths that are lost.
	lost int
	// suspectedAt is when the paths that have not been reached since came under suspicion, while
	// suspected is set.
	suspected   bool
	suspectedAt time.Duration
	// returnedAt is when a lost path last returned. Paths that were lost before are tried again.
	returnedAt time.Duration
	// losses holds when this router lost paths after a time with none lost, oldest first.
	losses []time.Duration
}

// path is the state of the direct path to one address.
type path struct {
	// reachedAt and failedAt are the times of the last attempts that succeeded and failed; zero for
	// none.
	reachedAt, failedAt time.Duration
	// lost means that another router reached the engine, or would be asked to, since lostAt.
	lost   bool
	lostAt time.Duration
	// answersSince is the first of the successful attempts since the path was lost or last failed;
	// zero for none.
	answersSince time.Duration
	// engineFaultUntil is until when the engine is known to be down itself.
	engineFaultUntil time.Duration
}

// failing reports whether the last attempt failed.
func (p *path) failing() bool { return p.failedAt > p.reachedAt }

// NewTable returns an empty Table.
func NewTable(clock Clock) *Table {
	return &Table{clock: clock, paths: make(map[string]*path)}
}

// path returns the state of an address and creates it if needed. The caller holds the mutex.
func (t *Table) path(address string) *path {
	p := t.paths[address]
	if p == nil {
		p = &path{}
		t.paths[address] = p
	}
	return p
}

// Mode returns how to connect to an address.
func (t *Table) Mode(address string) Mode {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 && !t.suspected {
		return Direct
	}
	p := t.paths[address]
	switch {
	case p != nil && p.lost && p.lostAt >= t.returnedAt:
		return Relayed
	case t.suspected && (p == nil || p.reachedAt < t.suspectedAt):
		return Relayed
	}
	return Direct
}

// Untried reports whether the direct path to an address is only under suspicion: no attempt has
// failed since.
func (t *Table) Untried(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return p == nil || !p.lost && p.failedAt < t.suspectedAt
}

// LostSince reports whether the direct path to an address has been lost since a time, and is not back.
func (t *Table) LostSince(address string, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return p != nil && p.lost && p.lostAt >= since
}

// Reached records that a direct connection was opened. It returns true if the path had been lost and
// is back.
func (t *Table) Reached(address string) (returned bool) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(address)
	p.reachedAt = now
	if !p.lost {
		return false
	}
	if p.answersSince == 0 {
		p.answersSince = now
	}
	if now-p.answersSince < t.settle(now) {
		return false
	}
	p.lost = false
	t.lost--
	t.returnedAt = now
	return true
}

// settle returns for how long a lost path must answer before it is used again. The caller holds the
// mutex.
func (t *Table) settle(now time.Duration) time.Duration {
	for len(t.losses) > 0 && now-t.losses[0] > flapWindow {
		t.losses = t.losses[1:]
	}
	if len(t.losses) < 2 {
		return 0
	}
	return min(settleTime<<min(len(t.losses)-2, 8), maxSettleTime)
}

// Failed records that a direct connection could not be opened.
func (t *Table) Failed(address string) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(address)
	p.failedAt = now
	p.answersSince = 0
}

// Lost records that the direct path to an address is lost. It returns whether that is new, and
// whether the paths to all other engines are under suspicion from now on and must be checked.
func (t *Table) Lost(address string) (isNew, check bool) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(address)
	isNew = !p.lost
	if isNew && t.lost == 0 {
		t.losses = append(t.losses, now)
	}
	if isNew {
		t.lost++
	}
	p.lost, p.lostAt, p.answersSince = true, now, 0
	if t.suspected || t.recentlyLost(now) < suspicionPaths {
		return isNew, false
	}
	if now-t.suspectedAt < suspicionWindow && t.suspectedAt > 0 {
		return isNew, false
	}
	t.suspected, t.suspectedAt = true, now
	return isNew, true
}

// recentlyLost returns the number of paths lost within suspicionWindow. The caller holds the mutex.
func (t *Table) recentlyLost(now time.Duration) int {
	n := 0
	for _, p := range t.paths {
		if p.lost && now-p.lostAt <= suspicionWindow {
			n++
		}
	}
	return n
}

// Unchecked returns which of the addresses are under suspicion.
func (t *Table) Unchecked(addresses []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, a := range addresses {
		if p := t.paths[a]; p == nil || !p.lost && p.reachedAt < t.suspectedAt {
			out = append(out, a)
		}
	}
	return out
}

// Checked ends the suspicion.
func (t *Table) Checked() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspected = false
}

// EngineFault records that the engine at the address is down itself.
func (t *Table) EngineFault(address string) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(address).engineFaultUntil = now + engineFaultFor
}

// KnownDown reports whether the engine at the address has lately been found to be down itself.
func (t *Table) KnownDown(address string) bool {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[address]
	return p != nil && now < p.engineFaultUntil
}

// ReachedOther reports whether this router has lately connected to an engine at another address.
// Otherwise it returns other addresses to try, at most n: those at which the last attempt succeeded
// first.
func (t *Table) ReachedOther(address string, known []string, n int) (reached bool, try []string) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	var failing []string
	for _, a := range known {
		p := t.paths[a]
		switch {
		case a == address:
		case p != nil && p.reachedAt > 0 && !p.failing() && now-p.reachedAt <= recentlyReached:
			return true, nil
		case p != nil && (p.failing() || p.lost):
			failing = append(failing, a)
		default:
			try = append(try, a)
		}
	}
	rand.Shuffle(len(try), func(i, j int) { try[i], try[j] = try[j], try[i] })
	rand.Shuffle(len(failing), func(i, j int) { failing[i], failing[j] = failing[j], failing[i] })
	try = append(try, failing...)
	return false, try[:min(n, len(try))]
}

// ToCheck returns at most n lost paths to try again: those that have answered since, and random ones.
func (t *Table) ToCheck(n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lost == 0 {
		return nil
	}
	var answering, silent []string
	for a, p := range t.paths {
		switch {
		case !p.lost:
		case p.answersSince > 0:
			answering = append(answering, a)
		default:
			silent = append(silent, a)
		}
	}
	rand.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
	out := append(answering, silent...)
	return out[:min(n, len(out))]
}

// Counts describes the direct paths to some engines.
type Counts struct {
	// Failing is the number of addresses that could not be connected to at the last attempt, and Lost
	// the number of those whose engines are reached through other routers.
	Failing, Lost int
}

// Count describes the direct paths to the addresses.
func (t *Table) Count(addresses []string) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Counts
	for _, a := range addresses {
		p := t.paths[a]
		if p == nil {
			continue
		}
		if p.failing() {
			out.Failing++
		}
		if p.lost {
			out.Lost++
		}
	}
	return out
}

// Retain drops the state of all addresses for which keep returns false.
func (t *Table) Retain(keep func(address string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, p := range t.paths {
		if keep(a) {
			continue
		}
		if p.lost {
			t.lost--
		}
		delete(t.paths, a)
	}
}
