package capacity_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// If the generated document violates the rules for documents, slopes would be
// measured on a fleet that routers reject, or that is smaller than its name
// suggests.
func TestSizesYieldValidFleets(t *testing.T) {
	for _, size := range capacity.Sizes() {
		f, err := capacity.New(size)
		require.NoError(t, err)
		assert.Empty(t, config.Validate(f.Bundle), size)
		assert.Len(t, f.Routers, size.Routers)
		assert.Len(t, f.Engines, size.Engines)
		assert.Len(t, f.Config.Accounts, size.Accounts)
		assert.Len(t, f.Config.Pools, size.Pools)
		assert.Len(t, f.VMs(), size.Routers+size.Engines)
	}
}

// If Owned and the board assigned owners by different rules, the figures per
// router would include routers that own nothing.
func TestEveryEngineHasOneOwner(t *testing.T) {
	f, err := capacity.New(capacity.Today())
	require.NoError(t, err)
	owned := make(map[string]int)
	for name := range f.Routers {
		for _, e := range capacity.Owned(f.Start(t.Context(), name).Snapshot()) {
			owned[e.Name]++
		}
	}
	require.Len(t, owned, f.Size.Engines)
	for name, n := range owned {
		assert.Equal(t, 1, n, name)
	}
}
