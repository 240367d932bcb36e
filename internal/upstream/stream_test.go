package upstream_test

import (
	"strconv"
	"testing"

	"damaskrouter.example/damaskrouter/internal/standin/engine"
	"github.com/stretchr/testify/require"
)

func TestStreamWholeAnswer(t *testing.T) {
	bubble(t, func(t *testing.T) {
		e, c, l := newEngine(t, engine.Defaults("e1", "m"))
		req := chatRequest(30, "hello", "again")
		for i := range 3 {
			s, err := c.Stream(t.Context(), chatCall("r"+strconv.Itoa(i), req))
			require.NoError(t, err)
			words, err := readAll(s)
			require.NoError(t, err)
			require.Equal(t, engine.Answer(req), words)
			s.Close()
		}
		require.Equal(t, map[string]int{"r0": 1, "r1": 1, "r2": 1}, e.Books().Runs)
		require.EqualValues(t, 1, l.dials.Load(), "whole streams give their connection back")
	})
}
