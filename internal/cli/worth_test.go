package cli

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWorthListsAndPlotsRounds(t *testing.T) {
	dir := t.TempDir()
	run := `{"cmd":"score","ok":true,"site":"some-site","why":"first","at":["2026-12-02T21:00:00Z",""],"figures":{"gate":0},"days":[{"name":"quiet-1","G":0.5}]}`
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.json"), []byte(run), 0o600))
	plot := filepath.Join(dir, "worth.svg")
	code, out, stderr := execute("worth", "--journal", dir, "--plot", plot)
	require.Equal(t, exitOK, code, stderr)
	assert.Contains(t, out, "some-site          0.5000 (a rule broken)  first")
	svg, err := os.ReadFile(plot)
	require.NoError(t, err)
	assert.Contains(t, string(svg), "some-site")

	code, _, stderr = execute("worth", "--journal", t.TempDir())
	assert.Equal(t, exitFailed, code)
	assert.Contains(t, stderr, "no runs")
}
