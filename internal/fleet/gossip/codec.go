package gossip

import (
	"bytes"
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
)

// maxListLen is the maximum number of updates and of items in one message.
const maxListLen = 64

// The number of fields of a member on the wire. A compact member carries only the state of an
// instance that the receiver knows.
const (
	compactFields = 3
	fullFields    = 10
)

// encodeMessage appends the message to the buffer, without From, which is part of the packet
// header.
func encodeMessage(buf *bytes.Buffer, m membership.Message) error {
	buf.WriteByte(byte(m.Body.Kind()))
	w := writer{enc: msgpack.NewEncoder(buf)}
	w.uint(m.To)
	w.uint(m.ConfigVersion)
	w.body(m.Body)
	w.arrayLen(len(m.Updates))
	for _, u := range m.Updates {
		w.member(u)
	}
	w.arrayLen(len(m.Items))
	for _, item := range m.Items {
		w.item(item)
	}
	return w.err
}

// writer encodes fields and keeps the first error.
type writer struct {
	enc *msgpack.Encoder
	err error
}

func (w *writer) setErr(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) uint(v uint64)   { w.setErr(w.enc.EncodeUint(v)) }
func (w *writer) arrayLen(n int)  { w.setErr(w.enc.EncodeArrayLen(n)) }
func (w *writer) bytes(v []byte)  { w.setErr(w.enc.EncodeBytes(v)) }
func (w *writer) string(v string) { w.setErr(w.enc.EncodeString(v)) }
func (w *writer) bool(v bool)     { w.setErr(w.enc.EncodeBool(v)) }

func (w *writer) body(body membership.Body) {
	switch b := body.(type) {
	case membership.Ping:
		w.uint(uint64(b.Seq))
	case membership.Ack:
		w.uint(uint64(b.Seq))
	case membership.PingRequest:
		w.uint(uint64(b.Seq))
		w.uint(b.Target)
		w.string(b.Address)
	case membership.RelayAck:
		w.uint(uint64(b.Seq))
		w.uint(b.Target)
	case membership.NotMe:
		w.uint(b.Wanted)
	case membership.Digest:
		w.digest(b)
	case membership.Datagram:
		w.uint(uint64(b.Channel))
		w.bytes(b.Payload)
	}
}

func (w *writer) digest(g membership.Digest) {
	hashes := make([]byte, 0, digestSize)
	for _, hash := range g.Members {
		hashes = binary.BigEndian.AppendUint32(hashes, hash)
	}
	w.bytes(binary.BigEndian.AppendUint32(hashes, g.Items))
	w.bool(g.Reply)
}

func (w *writer) member(m membership.Member) {
	compact := m.Name == ""
	if compact {
		w.arrayLen(compactFields)
	} else {
		w.arrayLen(fullFields)
	}
	w.uint(m.ID)
	w.uint(m.Incarnation)
	w.uint(uint64(m.State))
	if compact {
		return
	}
	w.string(m.Name)
	w.string(m.Address)
	w.string(m.HTTP)
	w.string(m.Site)
	w.uint(m.Generation)
	w.uint(m.ConfigVersion)
	w.uint(m.Link)
}

func (w *writer) item(i membership.Item) {
	w.uint(uint64(i.Kind))
	w.string(i.Key)
	w.uint(i.Version)
	w.bytes(i.Value)
}

// digestSize is the encoded size of the hashes of a digest in bytes.
const digestSize = 4 * (membership.DigestBuckets + 1)

// decodeMessage decodes the output of encodeMessage. It allocates no more than the size of the
// input justifies. Errors: *RejectedError.
func decodeMessage(data []byte) (membership.Message, error) {
	var m membership.Message
	if len(data) == 0 {
		return m, rejected(ReasonMalformed, nil)
	}
	in := bytes.NewReader(data[1:])
	r := reader{in: in, dec: msgpack.NewDecoder(in)}
	m.To = r.uint()
	m.ConfigVersion = r.uint()
	m.Body = r.body(membership.Kind(data[0]))
	for range r.arrayLen() {
		m.Updates = append(m.Updates, r.member())
	}
	for range r.arrayLen() {
		m.Items = append(m.Items, r.item())
	}
	if r.err == nil && in.Len() > 0 {
		r.err = errDecode.New("%d trailing bytes", in.Len())
	}
	if r.err != nil {
		return membership.Message{}, rejected(ReasonMalformed, r.err)
	}
	return m, nil
}

// reader decodes fields and keeps the first error. After an error all fields are zero.
type reader struct {
	in  *bytes.Reader
	dec *msgpack.Decoder
	err error
}

