package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// sendWithoutEnd writes a beginning and then blocks until the other end closes the connection. It returns how many
// bytes the other end has taken.
func sendWithoutEnd(c net.Conn, start string) (taken int) {
	block := strings.Repeat("E", 10_000)
	n, err := io.WriteString(c, start)
	for taken = n; err == nil; taken += n {
		n, err = io.WriteString(c, block)
	}
	return taken
}

// Lengths of messages that have no end: 512 MB, and a length of nine bytes.
var endlessMessages = map[string]string{"message": "\xfc\x20\x00\x00\x00", "length": "\xf7"}

// Guards against a router that sends bytes without end in a reply or a call, which this one keeps until its memory is
// used up.
func TestMessageWithoutEndIsGivenUp(t *testing.T) {
	keys := newKeySet(1).keys
	for name, start := range endlessMessages {
		t.Run("reply "+name, func(t *testing.T) {
			taken := make(chan int, 1)
			dial := func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					e := newEndpoint("r2", keys, nil)
					secured, _, err := e.accept(&conn{Conn: far, counters: &Counters{}})
					if err == nil {
						go func() { _, _ = io.Copy(io.Discard, secured) }()
						taken <- sendWithoutEnd(far, start)
					}
				}()
				return near, nil
			}
			caller := NewCaller("r1", keys, &Counters{}, WithDial(dial))
			defer caller.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			out := 0
			err := caller.Call(ctx, Target{Name: "r2", Address: "a"}, "Echo.Say", []byte("x"), &out)
			require.True(t, ErrNoReply.Has(err), "%v", err)
			require.LessOrEqual(t, <-taken, maxMessage)
		})
		t.Run("call "+name, func(t *testing.T) {
			near, far := net.Pipe()
			server := NewServer("r2", keys, &Counters{})
			go server.serve(server.track(far))
			e := newEndpoint("r1", keys, nil)
			_, _, err := e.dial(&conn{Conn: near, counters: &Counters{}}, "r2")
			require.NoError(t, err)
			require.LessOrEqual(t, sendWithoutEnd(near, start), maxMessage)
		})
	}
}

// Guards against an end without a fleet key that sends bytes without end instead of a handshake.
func TestHandshakeWithoutEndIsGivenUp(t *testing.T) {
	keys := newKeySet(1).keys
	near, far := net.Pipe()
	server := NewServer("r2", keys, &Counters{})
	go server.serve(server.track(far))
	go func() { _, _ = io.Copy(io.Discard, near) }()
	require.LessOrEqual(t, sendWithoutEnd(near, ""), 1000)

	near, far = net.Pipe()
	taken := make(chan int, 1)
	go func() { taken <- sendWithoutEnd(far, "") }()
	caller := NewCaller("r1", keys, &Counters{}, WithDial(func(context.Context, string, string) (net.Conn, error) { return near, nil }))
	require.Error(t, caller.Call(t.Context(), Target{Name: "r2", Address: "a"}, "Echo.Say", []byte("x"), new(int)))
	require.LessOrEqual(t, <-taken, 1000)
}

// For any messages of package gob and any split of their bytes into reads, the bytes pass unchanged, and only those of
// more than maxMessage bytes fail.
func TestLimitFollowsMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent bytes.Buffer
		encoder := gob.NewEncoder(&sent)
		tooLong := false
		for range rapid.IntRange(1, 6).Draw(t, "messages") {
			size := rapid.OneOf(rapid.IntRange(0, 300), rapid.IntRange(maxMessage-20, maxMessage+20)).Draw(t, "size")
			before := sent.Len()
			require.NoError(t, encoder.Encode(bytes.Repeat([]byte("E"), size)))
			// The length of a long message takes four bytes, as maxMessage does.
			tooLong = tooLong || sent.Len()-before > maxMessage+4
		}
		c := &limitedConn{Conn: &bytesConn{left: sent.Bytes(), step: rapid.IntRange(1, 1<<20).Draw(t, "step")}}
		got, err := io.ReadAll(c)
		require.Equal(t, tooLong, ErrTooLong.Has(err), "%v", err)
		if !tooLong {
			require.True(t, bytes.Equal(sent.Bytes(), got))
		}
	})
}

// bytesConn is a connection from which some bytes can be read, at most step at once.
type bytesConn struct {
	net.Conn
	left []byte
	step int
}

func (c *bytesConn) Read(p []byte) (int, error) {
	if len(c.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.left[:min(c.step, len(c.left))])
	c.left = c.left[n:]
	return n, nil
}
