package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"path"
	"slices"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
)

// Names of the files of a bundle, as problems report them.
const (
	// BaseFile is the base document.
	BaseFile = "base.yaml"
	// SitesDir holds one overlay for each site, named after it.
	SitesDir = "sites"
	// FileSuffix ends the name of every file of a bundle.
	FileSuffix = ".yaml"
)

// Problem is one fault of a bundle, with file, line and path.
type Problem = strictyaml.Problem

// Problems is the error that lists all faults of a bundle.
type Problems = strictyaml.Problems

// Bundle is the text of a whole configuration: the base document and the
// overlays by site. It is what is hashed, stored and sent between routers.
type Bundle struct {
	Base     []byte            `json:"base"`
	Overlays map[string][]byte `json:"overlays"`
}

// Hash is the SHA-256 sum of a bundle's canonical encoding.
type Hash [sha256.Size]byte

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText implements encoding.TextMarshaler.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(h) {
		return ErrCorrupt.New("hash %q is not %d bytes of hexadecimal", text, len(h))
	}
	copy(h[:], raw)
	return nil
}

// Encode returns the canonical encoding: JSON with the sites in order, so
// that equal bundles have equal bytes.
func (b Bundle) Encode() []byte {
	canonical := Bundle{Base: b.Base, Overlays: b.Overlays}
	if canonical.Base == nil {
		canonical.Base = []byte{}
	}
	if canonical.Overlays == nil {
		canonical.Overlays = map[string][]byte{}
	}
	// Byte slices under string keys always encode, so the error is not lost.
	data, _ := json.Marshal(canonical)
	return data
}

// DecodeBundle reads what Encode wrote.
func DecodeBundle(data []byte) (Bundle, error) {
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return Bundle{}, ErrCorrupt.Wrap(err)
	}
	return b, nil
}

// Hash returns the SHA-256 sum of the canonical encoding.
func (b Bundle) Hash() Hash { return sha256.Sum256(b.Encode()) }

// Files returns the bundle's texts by file name, as on disk.
func (b Bundle) Files() map[string][]byte {
	files := map[string][]byte{BaseFile: b.Base}
	for site, data := range b.Overlays {
		files[OverlayFile(site)] = data
	}
	return files
}

// OverlayFile returns the name of a site's overlay within a bundle.
func OverlayFile(site string) string { return path.Join(SitesDir, site+FileSuffix) }

// Parsed is a bundle after decoding.
type Parsed struct {
	Document *Document
	// Overlays are by the site that they were filed under.
	Overlays map[string]*Overlay

	base  *strictyaml.Source
	sites map[string]*strictyaml.Source
}

// Parse decodes all files of the bundle. The error is of type Problems. It
// says only whether the files can be read; Validate checks what they mean.
func (b Bundle) Parse() (*Parsed, error) {
	p := &Parsed{
		Document: new(Document),
		Overlays: make(map[string]*Overlay),
		sites:    make(map[string]*strictyaml.Source),
	}
	var problems Problems
	p.base, problems = strictyaml.Decode(BaseFile, b.Base, p.Document)
	for _, site := range slices.Sorted(maps.Keys(b.Overlays)) {
		overlay := new(Overlay)
		src, faults := strictyaml.Decode(OverlayFile(site), b.Overlays[site], overlay)
		p.Overlays[site] = overlay
		p.sites[site] = src
		problems = append(problems, faults...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return p, nil
}

// ParseBase decodes a base document; file names it in problems.
func ParseBase(file string, data []byte) (*Document, error) {
	doc := new(Document)
	_, problems := strictyaml.Decode(file, data, doc)
	if len(problems) > 0 {
		return nil, problems
	}
	return doc, nil
}