func (r *reader) uint() uint64 {
	if r.err != nil {
		return 0
	}
	v, err := r.dec.DecodeUint64()
	r.err = err
	return v
}

// uintUpTo reads an integer that must not exceed limit.
func (r *reader) uintUpTo(limit uint64) uint64 {
	v := r.uint()
	if r.err == nil && v > limit {
		r.err = errDecode.New("integer %d exceeds limit %d", v, limit)
	}
	return v
}

func (r *reader) bool() bool {
	if r.err != nil {
		return false
	}
	v, err := r.dec.DecodeBool()
	r.err = err
	return v
}

// arrayLen reads the length of an array. It returns 0 after an error.
func (r *reader) arrayLen() int {
	if r.err != nil {
		return 0
	}
	n, err := r.dec.DecodeArrayLen()
	if err == nil && (n < 0 || n > maxListLen) {
		err = errDecode.New("invalid list length %d", n)
	}
	if err != nil {
		r.err = err
		return 0
	}
	return n
}

// bytes reads a string or byte slice of at most limit bytes. It checks the length before it
// allocates memory.
func (r *reader) bytes(limit int) []byte {
	if r.err != nil {
		return nil
	}
	n, err := r.dec.DecodeBytesLen()
	if err == nil && n > min(limit, r.in.Len()) {
		err = errDecode.New("length of %d bytes exceeds limit %d or the %d bytes left", n, limit, r.in.Len())
	}
	if err != nil || n <= 0 {
		r.err = err
		return nil
	}
	buf := make([]byte, n)
	r.err = r.dec.ReadFull(buf)
	return buf
}

func (r *reader) body(kind membership.Kind) membership.Body {
	switch kind {
	case membership.KindPing:
		return membership.Ping{Seq: r.seq()}
	case membership.KindAck:
		return membership.Ack{Seq: r.seq()}
	case membership.KindPingRequest:
		return membership.PingRequest{Seq: r.seq(), Target: r.uint(), Address: r.address()}
	case membership.KindRelayAck:
		return membership.RelayAck{Seq: r.seq(), Target: r.uint()}
	case membership.KindNotMe:
		return membership.NotMe{Wanted: r.uint()}
	case membership.KindGossip:
		return membership.Gossip{}
	case membership.KindDigest:
		return r.digest()
	case membership.KindPage:
		return membership.Page{}
	case membership.KindDatagram:
		return membership.Datagram{Channel: uint8(r.uintUpTo(maxUint8)), Payload: r.bytes(MaxDatagram)}
	default:
		r.err = errDecode.New("unknown kind %d", kind)
		return nil
	}
}

const (
	maxUint8  = 1<<8 - 1
	maxUint32 = 1<<32 - 1
)

func (r *reader) seq() uint32     { return uint32(r.uintUpTo(maxUint32)) }
func (r *reader) address() string { return string(r.bytes(membership.MaxAddress)) }

func (r *reader) digest() membership.Digest {
	var g membership.Digest
	hashes := r.bytes(digestSize)
	if len(hashes) != digestSize {
		if r.err == nil {
			r.err = errDecode.New("invalid digest length of %d bytes", len(hashes))
		}
		return g
	}
	for n := range g.Members {
		g.Members[n] = binary.BigEndian.Uint32(hashes[4*n:])
	}
	g.Items = binary.BigEndian.Uint32(hashes[4*membership.DigestBuckets:])
	g.Reply = r.bool()
	return g
}

func (r *reader) member() membership.Member {
	fields := r.arrayLen()
	m := membership.Member{
		ID:          r.uint(),
		Incarnation: r.uint(),
		State:       membership.State(r.uintUpTo(maxUint8)),
	}
	switch fields {
	case compactFields:
	case fullFields:
		m.Name = string(r.bytes(membership.MaxName))
		m.Address = r.address()
		m.HTTP = r.address()
		m.Site = string(r.bytes(membership.MaxSite))
		m.Generation = r.uint()
		m.ConfigVersion = r.uint()
		m.Link = r.uint()
		if m.Name == "" {
			r.setErr(errDecode.New("full member has no name"))
		}
	default:
		r.setErr(errDecode.New("invalid member of %d fields", fields))
	}
	r.setErr(m.Validate())
	return m
}

func (r *reader) item() membership.Item {
	i := membership.Item{
		Kind:    uint8(r.uintUpTo(maxUint8)),
		Key:     string(r.bytes(membership.MaxItemKey)),
		Version: r.uint(),
		Value:   r.bytes(membership.MaxItemValue),
	}
	r.setErr(i.Validate())
	return i
}

func (r *reader) setErr(err error) {
	if r.err == nil {
		r.err = err
	}
}
