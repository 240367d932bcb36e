package feed

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// PackedConfig is a catalog.ConfigUpdate, encoded and compressed. A change that adds
// a thousand routes takes 150 KB, and the first router of a site sends it to all
// others over a link that carries 1.2 MB a second: for as long as that takes nothing
// is confirmed, and the others turn to the store, which costs them more still.
// Compressed it takes a tenth.
type PackedConfig struct {
	// Base is the version that the update leads on from, zero for any.
	Base, Version uint64
	Data          []byte
}

// maxUnpacked bounds a configuration that another router sends, in bytes: ten times
// one of 10,000 routes.
const maxUnpacked = 16 << 20

// packConfig encodes an update. Errors: ErrMalformed.
func packConfig(u catalog.ConfigUpdate) (*PackedConfig, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	if err := gob.NewEncoder(w).Encode(u); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, ErrMalformed.Wrap(err)
	}
	return &PackedConfig{Base: u.Base, Version: u.Version, Data: buf.Bytes()}, nil
}

// unpack decodes the update. Errors: ErrMalformed.
func (p *PackedConfig) unpack() (catalog.ConfigUpdate, error) {
	r := flate.NewReader(bytes.NewReader(p.Data))
	var u catalog.ConfigUpdate
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpacked)).Decode(&u); err != nil {
		return catalog.ConfigUpdate{}, ErrMalformed.Wrap(err)
	}
	if u.Base != p.Base || u.Version != p.Version {
		return catalog.ConfigUpdate{}, ErrMalformed.New("update from %d to %d, said to be from %d to %d", u.Base, u.Version, p.Base, p.Version)
	}
	return u, nil
}

// packer packs updates once for all that ask for them. It is safe for concurrent
// use.
type packer struct {
	mu sync.Mutex
	// version is the one that all packed updates lead to, by their base.
	version uint64
	byBase  map[uint64]*PackedConfig
}

// update returns what leads from an older configuration, nil for none, to c.
func (p *packer) update(c, old *catalog.Config) (*PackedConfig, error) {
	base := uint64(0)
	if old != nil {
		base = old.Version
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version != c.Version {
		p.version = c.Version
		p.byBase = make(map[uint64]*PackedConfig)
	}
	if packed := p.byBase[base]; packed != nil {
		return packed, nil
	}
	packed, err := packConfig(c.UpdateFrom(old))
	if err != nil {
		return nil, err
	}
	p.byBase[base] = packed
	return packed, nil
}
