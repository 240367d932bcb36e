package choose

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a prompt that is fetched from the cache of an engine of another version.
func TestPromptIsFetchedFromTheSameVersionOnly(t *testing.T) {
	engines := []Engine{
		{ID: "a", Key: 1, Version: "v1", Slots: 4, Share: 1}, {ID: "b", Key: 2, Version: "v2", Slots: 4, Share: 1},
		{ID: "c", Key: 3, Version: "v2", Slots: 4, Share: 1}, {ID: "d", Key: 4, Version: "v3", Slots: 4, Share: 1},
	}
	for key := range uint64(50) {
		for i := range engines {
			holder := PlacementAt(engines, i, key).Holder
			if holder == NoEngine {
				require.NotEqual(t, "v2", engines[i].Version)
				continue
			}
			require.Equal(t, engines[i].Version, engines[holder].Version)
			require.NotEqual(t, i, holder)
		}
	}
}
