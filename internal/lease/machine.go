// Package lease elects the leader: the one router that gives orders to
// engines, by a row in the table service.
//
// No clocks are compared between VMs. README.md says why at most one holder is
// valid at a time, and what that rests on.
package lease

import (
	"time"

	"github.com/zeebo/errs"
)

// ErrNotHeld is returned while this router may not act as the leader: it
// never took the lease, lost it, or could not renew it in time.
var ErrNotHeld = errs.Class("lease: not held")

// DefaultTTL is how long a lease lasts without a renewal.
const DefaultTTL = 6 * time.Second

const (
	// pollersLimit is the number of candidates that read the row. The others
	// cost the store nothing; they move up when a candidate leaves.
	pollersLimit = 3
	// periodShare divides the TTL into the interval of renewals and polls.
	periodShare = 3
	// retryShare divides the TTL into the pause after a failed call.
	retryShare = 12
	// marginShare divides the TTL into the safety margin, which covers clocks
	// that run at different rates: 1/12 is far beyond any quartz.
	marginShare = 12
	// jitter is the largest share by which an interval is shortened.
	jitter = 0.2
)

// Record is the value of the lease row.
type Record struct {
	// Holder names the router; empty after a release.
	Holder string `json:"holder"`
	// Token tells two processes of the same name apart.
	Token string `json:"token"`
	// Fence grows by one with each take-over.
	Fence uint64 `json:"fence"`
	// Renewals counts the holder's writes, so that no two are alike.
	Renewals uint64 `json:"renewals"`
}

// Grant is the right to act as the leader.
type Grant struct {
	// Fence is to be put into each order.
	Fence uint64
	// TakenAt is when the lease was known to be taken, on this router's clock.
	TakenAt time.Duration
}

// Event is an input of the Machine.
type Event interface{ event() }

type (
	// Tick is the passing of time.
	Tick struct{}
	// RankChanged tells this router's place among the candidates, from 0.
	RankChanged struct{ Rank int }
	// Released asks to give up the lease for good, before a planned stop.
	Released struct{}
	// ReadDone is the row as read. A Version of 0 means that it is absent.
	ReadDone struct {
		Record  Record
		Version int64
	}
	// WriteDone is the row after a write took effect.
	WriteDone struct{ Version int64 }
	// WriteConflict is the row that stood in the way of a write.
	WriteConflict ReadDone
	// Failed means that a call had no effect, or that a read failed.
	Failed struct{}
	// ReplyLost means that a write may have taken effect.
	ReplyLost struct{}
)

func (Tick) event()          {}
func (RankChanged) event()   {}
func (Released) event()      {}
func (ReadDone) event()      {}
func (WriteDone) event()     {}
func (WriteConflict) event() {}
func (Failed) event()        {}
func (ReplyLost) event()     {}

// Action is a call that the driver must make; it answers with one of
// ReadDone, WriteDone, WriteConflict, Failed or ReplyLost. There is never more
// than one call under way.
type Action interface{ action() }

type (
	// Read reads the row.
	Read struct{}
	// Write replaces the row if it has the version IfVersion.
	Write struct {
		Record    Record
		IfVersion int64
	}
)

func (Read) action()  {}
func (Write) action() {}

// write is a write whose result is not settled.
type write struct {
	Write
	// firstSent and lastSent are taken before an attempt leaves.
	firstSent, lastSent time.Duration
	uncertain           bool
}

// Machine decides when to read, renew and take. It is pure and not safe for
// concurrent use. All times are of this router's monotonic clock.
type Machine struct {
	name, token string
	ttl         time.Duration
	random      func() float64

	rank     int
	released bool
	waiting  bool
	wake     time.Duration

	// row and version are as last seen, seenAt is when version first was.
	row     Record
	version int64
	seen    bool
	seenAt  time.Duration

	open     *write
	held     bool
	grant    Grant
	deadline time.Duration
}

// NewMachine returns a Machine for the router name. token must be unique to
// this process, and random must return numbers in [0, 1).
func NewMachine(name, token string, ttl time.Duration, random func() float64) *Machine {
	return &Machine{name: name, token: token, ttl: ttl, random: random, rank: pollersLimit}
}

// Valid returns the grant if the lease is held at now. The caller must ask
// right before each order. Error: ErrNotHeld.
func (m *Machine) Valid(now time.Duration) (Grant, error) {
	if !m.held {
		return Grant{}, ErrNotHeld.New("another router leads")
	}
	if now >= m.deadline {
		return Grant{}, ErrNotHeld.New("not renewed in time")
	}
	return m.grant, nil
}

// Wake returns when the next Tick is due. It is meaningless while a call is
// under way.
func (m *Machine) Wake() time.Duration { return m.wake }

