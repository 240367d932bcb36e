package protocol

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a reason for a refusal that docs/SIGNALS.md does not list.
func TestEachRefusalCodeIsInTheInventory(t *testing.T) {
	inventory, err := os.ReadFile("../../../../docs/SIGNALS.md")
	require.NoError(t, err)
	for _, code := range []Code{
		CodeQueueFull, CodeLeaving, CodeWrongIdentity, CodeModelNotLoaded, CodeUnknownStream, CodeUnknownPrefix, CodeBadRequest, CodeFault,
	} {
		require.Contains(t, string(inventory), "`"+string(code)+"`")
	}
}
