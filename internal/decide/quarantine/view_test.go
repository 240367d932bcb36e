package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that goes on while its quarantine is being decided.
func TestRequestIsHeldUntilDecided(t *testing.T) {
	table := NewTable(DefaultLimits())
	content := Content{Account: "a", Target: "/q"}
	for i := range table.limits.Ends {
		status, _ := table.View().Find(content)
		require.Zero(t, status.HeldUntil)
		require.Len(t, status.Ends, i)
		table.RecordEnd(End{Engine: fmt.Sprint("e", i), Site: "site", At: time.Duration(i)}, cuts(suspect("q")), time.Duration(i))
	}
	status, _ := table.View().Find(content)
	require.Greater(t, status.HeldUntil, decided)
	table.Advance(status.HeldUntil)
	status, _ = table.View().Find(content)
	require.True(t, status.Quarantined)
	require.Equal(t, 1, status.EndsWithout([]EngineStart{{ID: "e0"}, {ID: "e2"}, {ID: "x"}}))
}

// Guards against hashing the bodies of requests that resemble no suspect.
func TestOnlyContentWithKnownHintIsHashed(t *testing.T) {
	table := NewTable(DefaultLimits())
	table.RecordEnd(End{Engine: "e", Site: "site"}, cuts(suspect("q")), 0)
	_, fingerprint := table.View().Find(Content{Account: "a", Target: "/other"})
	require.Nil(t, fingerprint)
	_, fingerprint = table.View().Find(Content{Account: "a", Target: "/q", Body: []byte("longer")})
	require.Nil(t, fingerprint)
	status, fingerprint := table.View().Find(Content{Account: "a", Target: "/q"})
	require.NotNil(t, fingerprint)
	require.Len(t, status.Ends, 1)
}

// BenchmarkFind reports the cost of looking up a request with a body of 16 KB: with no suspect, with
// a full table, and as a suspect.
func BenchmarkFind(b *testing.B) {
	body := make([]byte, 16<<10)
	full := NewTable(DefaultLimits())
	for i := range full.limits.Entries - 1 {
		full.RecordEnd(End{Engine: fmt.Sprint("e", i), Site: "site"}, cuts(suspect(fmt.Sprint("s", i))), 0)
	}
	q := Content{Account: "a", Method: "POST", Host: "h", Target: "/q", Body: body}
	full.RecordEnd(End{Engine: "e", Site: "site"}, cuts(Suspect{Fingerprint: q.Fingerprint(), Hint: q.Hint()}), 0)
	other := q
	other.Target = "/other"
	for _, c := range []struct {
		name    string
		view    *View
		content Content
	}{{"empty", NewTable(DefaultLimits()).View(), other}, {"full", full.View(), other}, {"suspect", full.View(), q}} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				c.view.Find(c.content)
			}
		})
	}
	b.Run("change", func(b *testing.B) {
		for b.Loop() {
			full.View()
		}
	})
}
