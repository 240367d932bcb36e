package cli

import (
	"bytes"
	"testing"

	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/stretchr/testify/require"
)

// Guards against an evacuation that is not shown to operators, or that is shown
// as known to all routers when it is not.
func TestFleetShowsEvacuatedSites(t *testing.T) {
	var out bytes.Buffer
	printEvacuated(&out, []feed.Status{
		{Router: "r1", State: feed.StateServing, Evacuated: []string{"a", "b"}},
		{Router: "r2", State: feed.StateServing, Evacuated: []string{"b"}},
		{Router: "r3", State: feed.StateNotHeard},
	})
	require.Equal(t, "evacuated: a, known to 1 of 2 routers\nevacuated: b, known to 2 of 2 routers\n", out.String())
}
