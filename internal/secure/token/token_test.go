package token

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var (
	issued = time.Unix(1_700_000_040, 0) // a whole minute
	hint   = Hint{Chat: 1, Model: 2, Engine: 3, Incarnation: 4, Prefix: 5, Tokens: 60_000, Counter: 7}
	resume = Resume{
		RequestID: "0b8c0f4e-7f5e-4a53-9d0e-8f7f3f1f2a11", Engine: "engine-7", Incarnation: 4,
		Chat: 1, Model: "large", Issued: issued, Lifetime: 10 * time.Minute,
	}
)

func testKey(id byte) Key { return Key{ID: id, Secret: bytes.Repeat([]byte{id}, MinSecretBytes)} }

func newTestCodec(t testing.TB, keys ...Key) *Codec {
	c, err := NewCodec(keys...)
	require.NoError(t, err)
	return c
}

func sealResume(t testing.TB, c *Codec, r Resume) string {
	text, err := c.SealResume("acme", r)
	require.NoError(t, err)
	return text
}

func TestSealedTokensOpenUnchanged(t *testing.T) {
	c := newTestCodec(t, testKey(1))
	text := c.SealHint("acme", hint)
	assert.Less(t, len(text), 120)
	h, err := c.OpenHint("acme", text)
	require.NoError(t, err)
	assert.Equal(t, hint, h)

	r, err := c.OpenResume("acme", sealResume(t, c, resume), issued)
	require.NoError(t, err)
	assert.Equal(t, resume, r)
}

// A caller must not be able to use an altered, swapped or replayed token: each
// open must check signature, kind, key, account and expiry. The error text must
// be the same for all of them.
func TestInvalidTokensAreRejected(t *testing.T) {
	c := newTestCodec(t, testKey(1))
	h, r := c.SealHint("acme", hint), sealResume(t, c, resume)
	// This token is as long as a hint, so only the kind distinguishes them.
	short := sealResume(t, c, Resume{RequestID: strings.Repeat("r", 27), Lifetime: time.Minute})
	require.Len(t, short, len(h))
	retired := newTestCodec(t, testKey(9)).SealHint("acme", hint)
	sameID := newTestCodec(t, Key{ID: 1, Secret: bytes.Repeat([]byte{8}, MinSecretBytes)}).SealHint("acme", hint)
	late := issued.Add(resume.Lifetime + timeResolution + MaxClockSkew + time.Second)
	cases := map[string]struct {
		account, text string
		now           time.Time
		isHint        bool
		want          error
	}{
		"hint of another account":       {"bolt", h, issued, true, ErrWrongAccount},
		"resume of another account":     {"bolt", r, issued, false, ErrWrongAccount},
		"hint as resume token":          {"acme", h, issued, false, ErrMalformed},
		"resume token as hint":          {"acme", r, issued, true, ErrMalformed},
		"resume token of a hint's size": {"acme", short, issued, true, ErrMalformed},
		"retired key":                   {"acme", retired, issued, true, ErrForged},
		"other secret, same id":         {"acme", sameID, issued, true, ErrForged},
		"empty":                         {"acme", "", issued, true, ErrMalformed},
		"line break inside":             {"acme", r[:8] + "\n" + r[8:], issued, false, ErrMalformed},
		"line break for a char":         {"acme", h[:8] + "\n" + h[9:], issued, true, ErrMalformed},
		"oversized":                     {"acme", strings.Repeat("A", maxTextLen+1), issued, false, ErrMalformed},
		"expired":                       {"acme", r, late, false, ErrExpired},
		"expired and another's":         {"bolt", r, late, false, ErrWrongAccount},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var err error
			if tc.isHint {
				_, err = c.OpenHint(tc.account, tc.text)
			} else {
				_, err = c.OpenResume(tc.account, tc.text, tc.now)
			}
			require.ErrorIs(t, err, tc.want)
			assert.Equal(t, ErrForged.Error(), err.Error())
		})
	}
}

