package gossip

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// Sizes of a packet, in bytes.
const (
	// MaxPacket is the largest UDP payload sent or accepted. It stays below
	// the usual MTU, so that no packet is fragmented.
	MaxPacket = 1400
	// MaxDatagram is the largest payload of a datagram.
	MaxDatagram = 1200

	headerSize  = 1 + 1 + 8 + 8
	macSize     = 16
	minimumKey  = 16
	formatBytes = headerSize + macSize
)

// formatVersion is the first byte of each packet.
const formatVersion = 1

// Key is one key of the fleet.
type Key struct {
	ID     uint8
	Secret []byte
}

// Keys is the set of keys that are valid at one time. Packets are sealed with
// Active and accepted under either; a rotation first adds the new key as Other
// everywhere, then makes it Active everywhere, then drops the old one.
type Keys struct {
	Active Key
	Other  *Key
}

// Validate checks the lengths and ids. Errors: ErrKeys.
func (k Keys) Validate() error {
	if len(k.Active.Secret) < minimumKey {
		return ErrKeys.New("active key of %d B, want at least %d", len(k.Active.Secret), minimumKey)
	}
	if k.Other == nil {
		return nil
	}
	if len(k.Other.Secret) < minimumKey {
		return ErrKeys.New("other key of %d B, want at least %d", len(k.Other.Secret), minimumKey)
	}
	if k.Other.ID == k.Active.ID {
		return ErrKeys.New("two keys with id %d", k.Active.ID)
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

// seal encodes and authenticates a message. The sequence number must grow with
// each packet of the sender.
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

// open checks and decodes a packet. The code is checked before anything is
// decoded, and the replay window only moves for an authentic packet.
// Errors: *RefusedError.
func (k Keys) open(packet []byte, seen *replayGuard) (membership.Message, error) {
	var none membership.Message
	if len(packet) > MaxPacket {
		return none, refused(ReasonOversized, nil)
	}
	if len(packet) <= formatBytes {
		return none, refused(ReasonShort, nil)
	}
	if packet[0] != formatVersion {
		return none, refused(ReasonVersion, nil)
	}
	key, ok := k.find(packet[1])
	if !ok {
		return none, refused(ReasonUnknownKey, nil)
	}
	signed, mac := packet[:len(packet)-macSize], packet[len(packet)-macSize:]
	if !hmac.Equal(mac, key.mac(signed)) {
		return none, refused(ReasonForged, nil)
	}
	from := binary.BigEndian.Uint64(packet[2:])
	if !seen.accept(from, binary.BigEndian.Uint64(packet[10:])) {
		return none, refused(ReasonReplayed, nil)
	}
	m, err := decodeMessage(signed[headerSize:])
	m.From = from
	return m, err
}
