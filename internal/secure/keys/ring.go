package keys

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"

	"damaskrouter.example/damaskrouter/internal/secure/token"
)

// Ring is the fleet's signing keys, read from a file of one line per key: a
// decimal id and a secret in hexadecimal. The first key signs. Lines that are
// empty or begin with # are skipped.
type Ring struct {
	*reloader[ringState]
}

type ringState struct {
	keys  []token.Key
	codec *token.Codec
}

// OpenRing reads the ring at path.
func OpenRing(path string) (*Ring, error) {
	load := func() (*ringState, error) { return loadRing(path) }
	r, err := newReloader(load, path)
	if err != nil {
		return nil, err
	}
	return &Ring{r}, nil
}

// Check reloads the file if it has changed. After an error the old keys stay
// in use.
func (r *Ring) Check() (changed bool, err error) { return r.check() }

// Codec returns a codec over the present keys. Ask for it at each use.
func (r *Ring) Codec() *token.Codec { return r.current.Load().codec }

// Keys returns the present keys, the one that signs first. They are shared and
// must not be changed.
func (r *Ring) Keys() []token.Key { return r.current.Load().keys }

// Stats returns the counters of reloads.
func (r *Ring) Stats() Stats { return r.stats() }

// NewKey returns a key with a secret from rand.
func NewKey(rand io.Reader, id byte) (token.Key, error) {
	k := token.Key{ID: id, Secret: make([]byte, token.MinSecret)}
	if _, err := io.ReadFull(rand, k.Secret); err != nil {
		return token.Key{}, ErrInvalid.Wrap(err)
	}
	return k, nil
}

// WriteRing replaces the ring at path in one step.
func WriteRing(path string, ring []token.Key) error {
	if err := token.ValidateKeys(ring); err != nil {
		return ErrInvalid.Wrap(err)
	}
	var b strings.Builder
	for _, k := range ring {
		b.WriteString(strconv.Itoa(int(k.ID)) + " " + hex.EncodeToString(k.Secret) + "\n")
	}
	return writeFile(path, []byte(b.String()), secretMode)
}

func loadRing(path string) (*ringState, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	ring, err := parseRing(string(data))
	if err != nil {
		return nil, err
	}
	codec, err := token.NewCodec(ring...)
	if err != nil {
		return nil, ErrInvalid.Wrap(err)
	}
	return &ringState{keys: ring, codec: codec}, nil
}

// parseRing names lines by number in its errors and never by content, which is
// secret.
func parseRing(text string) ([]token.Key, error) {
	var ring []token.Key
	n := 0
	for line := range strings.Lines(text) {
		n++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		k, ok := parseKey(line)
		if !ok {
			return nil, ErrInvalid.New("line %d is not an id and a secret", n)
		}
		ring = append(ring, k)
	}
	return ring, nil
}

func parseKey(line string) (token.Key, bool) {
	f := strings.Fields(line)
	if len(f) != 2 {
		return token.Key{}, false
	}
	id, err := strconv.ParseUint(f[0], 10, 8)
	if err != nil {
		return token.Key{}, false
	}
	secret, err := hex.DecodeString(f[1])
	return token.Key{ID: byte(id), Secret: secret}, err == nil
}
