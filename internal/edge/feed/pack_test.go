package feed

import (
	"fmt"
	"math/rand/v2"
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

// Guards against a site without updates for seconds after many routes were added: the first router
// of the site sent 150 KB to each of the others, which filled its link. An update is compressed,
// and packed once for all.
func TestConfigUpdateWithManyRoutesIsSmall(t *testing.T) {
	var p packer
	before, after := configOf(1, 200), configOf(2, 1400)
	packed, err := p.configUpdate(after, before)
	require.NoError(t, err)
	require.Less(t, len(packed.Data), 30_000)
	again, err := p.configUpdate(after, before)
	require.NoError(t, err)
	require.Same(t, packed, again)

	u, err := packed.unpack()
	require.NoError(t, err)
	got, ok := u.Apply(before)
	require.True(t, ok)
	require.ElementsMatch(t, after.Routes, got.Routes)

	full, err := p.configUpdate(after, nil)
	require.NoError(t, err)
	require.Zero(t, full.Base)
	next, err := p.configUpdate(configOf(3, 1400), after)
	require.NoError(t, err)
	require.Less(t, len(next.Data), 2_000)
}

func TestConfigUpdateWithWrongVersionIsRejected(t *testing.T) {
	packed, err := packConfig(configOf(2, 1).UpdateFrom(nil))
	require.NoError(t, err)
	packed.Version = 9
	_, err = packed.unpack()
	require.True(t, ErrMalformed.Has(err), "%v", err)
}

// manyEngines returns n engines in five sites.
func manyEngines(n int) catalog.EngineUpdate {
	rng := rand.New(rand.NewPCG(1, 2))
	out := catalog.EngineUpdate{Full: true, Upto: uint64(2 * n)}
	for i := range n {
		out.Present = append(out.Present, catalog.Engine{
			ID: fmt.Sprintf("i-%010x", rng.Uint64()>>24), Service: "zika60a", Address: fmt.Sprintf("10.%d.64.%d:8521", i%5, i/5),
			Site: fmt.Sprint("ank-", i%5), Slots: 24, Born: 1774162335000 + rng.Int64N(1000), Revision: uint64(i),
		})
	}
	return out
}

// Guards against large or repeatedly packed engine lists at a fleet start, and against lists
// altered by packing.
func TestPackedEnginesAreSmall(t *testing.T) {
	update := manyEngines(262)
	set, _ := catalog.NewEngineSet().Apply(update, 0)
	var p packer
	packed, err := p.engines(set)
	require.NoError(t, err)
	require.Less(t, len(packed.Data), 8_000)
	again, err := p.engines(set)
	require.NoError(t, err)
	require.Same(t, packed, again)
	got, err := packed.unpack()
	require.NoError(t, err)
	require.ElementsMatch(t, update.Present, got.Present)
	packed.Upto++
	_, err = packed.unpack()
	require.True(t, ErrMalformed.Has(err))
}

func FuzzUnpack(f *testing.F) {
	packed, err := packConfig(configOf(2, 3).UpdateFrom(nil))
	require.NoError(f, err)
	f.Add(packed.Data)
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := (&PackedConfig{Version: 2, Data: data}).unpack()
		require.True(t, err == nil || ErrMalformed.Has(err), "%v", err)
		_, err = (&PackedEngines{Upto: 2, Data: data}).unpack()
		require.True(t, err == nil || ErrMalformed.Has(err), "%v", err)
	})
}
