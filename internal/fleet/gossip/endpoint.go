package gossip

import (
	"errors"
	"math/rand"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// logInterval is the least time between two log lines about refused packets of
// one reason. Anyone can send such packets; the counters tell how many came.
const logInterval = 30 * time.Second

// Logger writes one log line with keys and values in turn.
type Logger func(message string, keyvals ...any)

// DatagramHandler takes the payload of a datagram and the sender's instance
// id. It must neither block nor keep the payload.
type DatagramHandler func(from uint64, payload []byte)

// Packet is an encoded packet and the UDP address to send it to.
type Packet struct {
	To   string
	Data []byte
}

// Endpoint joins the failure detector with the packet format: bytes in, bytes
// out, time as an argument. It does no input or output itself; Driver runs it
// on a socket, and package simnet under virtual time. Except for Counters and
// OnDatagram it is not safe for concurrent use.
type Endpoint struct {
	det      *membership.Detector
	keys     Keys
	seq      uint64
	seen     *replayGuard
	counters counterSet
	handlers [maxUint8 + 1]atomic.Pointer[DatagramHandler]
	log      Logger
	loggedAt [reasonCount]time.Duration
}

// NewEndpoint returns an endpoint for the instance self. A nil log discards.
// Errors: ErrKeys, membership.ErrMember.
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
		det:  membership.New(self, opts, rng),
		keys: keys,
		seen: newReplayGuard(),
		log:  log,
	}, nil
}

// Detector returns the membership state.
func (e *Endpoint) Detector() *membership.Detector { return e.det }

// SetKeys replaces the keys, for a rotation. Errors: ErrKeys.
func (e *Endpoint) SetKeys(keys Keys) error {
	if err := keys.Validate(); err != nil {
		return err
	}
	e.keys = keys
	return nil
}

// Tick advances the detector and returns the packets to send.
func (e *Endpoint) Tick(now time.Duration) []Packet {
	return e.sealAll(e.det.Tick(now))
}

// Receive processes one packet from the UDP address from and returns the
// packets to send. A refused packet is counted and has no other effect.
func (e *Endpoint) Receive(now time.Duration, from string, data []byte) []Packet {
	m, err := e.keys.open(data, e.seen)
	if err != nil {
		e.refuse(now, from, len(data), err)
		return nil
	}
	e.counters.update(func(c *Counters) { c.In[m.Body.Kind()].add(len(data)) })
	out := e.det.Handle(now, from, m)
	e.deliver(m)
	return e.sealAll(out)
}

func (e *Endpoint) refuse(now time.Duration, from string, size int, err error) {
	var refusal *RefusedError
	if !errors.As(err, &refusal) {
		return
	}
	e.counters.update(func(c *Counters) { c.Refused[refusal.Reason].add(size) })
	last := &e.loggedAt[refusal.Reason]
	if *last != 0 && now-*last < logInterval {
		return
	}
	*last = max(now, 1)
	e.log("packet refused", "reason", refusal.Reason.String(), "from", from, "bytes", size)
}

// deliver hands a datagram to its handler. One that was meant for another
// instance is not delivered; the detector has answered it.
func (e *Endpoint) deliver(m membership.Message) {
	dg, ok := m.Body.(membership.Datagram)
	if !ok || m.To != e.det.Self().ID {
		return
	}
	if handle := e.handlers[dg.Channel].Load(); handle != nil {
		(*handle)(m.From, dg.Payload)
	}
}

// OnDatagram sets the handler of a channel. It is safe for concurrent use and
// holds for all packets that are processed after it returns.
func (e *Endpoint) OnDatagram(channel uint8, handle DatagramHandler) {
	e.handlers[channel].Store(&handle)
}

// Datagram returns the packet that carries payload to a member. It may be
// lost, and it arrives at most once. Errors: ErrTooLarge, ErrUnknownMember.
func (e *Endpoint) Datagram(id uint64, channel uint8, payload []byte) ([]Packet, error) {
	if len(payload) > MaxDatagram {
		return nil, ErrTooLarge.New("%d B", len(payload))
	}
	m, ok := e.det.Lookup(id)
	if !ok || m.State == membership.StateDead {
		return nil, ErrUnknownMember.New("%x", id)
	}
	body := membership.Datagram{Channel: channel, Payload: payload}
	self := e.det.Self()
	msg := membership.Message{From: self.ID, To: id, ConfigVersion: self.ConfigVersion, Body: body}
	return e.sealAll([]membership.Outgoing{{To: m.Address, Message: msg}}), nil
}

// Depart returns the packets that announce a clean exit.
func (e *Endpoint) Depart() []Packet {
	return e.sealAll(e.det.Depart())
}

// Counters returns the counts so far. It is safe for concurrent use.
func (e *Endpoint) Counters() Counters { return e.counters.snapshot() }

func (e *Endpoint) sealAll(out []membership.Outgoing) []Packet {
	packets := make([]Packet, 0, len(out))
	for _, o := range out {
		e.seq++
		data, err := e.keys.seal(o.Message, e.seq)
		if err != nil {
			e.counters.update(func(c *Counters) { c.Unsent++ })
			e.log("packet not encoded", "kind", o.Message.Body.Kind().String(), "error", err)
			continue
		}
		e.counters.update(func(c *Counters) { c.Out[o.Message.Body.Kind()].add(len(data)) })
		packets = append(packets, Packet{To: o.To, Data: data})
	}
	return packets
}
