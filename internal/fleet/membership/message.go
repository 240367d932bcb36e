package membership

// Message is one packet between two instances.
type Message struct {
	// From is the sender's instance id.
	From uint64
	// To is the instance the packet is meant for. Only a Digest to an address
	// whose instance is not yet known may leave it 0.
	To uint64
	// ConfigVersion is the sender's own configuration head.
	ConfigVersion uint64
	Body          Body
	// Updates and Items are piggybacked gossip.
	Updates []Member
	Items   []Item
}

// Outgoing is a message to be sent to a UDP address.
type Outgoing struct {
	To      string
	Message Message
}

// Kind numbers the kinds of message on the wire.
type Kind uint8

// The kinds of message.
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

// Ping asks the instance Message.To for an Ack.
type Ping struct{ Seq uint32 }

// Ack answers a Ping. It counts only if its sender is the instance pinged.
type Ack struct{ Seq uint32 }

// PingRequest asks a third member to ping Target.
type PingRequest struct {
	Seq     uint32
	Target  uint64
	Address string
}

// RelayAck reports to the requester that Target answered.
type RelayAck struct {
	Seq    uint32
	Target uint64
}

// NotMe answers a packet that was meant for another instance at this address.
type NotMe struct {
	// Wanted is the instance that is no longer here.
	Wanted uint64
}

// Gossip carries nothing but piggybacked updates.
type Gossip struct{}

// DigestBuckets is the number of parts of the table that are compared
// separately.
const DigestBuckets = 16

// Digest is a summary of the sender's table. A receiver whose own digest
// differs sends the rows of the differing buckets.
type Digest struct {
	Members [DigestBuckets]uint32
	Items   uint32
	// Reply marks the answer to a Digest, which is not answered again.
	Reply bool
}

// Page carries rows of the table in Updates and Items.
type Page struct{}

// Datagram is an unreliable payload of another component; membership does not
// look into it.
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