// A token with any one character replaced must be rejected. It would be accepted
// if the signature did not cover a byte, or if two texts decoded to the same
// bytes.
func TestAnyChangedCharacterIsRejected(t *testing.T) {
	c := newTestCodec(t, testKey(1), testKey(2))
	h, r := c.SealHint("acme", hint), sealResume(t, c, resume)
	const alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_=\n"
	for i := range max(len(h), len(r)) {
		for _, ch := range []byte(alphabet) {
			if i < len(h) && h[i] != ch {
				_, err := c.OpenHint("acme", h[:i]+string(ch)+h[i+1:])
				require.Error(t, err, "hint character %d as %q", i, ch)
			}
			if i < len(r) && r[i] != ch {
				_, err := c.OpenResume("acme", r[:i]+string(ch)+r[i+1:], issued)
				require.Error(t, err, "resume character %d as %q", i, ch)
			}
		}
	}
}

// Tokens must stay valid across routers while keys are rotated on one router
// after another. They would fail if a router signed with a key that others do
// not accept yet.
func TestKeyRotationKeepsTokensValid(t *testing.T) {
	steps := [][]Key{{testKey(1)}, {testKey(1), testKey(2)}, {testKey(2), testKey(1)}, {testKey(2)}}
	for i := 1; i < len(steps); i++ {
		before, after := newTestCodec(t, steps[i-1]...), newTestCodec(t, steps[i]...)
		_, err := after.OpenHint("acme", before.SealHint("acme", hint))
		require.NoError(t, err, "step %d, old to new", i)
		_, err = before.OpenHint("acme", after.SealHint("acme", hint))
		require.NoError(t, err, "step %d, new to old", i)
	}
}

// A resume must succeed at a router whose clock differs from the issuer's by up
// to MaxClockSkew. A strict comparison of expiry would fail at that router only.
func TestExpiryAllowsClockSkew(t *testing.T) {
	c := newTestCodec(t, testKey(1))
	text := sealResume(t, c, resume)
	for _, skew := range []time.Duration{-24 * time.Hour, -MaxClockSkew, 0, MaxClockSkew} {
		_, err := c.OpenResume("acme", text, issued.Add(resume.Lifetime+skew))
		assert.NoError(t, err, "skew %s", skew)
	}
}

func TestInvalidKeysAndFieldsAreRejected(t *testing.T) {
	for name, keys := range map[string][]Key{
		"none":         nil,
		"three":        {testKey(1), testKey(2), testKey(3)},
		"same id":      {testKey(1), testKey(1)},
		"short secret": {{ID: 1, Secret: make([]byte, MinSecretBytes-1)}},
	} {
		_, err := NewCodec(keys...)
		assert.True(t, ErrKeys.Has(err), name)
	}
	long := strings.Repeat("x", maxStringLen)
	for name, r := range map[string]Resume{
		"long string": {RequestID: long + "x", Lifetime: time.Minute},
		"too long":    {RequestID: long, Engine: long, Model: long, Lifetime: time.Minute},
		"no lifetime": {RequestID: "r"},
	} {
		_, err := newTestCodec(t, testKey(1)).SealResume("acme", r)
		assert.True(t, ErrUnsealable.Has(err), name)
	}
}

func FuzzOpen(f *testing.F) {
	c := newTestCodec(f, testKey(1))
	f.Add(c.SealHint("acme", hint), []byte("fields"))
	f.Add(sealResume(f, c, resume), make([]byte, 30))
	f.Fuzz(func(t *testing.T, text string, fields []byte) {
		if h, err := c.OpenHint("acme", text); err == nil {
			require.Equal(t, text, c.SealHint("acme", h))
		}
		if r, err := c.OpenResume("acme", text, issued); err == nil {
			require.Equal(t, text, sealResume(t, c, r))
		}
		_, _ = parseResume(fields)
	})
}

func BenchmarkSealHint(b *testing.B) {
	c := newTestCodec(b, testKey(1))
	b.ReportAllocs()
	for b.Loop() {
		_ = c.SealHint("acme", hint)
	}
}

func BenchmarkOpenHint(b *testing.B) {
	c := newTestCodec(b, testKey(1))
	text := c.SealHint("acme", hint)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.OpenHint("acme", text)
	}
	b.ReportMetric(float64(len(text)), "chars")
}

func BenchmarkOpenResume(b *testing.B) {
	c := newTestCodec(b, testKey(1))
	text := sealResume(b, c, resume)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.OpenResume("acme", text, issued)
	}
	b.ReportMetric(float64(len(text)), "chars")
}
