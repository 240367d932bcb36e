package membership

// Message is one packet between two instances.
type Message struct {
	// From is the sender's instance ID.
	From uint64
	// To is the instance ID of the receiver. It may be 0 only for a Digest to an address whose
	// instance is unknown.
	To uint64
	// ConfigVersion is the sender's configuration version.
	ConfigVersion uint64
	Body          Body
	// Updates and Items are piggybacked, or in a Page the transferred rows and items.
	Updates []Member
	Items   []Item
}

// Outgoing is a message and the UDP address to send it to.
type Outgoing struct {
	To      string
	Message Message
}

// Kind is the type of a message on the wire.
type Kind uint8

// The message kinds.
const (
	KindPing Kind = iota + 1
	KindAck
	KindPingRequest
	KindRelayAck
	KindNotMe
	KindGossip
	KindDigest
	KindPage
	KindDatagram

	// KindCount is one more than the highest kind.
	KindCount
)

var kindNames = [KindCount]string{
	"none", "ping", "ack", "ping-request", "relay-ack", "not-me", "gossip", "digest", "page", "datagram",
}

// String implements fmt.Stringer.
func (k Kind) String() string {
	if k < KindCount {
		return kindNames[k]
	}
	return "unknown"
}

// Body is the part of a message that depends on its kind.
type Body interface {
	Kind() Kind
}

// Ping requests an Ack from the instance Message.To.
type Ping struct{ Seq uint32 }

// Ack is the reply to a Ping. It is valid only if its sender is the instance that was pinged.
type Ack struct{ Seq uint32 }

// PingRequest requests that another member ping Target.
type PingRequest struct {
	Seq     uint32
	Target  uint64
	Address string
}

// RelayAck reports to the requester of a PingRequest that Target replied.
type RelayAck struct {
	Seq    uint32
	Target uint64
}

// NotMe is the reply to a packet that was addressed to another instance.
type NotMe struct {
	// Wanted is the instance that was addressed.
	Wanted uint64
}

// Gossip carries only piggybacked updates.
type Gossip struct{}

// DigestBuckets is the number of parts of the member table that are compared separately.
const DigestBuckets = 16

// Digest is a summary of the sender's table. A receiver with a different digest sends the rows
// of the differing buckets.
type Digest struct {
	Members [DigestBuckets]uint32
	Items   uint32
	// Reply marks the reply to a Digest, which gets no reply itself.
	Reply bool
}

// Page carries rows of the table in Updates and Items.
type Page struct{}

// Datagram carries an unreliable payload of another component. This package does not interpret
// it.
type Datagram struct {
	Channel uint8
	Payload []byte
}

// Kind implements Body.
func (Ping) Kind() Kind { return KindPing }

// Kind implements Body.
func (Ack) Kind() Kind { return KindAck }

// Kind implements Body.
func (PingRequest) Kind() Kind { return KindPingRequest }

// Kind implements Body.
func (RelayAck) Kind() Kind { return KindRelayAck }

// Kind implements Body.
func (NotMe) Kind() Kind { return KindNotMe }

// Kind implements Body.
func (Gossip) Kind() Kind { return KindGossip }

// Kind implements Body.
func (Digest) Kind() Kind { return KindDigest }

// Kind implements Body.
func (Page) Kind() Kind { return KindPage }

// Kind implements Body.
func (Datagram) Kind() Kind { return KindDatagram }
