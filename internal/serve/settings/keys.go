package settings

import (
	"encoding/base64"
	"os"
	"slices"
	"strings"

	"github.com/zeebo/errs"
)

// MinKeyBytes is the minimum length of a key in bytes.
const MinKeyBytes = 32

// Redacted replaces secrets in output.
const Redacted = "[redacted]"

// ErrKey means that a key is not valid base64, or that a settings file belongs to another process.
var ErrKey = errs.Class("settings: key")

// Secret is a string that must not be written to logs. A process that fails to start may print its
// settings, and a key in that output would be valid for the whole fleet.
type Secret string

// String returns Redacted.
func (s Secret) String() string { return Redacted }

// GoString returns Redacted, for %#v.
func (s Secret) GoString() string { return Redacted }

// MarshalText returns Redacted, for encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte(Redacted), nil }

// Key is a secret key and its ID.
type Key struct {
	// ID identifies the key in signatures made with it. It has no default.
	ID string `yaml:"id" validate:"required,name"`
	// Key is the key in standard base64. Either Key or File is required.
	Key Secret `yaml:"key"`
	// File is the path of a file that contains the key in standard base64.
	File string `yaml:"file"`

	secret []byte
}

// Bytes returns the decoded key. It is empty before Provision.
func (k Key) Bytes() []byte { return k.secret }

// provision reads and decodes the key. Validate reports a key that is empty.
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
		// The decoder's error contains only an offset, no part of the key.
		return ErrKey.New("key %s: %w", k.ID, err)
	}
	k.secret = secret
	return nil
}

// KeySet contains the settings that may change while the process runs.
type KeySet struct {
	// Fleet and Hint are FleetKeys and HintKeys of Settings. The first key signs, all are accepted.
	Fleet, Hint []Key
}

// ReadKeys reads the keys again from the settings file, if the settings were loaded from one, and
// from the key files that it names. All other settings keep their values from the start. The whole
// file must be valid, so that an incomplete copy changes nothing. Errors: those of Load, ErrKey.
func (s *Settings) ReadKeys() (KeySet, error) {
	if s.file == "" {
		return s.rereadKeyFiles()
	}
	updated, err := Load(s.file)
	if err != nil {
		return KeySet{}, err
	}
	if updated.Name != s.Name {
		return KeySet{}, ErrKey.New("%s is of %q, not %q", s.file, updated.Name, s.Name)
	}
	return KeySet{Fleet: updated.FleetKeys, Hint: updated.HintKeys}, nil
}

func (s *Settings) rereadKeyFiles() (KeySet, error) {
	updated := *s
	updated.FleetKeys = slices.Clone(s.FleetKeys)
	updated.HintKeys = slices.Clone(s.HintKeys)
	if err := updated.Provision(); err != nil {
		return KeySet{}, err
	}
	if err := updated.Validate(); err != nil {
		return KeySet{}, err
	}
	return KeySet{Fleet: updated.FleetKeys, Hint: updated.HintKeys}, nil
}
