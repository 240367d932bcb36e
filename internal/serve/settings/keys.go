package settings

import (
	"encoding/base64"
	"os"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// MinKeyBytes is the length of the shortest key that is accepted, in bytes.
const MinKeyBytes = 32

// Redacted is printed in place of a secret.
const Redacted = "[redacted]"

// ErrKey means that a key is not base64.
var ErrKey = errs.Class("settings: key")

// Secret is a text that must not reach logs. Settings get printed when a
// process starts badly; a key in that output would be valid for the fleet.
type Secret string

// String hides the secret.
func (s Secret) String() string { return Redacted }

// GoString hides the secret from %#v.
func (s Secret) GoString() string { return Redacted }

// MarshalText hides the secret from encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte(Redacted), nil }

// Key is a secret key with the id that signatures carry.
type Key struct {
	// ID names the key in what it has signed. It has no default.
	ID string `yaml:"id" validate:"required,name"`
	// Key is the key in standard base64. Either Key or File is required.
	Key Secret `yaml:"key"`
	// File is a file that holds the key in standard base64.
	File string `yaml:"file"`

	secret []byte
}

// Bytes returns the key itself. It is empty before Provision.
func (k Key) Bytes() []byte { return k.secret }

// provision reads and decodes the key. A key without any text is left for
// Validate to report.
func (k *Key) provision() error {
	text := string(k.Key)
	if k.File != "" {
		data, err := os.ReadFile(k.File)
		if err != nil {
			return ErrRead.Wrap(err)
		}
		text = string(data)
	}
	secret, err := base64.StdEncoding.DecodeString(strings.TrimSpace(text))
	if err != nil {
		// The decoder's own error quotes no more than an offset.
		return ErrKey.New("key %s: %w", k.ID, err)
	}
	k.secret = secret
	return nil
}

// KeySet is what of the settings may change while the process runs.
type KeySet struct {
	// Fleet and Hint are the keys that sign first and those that are only
	// accepted, as in Settings.
	Fleet, Hint []Key
}

// ReadKeys reads the keys again: from the settings file, if the settings came
// from one, and from the key files that it names. Everything else stays as it
// was at the start. The file must be valid as a whole, so that a torn copy
// changes nothing. Errors: those of Load, ErrKey.
func (s *Settings) ReadKeys() (KeySet, error) {
	if s.file == "" {
		return s.rereadKeyFiles()
	}
	fresh, err := Load(s.file)
	if err != nil {
		return KeySet{}, err
	}
	if fresh.Name != s.Name {
		return KeySet{}, ErrKey.New("%s is of %q, not %q", s.file, fresh.Name, s.Name)
	}
	return KeySet{Fleet: fresh.FleetKeys, Hint: fresh.HintKeys}, nil
}

func (s *Settings) rereadKeyFiles() (KeySet, error) {
	fresh := *s
	fresh.FleetKeys = slices.Clone(s.FleetKeys)
	fresh.HintKeys = slices.Clone(s.HintKeys)
	if err := fresh.Provision(); err != nil {
		return KeySet{}, err
	}
	if err := fresh.Validate(); err != nil {
		return KeySet{}, err
	}
	return KeySet{Fleet: fresh.FleetKeys, Hint: fresh.HintKeys}, nil
}