// Step takes in one event and returns the calls to make. now must be taken
// before Step is called and the calls must be made after it returns, so that
// a lease is never counted from later than its renewal.
func (m *Machine) Step(now time.Duration, e Event) []Action {
	switch e := e.(type) {
	case RankChanged, Released:
		m.note(now, e)
	case ReadDone:
		m.waiting = false
		return m.onRow(now, e)
	case WriteConflict:
		m.waiting = false
		return m.onRow(now, ReadDone(e))
	case WriteDone:
		m.waiting = false
		m.settle(now, m.open.lastSent, e.Version)
	case Failed:
		m.waiting = false
		m.wake = now + m.interval(retryShare)
	case ReplyLost:
		m.waiting = false
		m.open.uncertain = true
		return m.send(Read{})
	}
	return m.act(now)
}

// note takes in an event from outside without making a call.
func (m *Machine) note(now time.Duration, e Event) {
	switch e := e.(type) {
	case RankChanged:
		if m.rank == e.Rank {
			return
		}
		m.rank = e.Rank
	case Released:
		m.released = true
		// Validity ends before anything is written.
		m.deadline = now
	}
	m.wake = now
}

// act makes the call that is due, if any.
func (m *Machine) act(now time.Duration) []Action {
	switch {
	case m.waiting || now < m.wake:
		return nil
	case m.open != nil && m.open.uncertain:
		return m.send(Read{})
	case m.open != nil:
		return m.resend(now)
	case m.released && !m.held:
		m.wake = now + m.ttl
		return nil
	case m.released:
		return m.write(now, Record{Token: m.token, Fence: m.row.Fence, Renewals: m.row.Renewals + 1})
	case m.held:
		next := m.row
		next.Renewals++
		return m.write(now, next)
	case m.rank >= pollersLimit:
		m.wake = now + m.ttl
		return nil
	default:
		return m.send(Read{})
	}
}

// onRow takes in the row after a read or a conflict.
func (m *Machine) onRow(now time.Duration, e ReadDone) []Action {
	if m.open != nil {
		return m.resolve(now, e)
	}
	m.watch(now, e)
	due := m.seenAt + m.patience()
	if now >= due && m.rank < pollersLimit && !m.released {
		return m.write(now, m.take())
	}
	m.wake = min(now+m.interval(periodShare), max(due, now))
	return nil
}

// resolve decides whether the open write took effect.
//
// When a reply is lost, a router that assumes success may believe in a lease
// that another one holds, and one that assumes failure may leave its own lease
// unused. The row is compared with what was written. If it is ours, it may
// have been the first attempt that arrived, so the lease counts from there.
func (m *Machine) resolve(now time.Duration, e ReadDone) []Action {
	if e.Record == m.open.Record {
		m.settle(now, m.open.firstSent, e.Version)
		return nil
	}
	if e.Version == m.open.IfVersion {
		// Not there yet. The same write is sent again after a pause, and
		// whichever copy arrives first makes the other one fail.
		m.open.uncertain = false
		m.wake = now + m.interval(retryShare)
		return nil
	}
	m.open = nil
	m.held = false
	m.watch(now, e)
	m.wake = now + m.interval(periodShare)
	return nil
}

// settle takes in a write of ours that took effect, sent at the given time.
func (m *Machine) settle(now, sent time.Duration, version int64) {
	m.row = m.open.Record
	m.version = version
	m.open = nil
	m.seen = true
	m.seenAt = now
	m.wake = now + m.interval(periodShare)
	if m.released {
		// A take that was under way may have succeeded; it is released next.
		m.held = m.row.Holder != ""
		return
	}
	if !m.held {
		m.grant = Grant{Fence: m.row.Fence, TakenAt: now}
	}
	m.held = true
	m.deadline = sent + m.ttl - m.ttl/marginShare
}

// watch notes the row, and when its version was first seen. The time of
// arrival counts, which is later than any renewal that the row shows.
func (m *Machine) watch(now time.Duration, e ReadDone) {
	if !m.seen || e.Version != m.version {
		m.seenAt = now
	}
	m.seen = true
	m.row = e.Record
	m.version = e.Version
}

// patience is how long the row must stand unchanged before it is taken. The
// ranks are apart, so that candidates don't all write at once.
func (m *Machine) patience() time.Duration {
	apart := time.Duration(m.rank) * m.ttl / 2
	if m.row.Holder == "" {
		return apart
	}
	return m.ttl + apart
}

func (m *Machine) take() Record {
	return Record{Holder: m.name, Token: m.token, Fence: m.row.Fence + 1}
}

func (m *Machine) write(now time.Duration, r Record) []Action {
	m.open = &write{Write: Write{Record: r, IfVersion: m.version}, firstSent: now}
	return m.resend(now)
}

func (m *Machine) resend(now time.Duration) []Action {
	m.open.lastSent = now
	return m.send(m.open.Write)
}

func (m *Machine) send(a Action) []Action {
	m.waiting = true
	return []Action{a}
}

// interval returns the TTL divided by share, shortened at random so that
// routers that started together don't call together.
func (m *Machine) interval(share time.Duration) time.Duration {
	full := m.ttl / share
	return full - time.Duration(jitter*m.random()*float64(full))
}
