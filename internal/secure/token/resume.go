package token

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"
)

const (
	// issueUnit is the grain of the issue time.
	issueUnit = time.Minute
	// ClockSlack is added to a token's lifetime, because the router that opens
	// a token is rarely the one that issued it and their clocks differ.
	ClockSlack = 5 * time.Minute
	// maxString bounds each string in a resume token, in bytes.
	maxString = 255
	// maxLifetime is the longest lifetime that fits, in whole minutes.
	maxLifetime = (1<<16 - 1) * issueUnit
)

// ErrUnsealable reports a resume token whose fields do not fit.
var ErrUnsealable = errs.Class("token: unsealable")

// Resume is the right to take up one stream again at any router. The engine is
// named, not addressed: the router that opens the token looks the address up
// and checks the incarnation, since an address may by then be another engine's.
type Resume struct {
	// RequestID identifies the stream at the engine.
	RequestID string
	// Engine is the engine's name.
	Engine string
	// Incarnation is the engine's; a later one does not know the stream.
	Incarnation uint64
	// Chat is the hash of account and chat id; 0 if the request named none.
	Chat uint64
	// Model is the model's name.
	Model string
	// Issued is the time of issue, rounded down to a minute.
	Issued time.Time
	// Lifetime is how long the token is meant to last, in whole minutes.
	Lifetime time.Duration
}

// SealResume returns the text of a resume token for account.
func (c *Codec) SealResume(account string, r Resume) (string, error) {
	if err := r.validate(); err != nil {
		return "", err
	}
	var buf [maxText]byte
	b := c.start(buf[:0], kindResume, account)
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint64(b, r.Chat)
	b = binary.BigEndian.AppendUint32(b, uint32(r.Issued.Unix()/int64(issueUnit/time.Second)))
	b = binary.BigEndian.AppendUint16(b, uint16(r.Lifetime/issueUnit))
	for _, s := range [...]string{r.RequestID, r.Engine, r.Model} {
		b = append(b, byte(len(s)))
		b = append(b, s...)
	}
	if encoding.EncodedLen(len(b)+macSize) > maxText {
		return "", ErrUnsealable.New("%d bytes", len(b))
	}
	return c.finish(b), nil
}

func (r Resume) validate() error {
	for _, s := range [...]string{r.RequestID, r.Engine, r.Model} {
		if len(s) > maxString {
			return ErrUnsealable.New("string of %d bytes, at most %d", len(s), maxString)
		}
	}
	if r.Lifetime < issueUnit || r.Lifetime > maxLifetime {
		return ErrUnsealable.New("lifetime %s", r.Lifetime)
	}
	return nil
}

// OpenResume returns the resume token in text, which must have been issued to
// account and not be expired at now. The error is one of the package's *Error
// values.
func (c *Codec) OpenResume(account, text string, now time.Time) (Resume, error) {
	var buf [maxText]byte
	f, err := c.open(buf[:0], kindResume, account, text)
	if err != nil {
		return Resume{}, err
	}
	r, err := parseResume(f)
	if err != nil {
		return Resume{}, err
	}
	if r.expired(now) {
		return Resume{}, ErrExpired
	}
	return r, nil
}

// expired allows for clocks that differ. Without the slack a router whose
// clock runs ahead would refuse fresh tokens, seen as resumes that fail at one
// router only. A token from the future passes: refusing it would make one
// stepped clock cut the streams of every caller it serves, while letting it
// pass gives an account no more than its own stream until the key is retired.
func (r Resume) expired(now time.Time) bool {
	return now.Sub(r.Issued) > r.Lifetime+issueUnit+ClockSlack
}

func parseResume(f []byte) (Resume, error) {
	const fixed = 8 + 8 + 4 + 2
	if len(f) < fixed {
		return Resume{}, ErrMalformed
	}
	minutes := binary.BigEndian.Uint32(f[16:])
	r := Resume{
		Incarnation: binary.BigEndian.Uint64(f),
		Chat:        binary.BigEndian.Uint64(f[8:]),
		Issued:      time.Unix(int64(minutes)*int64(issueUnit/time.Second), 0),
		Lifetime:    time.Duration(binary.BigEndian.Uint16(f[20:])) * issueUnit,
	}
	rest := f[fixed:]
	for _, s := range [...]*string{&r.RequestID, &r.Engine, &r.Model} {
		if len(rest) == 0 || len(rest) < 1+int(rest[0]) {
			return Resume{}, ErrMalformed
		}
		end := 1 + int(rest[0])
		*s = string(rest[1:end])
		rest = rest[end:]
	}
	if len(rest) != 0 {
		return Resume{}, ErrMalformed
	}
	return r, nil
}
