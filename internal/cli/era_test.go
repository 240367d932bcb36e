package cli

import (
	"bytes"
	"testing"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/stretchr/testify/require"
)

// An operator sees which routers refuse requests for want of memory.
func TestFleetShowsRoutersShortOfMemory(t *testing.T) {
	var out bytes.Buffer
	printShortOfMemory(&out, []feed.Status{{Router: "r1"}, {Router: "r2", ShortOfMemory: true}})
	require.Equal(t, "short of memory for requests: r2\n", out.String())
}

// An operator sees which routers have followed a return of the store from an older copy.
func TestFleetShowsErasOfTheStore(t *testing.T) {
	var out bytes.Buffer
	printEras(&out, []feed.Status{
		{Router: "r1", State: feed.StateServing, StoreEra: "4"},
		{Router: "r2", State: feed.StateServing, StoreEra: "5"},
		{Router: "r3", State: feed.StateServing, StoreEra: "5"},
		{Router: "r4", State: feed.StateNotHeard},
	})
	require.Equal(t, "store era: 4, known to 1 of 3 routers\nstore era: 5, known to 2 of 3 routers\n", out.String())
}
