package forward

import (
	"testing"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

// Guards against a stream that begins at a version of which the store does not know, and against requests that lose
// engines because of that which they could use.
func TestResumableStreamsBeginAtEstablishedVersions(t *testing.T) {
	p := newPausedBalancer(4)
	u := catalog.EngineUpdate{Since: p.snapshot.Engines.Upto, Upto: p.snapshot.Engines.Upto + 1}
	versions := map[string]string{"e0": "v1", "e1": "v1", "e2": "v2", "e3": "v2"}
	for id, version := range versions {
		e := p.engine(id)
		e.Version, e.Revision = version, u.Upto
		u.Present = append(u.Present, e)
	}
	p.snapshot, _ = p.snapshot.WithEngines(u, p.now, 0, 0)
	p.SetEstablished(func(_, version string) bool { return version == "v1" })
	picked := func(q Query) map[string]int {
		out := make(map[string]int)
		for range 40 {
			choice, ok := p.Pick(p.snapshot, p.engine("e0").Service, q)
			require.True(t, ok)
			out[versions[choice.Engine.ID]]++
			p.Done(choice)
		}
		return out
	}
	require.Equal(t, 40, picked(Query{Resumable: true})["v1"])
	require.Positive(t, picked(Query{})["v2"])
	onlyNew := Query{Resumable: true, Excluded: map[string]bool{"e0": true, "e1": true}}
	require.Equal(t, 40, picked(onlyNew)["v2"], "no other engine is left")
}
