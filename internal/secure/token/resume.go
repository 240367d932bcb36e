package token

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"
)

const (
	// timeResolution is the resolution of encoded times and lifetimes.
	timeResolution = time.Minute
	// MaxClockSkew extends the lifetime of a token, because it is usually opened
	// by another router than the one that issued it, and their clocks differ.
	MaxClockSkew = 5 * time.Minute
	// maxStringLen bounds each string in a resume token, in bytes.
	maxStringLen = 255
	// maxLifetime is the longest lifetime that can be encoded, in whole minutes.
	maxLifetime = (1<<16 - 1) * timeResolution
)

// ErrUnsealable reports a resume token whose fields cannot be encoded.
var ErrUnsealable = errs.Class("token: unsealable")

// Resume authorizes an account to resume one stream at any router. It holds the
// name of the engine, not its address: the router that opens the token looks the
// address up and checks the incarnation, since the address may have been
// reassigned to another engine.
type Resume struct {
	// RequestID identifies the stream at the engine.
	RequestID string
	// Engine is the name of the engine.
	Engine string
	// Incarnation is the engine's incarnation; a later incarnation does not
	// have the stream.
	Incarnation uint64
	// Chat is the hash of account and chat id; 0 if the request had no chat id.
	Chat uint64
	// Model is the name of the model.
	Model string
	// Issued is the time of issue, rounded down to a minute.
	Issued time.Time
	// Lifetime is how long the token is valid, in whole minutes.
	Lifetime time.Duration
}

// SealResume returns the signed text of a resume token issued to account.
// Errors: ErrUnsealable.
func (c *Codec) SealResume(account string, r Resume) (string, error) {
	if err := r.validate(); err != nil {
		return "", err
	}
	var buf [maxTextLen]byte
	b := c.appendHeader(buf[:0], kindResume, account)
	b = binary.BigEndian.AppendUint64(b, r.Incarnation)
	b = binary.BigEndian.AppendUint64(b, r.Chat)
	b = binary.BigEndian.AppendUint32(b, uint32(r.Issued.Unix()/int64(timeResolution/time.Second)))
	b = binary.BigEndian.AppendUint16(b, uint16(r.Lifetime/timeResolution))
	for _, s := range [...]string{r.RequestID, r.Engine, r.Model} {
		b = append(b, byte(len(s)))
		b = append(b, s...)
	}
	if encoding.EncodedLen(len(b)+macSize) > maxTextLen {
		return "", ErrUnsealable.New("%d bytes", len(b))
	}
	return c.sign(b), nil
}

func (r Resume) validate() error {
	for _, s := range [...]string{r.RequestID, r.Engine, r.Model} {
		if len(s) > maxStringLen {
			return ErrUnsealable.New("string has %d bytes, want at most %d", len(s), maxStringLen)
		}
	}
	if r.Lifetime < timeResolution || r.Lifetime > maxLifetime {
		return ErrUnsealable.New("lifetime %s is out of range", r.Lifetime)
	}
	return nil
}

// OpenResume verifies text and returns its resume token, which must have been
// issued to account and must not have expired at now. The error is one of the
// package's *Error values.
func (c *Codec) OpenResume(account, text string, now time.Time) (Resume, error) {
	var buf [maxTextLen]byte
	fields, err := c.open(buf[:0], kindResume, account, text)
	if err != nil {
		return Resume{}, err
	}
	r, err := parseResume(fields)
	if err != nil {
		return Resume{}, err
	}
	if r.expired(now) {
		return Resume{}, ErrExpired
	}
	return r, nil
}

// expired tolerates clock skew. Without the tolerance, a router whose clock is
// ahead would reject new tokens, and resumes would fail at that router only. A
// token issued in the future is accepted: rejecting it would let one clock step
// break the streams of every caller of a router, while accepting it only gives
// an account access to its own stream until the key is retired.
func (r Resume) expired(now time.Time) bool {
	return now.Sub(r.Issued) > r.Lifetime+timeResolution+MaxClockSkew
}

func parseResume(fields []byte) (Resume, error) {
	const fixedSize = 8 + 8 + 4 + 2
	if len(fields) < fixedSize {
		return Resume{}, ErrMalformed
	}
	minutes := binary.BigEndian.Uint32(fields[16:])
	r := Resume{
		Incarnation: binary.BigEndian.Uint64(fields),
		Chat:        binary.BigEndian.Uint64(fields[8:]),
		Issued:      time.Unix(int64(minutes)*int64(timeResolution/time.Second), 0),
		Lifetime:    time.Duration(binary.BigEndian.Uint16(fields[20:])) * timeResolution,
	}
	rest := fields[fixedSize:]
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
