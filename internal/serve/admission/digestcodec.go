package admission

import (
	"encoding/binary"

	"github.com/zeebo/errs"
)

// ErrDigest is the class of errors for load digests that can't be decoded.
var ErrDigest = errs.Class("admission: load digest")

// digestVersion is the version of the digest format.
const digestVersion = 2

// appendDigest encodes loads for a datagram.
func appendDigest(dst []byte, loads []EngineLoad) []byte {
	dst = append(dst, digestVersion, byte(len(loads)))
	for _, l := range loads {
		dst = binary.LittleEndian.AppendUint64(dst, l.Engine)
		dst = binary.AppendUvarint(dst, l.Incarnation)
		dst = binary.AppendVarint(dst, l.Weight)
		dst = binary.AppendVarint(dst, int64(l.Count))
		dst = binary.AppendVarint(dst, int64(l.MaxBatch))
		dst = append(dst, l.Flags)
		dst = binary.LittleEndian.AppendUint32(dst, l.Owner)
		dst = binary.AppendUvarint(dst, uint64(l.Seq))
	}
	return dst
}

// decodeDigest decodes the output of appendDigest.
func decodeDigest(p []byte) ([]EngineLoad, error) {
	if len(p) < 2 || p[0] != digestVersion || p[1] > maxDigestEngines {
		return nil, ErrDigest.New("header")
	}
	n := int(p[1])
	d := digestReader{rest: p[2:]}
	loads := make([]EngineLoad, 0, n)
	for range n {
		loads = append(loads, EngineLoad{
			Engine:      d.fixed64(),
			Incarnation: d.unsigned(),
			Weight:      d.signed(),
			Count:       int32(d.signed()),
			MaxBatch:    int32(d.signed()),
			Flags:       d.byte(),
			Owner:       d.fixed32(),
			Seq:         uint32(d.unsigned()),
		})
	}
	if d.truncated || len(d.rest) > 0 {
		return nil, ErrDigest.New("length")
	}
	return loads, nil
}

type digestReader struct {
	rest      []byte
	truncated bool
}

func (d *digestReader) take(n int) []byte {
	if n <= 0 || n > len(d.rest) {
		d.truncated = true
		d.rest = nil
		return make([]byte, 8)
	}
	p := d.rest[:n]
	d.rest = d.rest[n:]
	return p
}

func (d *digestReader) fixed64() uint64 { return binary.LittleEndian.Uint64(d.take(8)) }

func (d *digestReader) fixed32() uint32 { return binary.LittleEndian.Uint32(d.take(4)) }

func (d *digestReader) byte() uint8 { return d.take(1)[0] }

func (d *digestReader) unsigned() uint64 {
	v, n := binary.Uvarint(d.rest)
	d.take(n)
	return v
}

func (d *digestReader) signed() int64 {
	v, n := binary.Varint(d.rest)
	d.take(n)
	return v
}
