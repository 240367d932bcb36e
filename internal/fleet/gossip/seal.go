package gossip

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// Sizes of a packet and its parts, in bytes.
const (
	// MaxPacket is the maximum UDP payload that is sent or accepted. It is below the usual MTU,
	// so that packets are not fragmented.
	MaxPacket = 1400
	// MaxDatagram is the maximum payload of a datagram.
	MaxDatagram = 1200

	headerSize  = 1 + 1 + 8 + 8
	macSize     = 16
	minKeySize  = 16
	framingSize = headerSize + macSize
)

// formatVersion is the first byte of each packet.
const formatVersion = 1

// Key is one key of the fleet.
type Key struct {
	ID     uint8
	Secret []byte
}

// Keys is the set of keys that are valid at one time. Packets are sealed with Active and
// accepted under either key. A rotation first adds the new key as Other on all routers, then
// makes it Active on all routers, and finally removes the old one.
type Keys struct {
	Active Key
	Other  *Key
}

// Validate checks the lengths and IDs of the keys. Errors: ErrKeys.
func (k Keys) Validate() error {
	if len(k.Active.Secret) < minKeySize {
		return ErrKeys.New("active key of %d B is shorter than %d B", len(k.Active.Secret), minKeySize)
	}
	if k.Other == nil {
		return nil
	}
	if len(k.Other.Secret) < minKeySize {
		return ErrKeys.New("other key of %d B is shorter than %d B", len(k.Other.Secret), minKeySize)
	}
	if k.Other.ID == k.Active.ID {
		return ErrKeys.New("both keys have ID %d", k.Active.ID)
	}
	return nil
}

func (k Keys) find(id uint8) (Key, bool) {
	if k.Active.ID == id {
		return k.Active, true
	}
	if k.Other != nil && k.Other.ID == id {
		return *k.Other, true
	}
	return Key{}, false
}

func (k Key) mac(data []byte) []byte {
	h := hmac.New(sha256.New, k.Secret)
	h.Write(data)
	return h.Sum(nil)[:macSize]
}

// seal encodes and authenticates a message. The sequence number must grow with each packet of
// the sender. Errors: ErrTooLarge.
func (k Keys) seal(m membership.Message, seq uint64) ([]byte, error) {
	var buf bytes.Buffer
	header := make([]byte, 0, headerSize)
	header = append(header, formatVersion, k.Active.ID)
	header = binary.BigEndian.AppendUint64(header, m.From)
	header = binary.BigEndian.AppendUint64(header, seq)
	buf.Write(header)
	if err := encodeMessage(&buf, m); err != nil {
		return nil, err
	}
	if buf.Len()+macSize > MaxPacket {
		return nil, ErrTooLarge.New("packet of %d B", buf.Len()+macSize)
	}
	buf.Write(k.Active.mac(buf.Bytes()))
	return buf.Bytes(), nil
}

// open authenticates and decodes a packet. It checks the authentication code before it decodes
// anything, and only authentic packets move the replay window. Errors: *RejectedError.
func (k Keys) open(packet []byte, replays *replayGuard) (membership.Message, error) {
	var none membership.Message
	if len(packet) > MaxPacket {
		return none, rejected(ReasonOversized, nil)
	}
	if len(packet) <= framingSize {
		return none, rejected(ReasonShort, nil)
	}
	if packet[0] != formatVersion {
		return none, rejected(ReasonVersion, nil)
	}
	key, ok := k.find(packet[1])
	if !ok {
		return none, rejected(ReasonUnknownKey, nil)
	}
	signed, mac := packet[:len(packet)-macSize], packet[len(packet)-macSize:]
	if !hmac.Equal(mac, key.mac(signed)) {
		return none, rejected(ReasonForged, nil)
	}
	from := binary.BigEndian.Uint64(packet[2:])
	if !replays.accept(from, binary.BigEndian.Uint64(packet[10:])) {
		return none, rejected(ReasonReplayed, nil)
	}
	m, err := decodeMessage(signed[headerSize:])
	m.From = from
	return m, err
}
