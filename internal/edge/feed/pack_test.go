package feed

import (
	"fmt"
	"testing"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/stretchr/testify/require"
)

func configOf(version uint64, routes int) *catalog.Config {
	c := catalog.Config{Version: version}
	for i := range routes {
		c.Routes = append(c.Routes, catalog.Route{
			Name: fmt.Sprint("route-", i), Host: "some.host.example", Prefix: fmt.Sprintf("/prefix%d/", i),
			Kind: catalog.Idempotent, Backends: []catalog.Backend{{Service: "service", Weight: 1}}, Attempts: 2,
		})
	}
	return catalog.NewConfig(c)
}

// Symptom: routers of a site hear nothing for seconds after routes were added.
// Sequence: the first router of the site sends the change to each of the others.
// Cause: 150 KB to each fill its link. Handled: a change is packed, and once for all.
func TestChangeOfManyRoutesIsSmall(t *testing.T) {
	var p packer
	before, after := configOf(1, 200), configOf(2, 1400)
	packed, err := p.update(after, before)
	require.NoError(t, err)
	require.Less(t, len(packed.Data), 30_000)
	again, err := p.update(after, before)
	require.NoError(t, err)
	require.Same(t, packed, again)

	u, err := packed.unpack()
	require.NoError(t, err)
	got, ok := u.Apply(before)
	require.True(t, ok)
	require.ElementsMatch(t, after.Routes, got.Routes)

	whole, err := p.update(after, nil)
	require.NoError(t, err)
	require.Zero(t, whole.Base)
	next, err := p.update(configOf(3, 1400), after)
	require.NoError(t, err)
	require.Less(t, len(next.Data), 2_000)
}

func TestUpdateOfAnotherVersionIsRefused(t *testing.T) {
	packed, err := packConfig(configOf(2, 1).UpdateFrom(nil))
	require.NoError(t, err)
	packed.Version = 9
	_, err = packed.unpack()
	require.True(t, ErrMalformed.Has(err), "%v", err)
}

func FuzzUnpack(f *testing.F) {
	packed, err := packConfig(configOf(2, 3).UpdateFrom(nil))
	require.NoError(f, err)
	f.Add(packed.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := (&PackedConfig{Version: 2, Data: data}).unpack()
		require.True(t, err == nil || ErrMalformed.Has(err), "%v", err)
	})
}
