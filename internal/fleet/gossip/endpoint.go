package gossip

import (
	"errors"
	"math/rand"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// logInterval is the minimum time between two log lines about rejected packets with the same
// reason. Anyone can send such packets. The counters show how many arrived.
const logInterval = 30 * time.Second

// Logger writes one log line. keyvals alternates keys and values.
type Logger func(message string, keyvals ...any)

// DatagramHandler receives the payload of a datagram and the sender's instance ID. It must not
// block or retain the payload.
type DatagramHandler func(from uint64, payload []byte)

// Packet is an encoded packet and the UDP address to send it to.
type Packet struct {
	To   string
	Data []byte
}

// Endpoint combines the failure detector with the packet format. Its methods take and return
// encoded packets and take the time as an argument, without any I/O. Driver runs an Endpoint on
// a socket, package simnet runs it under virtual time. Only Counters and OnDatagram are safe
// for concurrent use.
type Endpoint struct {
	detector *membership.Detector
	keys     Keys
	seq      uint64
	replays  *replayGuard
	counters counterSet
	handlers [maxUint8 + 1]atomic.Pointer[DatagramHandler]
	log      Logger
	loggedAt [reasonCount]time.Duration
}

// NewEndpoint returns an endpoint for the instance self. A nil log discards all lines. Errors:
// ErrKeys, membership.ErrMember.
func NewEndpoint(self membership.Member, opts membership.Options, keys Keys, rng *rand.Rand, log Logger) (*Endpoint, error) {
	if err := self.Validate(); err != nil {
		return nil, err
	}
	if err := keys.Validate(); err != nil {
		return nil, err
	}
	if log == nil {
		log = func(string, ...any) {}
	}
	return &Endpoint{
		detector: membership.New(self, opts, rng),
		keys:     keys,
		replays:  newReplayGuard(),
		log:      log,
	}, nil
}

// Detector returns the membership detector.
func (e *Endpoint) Detector() *membership.Detector { return e.detector }

// SetKeys replaces the keys during a key rotation. Errors: ErrKeys.
func (e *Endpoint) SetKeys(keys Keys) error {
	if err := keys.Validate(); err != nil {
		return err
	}
	e.keys = keys
	return nil
}

// Tick advances the detector to now and returns the packets to send.
func (e *Endpoint) Tick(now time.Duration) []Packet {
	return e.sealAll(e.detector.Tick(now))
}

// Receive processes one packet from the UDP address from and returns the packets to send. A
// rejected packet is counted and otherwise ignored.
func (e *Endpoint) Receive(now time.Duration, from string, data []byte) []Packet {
	m, err := e.keys.open(data, e.replays)
	if err != nil {
		e.reject(now, from, len(data), err)
		return nil
	}
	e.counters.update(func(c *Counters) { c.In[m.Body.Kind()].add(len(data)) })
	out := e.detector.Handle(now, from, m)
	e.deliver(m)
	return e.sealAll(out)
}

func (e *Endpoint) reject(now time.Duration, from string, size int, err error) {
	var rejection *RejectedError
	if !errors.As(err, &rejection) {
		return
	}
	e.counters.update(func(c *Counters) { c.Refused[rejection.Reason].add(size) })
	last := &e.loggedAt[rejection.Reason]
	if *last != 0 && now-*last < logInterval {
		return
	}
	*last = max(now, 1)
	e.log("packet rejected", "reason", rejection.Reason.String(), "from", from, "bytes", size)
}

// deliver passes a datagram to its handler. It drops a datagram for another instance, which the
// detector has already answered with NotMe.
func (e *Endpoint) deliver(m membership.Message) {
	dg, ok := m.Body.(membership.Datagram)
	if !ok || m.To != e.detector.Self().ID {
		return
	}
	if handle := e.handlers[dg.Channel].Load(); handle != nil {
		(*handle)(m.From, dg.Payload)
	}
}

// OnDatagram sets the handler of a channel. It is safe for concurrent use and applies to all
// packets processed after it returns.
func (e *Endpoint) OnDatagram(channel uint8, handle DatagramHandler) {
	e.handlers[channel].Store(&handle)
}

// Datagram returns the packet that carries payload to a member. The packet is delivered at most
// once. Errors: ErrTooLarge, ErrUnknownMember.
func (e *Endpoint) Datagram(id uint64, channel uint8, payload []byte) ([]Packet, error) {
	if len(payload) > MaxDatagram {
		return nil, ErrTooLarge.New("%d B", len(payload))
	}
	m, ok := e.detector.Lookup(id)
	if !ok || m.State == membership.StateDead {
		return nil, ErrUnknownMember.New("%x", id)
	}
	body := membership.Datagram{Channel: channel, Payload: payload}
	self := e.detector.Self()
	msg := membership.Message{From: self.ID, To: id, ConfigVersion: self.ConfigVersion, Body: body}
	return e.sealAll([]membership.Outgoing{{To: m.Address, Message: msg}}), nil
}

// Depart returns the packets that announce a clean exit.
func (e *Endpoint) Depart() []Packet {
	return e.sealAll(e.detector.Depart())
}

// Counters returns the counts since the start. It is safe for concurrent use.
func (e *Endpoint) Counters() Counters { return e.counters.snapshot() }

func (e *Endpoint) sealAll(out []membership.Outgoing) []Packet {
	packets := make([]Packet, 0, len(out))
	for _, o := range out {
		e.seq++
		data, err := e.keys.seal(o.Message, e.seq)
		if err != nil {
			e.counters.update(func(c *Counters) { c.Unsent++ })
			e.log("packet encoding failed", "kind", o.Message.Body.Kind().String(), "error", err)
			continue
		}
		e.counters.update(func(c *Counters) { c.Out[o.Message.Body.Kind()].add(len(data)) })
		packets = append(packets, Packet{To: o.To, Data: data})
	}
	return packets
}
