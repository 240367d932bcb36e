package upstream

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: "did not run" for a request that is written a moment later.
// Sequence: the deadline passes between the connection and the first write.
// Cause: the transport writes in a goroutine of its own.
func TestSealDecidesTheRace(t *testing.T) {
	peer := func() (*countedConn, func()) {
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		return &countedConn{Conn: a}, func() { _ = a.Close() }
	}
	t.Run("sealed first: the write fails", func(t *testing.T) {
		c, stop := peer()
		defer stop()
		require.True(t, c.sealUnless(c.count()))
		_, err := c.Write([]byte("x"))
		require.ErrorIs(t, err, net.ErrClosed)
	})
	t.Run("written first: no seal", func(t *testing.T) {
		c, stop := peer()
		defer stop()
		before := c.count()
		_, err := c.Write([]byte("x"))
		require.NoError(t, err)
		require.False(t, c.sealUnless(before))
		_, err = c.Write([]byte("y"))
		require.NoError(t, err)
	})
}
