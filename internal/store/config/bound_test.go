package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a bound on one account that changes another one, loses comments, or leaves the burst of the
// rate before.
func TestBoundChangesOneAccount(t *testing.T) {
	base := `# our accounts
accounts:
  - name: one # the first
    team: desk
    requests_per_second: 100 # agreed
    burst: 400
  - {name: two, team: desk}
`
	rate, concurrency := 2.5, 7
	got, err := WithBound([]byte(base), "one", Bound{RequestsPerSecond: &rate})
	require.NoError(t, err)
	require.Equal(t, `# our accounts
accounts:
  - name: one # the first
    team: desk
    requests_per_second: 2.5 # agreed
  - {name: two, team: desk}
`, string(got))
	got, err = WithBound([]byte(base), "two", Bound{RequestsPerSecond: &rate, Concurrency: &concurrency})
	require.NoError(t, err)
	require.Contains(t, string(got), "{name: two, team: desk, requests_per_second: 2.5, concurrency: 7}")
	require.Contains(t, string(got), "burst: 400")
	for _, text := range []string{base, "", "accounts: 3", "{", "accounts: [3]"} {
		_, err = WithBound([]byte(text), "three", Bound{RequestsPerSecond: &rate})
		require.True(t, ErrNoAccount.Has(err), text)
	}
}
