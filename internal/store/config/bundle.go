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

// Names of the files of a bundle, as they appear in problems.
const (
	// BaseFile is the base document.
	BaseFile = "base.yaml"
	// SitesDir is the directory of the overlays, one file per site, named after
	// the site.
	SitesDir = "sites"
	// FileSuffix is the suffix of every file name in a bundle.
	FileSuffix = ".yaml"
)

// Problem is one error in a bundle, with file, line and path.
type Problem = strictyaml.Problem

// Problems is the error that lists all problems of a bundle.
type Problems = strictyaml.Problems

// Bundle is the text of a complete configuration: the base document and the
// overlays by site. It is the unit that is hashed, stored and sent between
// routers.
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

// UnmarshalText implements encoding.TextUnmarshaler. The error is ErrCorrupt.
func (h *Hash) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(h) {
		return ErrCorrupt.New("hash %q is not %d bytes of hexadecimal", text, len(h))
	}
	copy(h[:], decoded)
	return nil
}

// Encode returns the canonical encoding: JSON with the sites in sorted order,
// so that equal bundles have equal bytes.
func (b Bundle) Encode() []byte {
	canonical := Bundle{Base: b.Base, Overlays: b.Overlays}
	if canonical.Base == nil {
		canonical.Base = []byte{}
	}
	if canonical.Overlays == nil {
		canonical.Overlays = map[string][]byte{}
	}
	// Encoding byte slices under string keys can't fail.
	data, _ := json.Marshal(canonical)
	return data
}

// DecodeBundle decodes the output of Encode. The error is ErrCorrupt.
func DecodeBundle(data []byte) (Bundle, error) {
	var b Bundle
	if err := json.Unmarshal(data, &b); err != nil {
		return Bundle{}, ErrCorrupt.Wrap(err)
	}
	return b, nil
}

// Hash returns the SHA-256 sum of the canonical encoding.
func (b Bundle) Hash() Hash { return sha256.Sum256(b.Encode()) }

// Files returns the bundle's texts by file name, relative to its directory.
func (b Bundle) Files() map[string][]byte {
	files := map[string][]byte{BaseFile: b.Base}
	for site, data := range b.Overlays {
		files[OverlayFile(site)] = data
	}
	return files
}

// OverlayFile returns the name of a site's overlay within a bundle.
func OverlayFile(site string) string { return path.Join(SitesDir, site+FileSuffix) }

// Parsed is a decoded bundle, with the positions of its fields.
type Parsed struct {
	Document *Document
	// Overlays are keyed by the site in the file name, which may differ from
	// the site that an invalid overlay names.
	Overlays map[string]*Overlay

	baseSource     *strictyaml.Source
	overlaySources map[string]*strictyaml.Source
}

// Parse decodes all files of the bundle. It checks only syntax and the types of
// fields; Validate also checks values and references. The error is of type
// Problems.
func (b Bundle) Parse() (*Parsed, error) {
	p := &Parsed{
		Document:       new(Document),
		Overlays:       make(map[string]*Overlay),
		overlaySources: make(map[string]*strictyaml.Source),
	}
	var problems Problems
	p.baseSource, problems = strictyaml.Decode(BaseFile, b.Base, p.Document)
	for _, site := range slices.Sorted(maps.Keys(b.Overlays)) {
		overlay := new(Overlay)
		src, overlayProblems := strictyaml.Decode(OverlayFile(site), b.Overlays[site], overlay)
		p.Overlays[site] = overlay
		p.overlaySources[site] = src
		problems = append(problems, overlayProblems...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return p, nil
}

// ParseBase decodes a base document, which problems report under the name file.
// The error is of type Problems.
func ParseBase(file string, data []byte) (*Document, error) {
	doc := new(Document)
	_, problems := strictyaml.Decode(file, data, doc)
	if len(problems) > 0 {
		return nil, problems
	}
	return doc, nil
}
