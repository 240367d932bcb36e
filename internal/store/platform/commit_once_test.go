package platform_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
)

// TestMain sets a fixed seed for the property tests. The flag rapid.seed overrides
// it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// claimant commits two rows that only one owner may write. The marker is the
// first or the second write, so that a conflict names either the marker or the
// other row.
type claimant struct {
	owner       string
	markerFirst bool
}

func (c claimant) claim(ctx context.Context, table platform.Table) (platform.Row, error) {
	m := platform.Marker{Table: "claim", Key: "k", Mine: func(r platform.Row) bool { return string(r.Value) == c.owner }}
	writes := []platform.Write{
		{Table: "log", Key: "head", Value: []byte(c.owner)},
		{Table: "claim", Key: "k", Value: []byte(c.owner)},
	}
	if c.markerFirst {
		slices.Reverse(writes)
	}
	return platform.CommitOnce(ctx, table, platform.UseClaim, m, writes...)
}

// A key must not be claimed twice, nor a claim that took effect be reported as
// failed. That happens if CommitOnce treats an unknown outcome as a failure, a
// marker that is still in transit as one that will never exist, or a conflict
// with the owner's own earlier copy as a conflict with another owner.
func TestCommitOnceResolvesLostReplies(t *testing.T) {
	type script map[platformtest.Op][]platformtest.Fault
	cases := []struct {
		name    string
		script  script
		want    kind
		commits int
	}{
		{"no fault", nil, ok, 1},
		{"reply lost after the effect", script{"commit": {platformtest.LoseReplyAfterEffect}}, ok, 1},
		{"request lost", script{"commit": {platformtest.LoseBeforeEffect}}, ok, 2},
		{"every reply lost", script{"commit": {platformtest.LoseReplyAfterEffect}, "get": {platformtest.Down, platformtest.Down}}, ok, 1},
		{"request in transit during read-back", script{"commit": {platformtest.LateEffect}}, ok, 2},
		{"delivered twice", script{"commit": {platformtest.Duplicate}}, ok, 1},
		{"delivered twice, read-back fails once", script{"commit": {platformtest.Duplicate}, "get": {platformtest.Down}}, ok, 1},
		{"store down from the start", script{"commit": {platformtest.Down}}, unavailable, 1},
		{"store down after a lost request", script{"commit": {platformtest.LoseBeforeEffect, platformtest.Down}}, ok, 3},
	}
	run := func(t *testing.T, s script, owner claimant) (row, stored platform.Row, commits int, err error) {
		synctest.Test(t, func(t *testing.T) {
			fake := platformtest.New()
			for op, faults := range s {
				fake.Script(op, faults...)
			}
			fake.After(func(call platformtest.Call) {
				if call.Op == platformtest.OpGet {
					fake.DeliverLate()
				}
			})
			row, err = owner.claim(t.Context(), fake)
			stored, _ = fake.Store().Get("claim", "k")
			commits = fake.Count(platformtest.OpCommit)
		})
		return row, stored, commits, err
	}
	for _, c := range cases {
		for _, markerFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, marker first %v", c.name, markerFirst), func(t *testing.T) {
				row, stored, commits, err := run(t, c.script, claimant{"me", markerFirst})
				require.Equal(t, c.want, kindOf(t, err), "%v", err)
				require.Equal(t, c.commits, commits)
				require.Equal(t, c.want == ok, stored.Version == 1)
				require.Equal(t, stored, row)
			})
		}
	}
}

// Two owners must not hold one claim. The request of the first owner is delayed,
// a second owner claims the key before the first reads back, and then the
// delayed request arrives. A repeated copy without the condition of the first
// would overwrite the second owner's claim.
func TestCommitOnceKeepsClaimOfSecondOwner(t *testing.T) {
	for _, markerFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fake := platformtest.New()
			fake.Script(platformtest.OpCommit, platformtest.LateEffect)
			second := claimant{"rival", markerFirst}
			fake.Before(func(ctx context.Context, c platformtest.Call) {
				if c.Op == platformtest.OpGet && c.N == 2 {
					_, err := second.claim(ctx, fake)
					assert.NoError(t, err)
				}
			})
			_, err := claimant{"me", markerFirst}.claim(t.Context(), fake)
			require.Equal(t, conflict, kindOf(t, err), "%v", err)
			fake.DeliverLate()
			stored, err := fake.Store().Get("claim", "k")
			require.NoError(t, err)
			require.Equal(t, "rival", string(stored.Value))
		})
	}
}

// A commit that may have taken effect must not be reported as having no effect:
// its reply is lost, and the store is then down until the deadline. The outcome
// of the first attempt is unknown, even though the last error is ErrUnavailable.
func TestCommitOnceReportsUnknownOutcomeAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformtest.New()
		fake.Script(platformtest.OpCommit, platformtest.LoseReplyAfterEffect)
		fake.After(func(platformtest.Call) { fake.SetDown(true) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		table := platform.NewBreaker(fake, platform.BreakerOptions{})
		_, err := claimant{owner: "me"}.claim(ctx, table)
		require.Equal(t, unknown, kindOf(t, err), "%v", err)
	})
}

func TestCommitOnceRejectsUnconditionalMarker(t *testing.T) {
	m := platform.Marker{Table: "t", Key: "k", Mine: func(platform.Row) bool { return true }}
	for name, w := range map[string]platform.Write{
		"missing":       {Table: "t", Key: "other"},
		"unconditional": {Table: "t", Key: "k", IfVersion: platform.AnyVersion},
		"deleted":       {Table: "t", Key: "k", IfVersion: 1, Delete: true},
	} {
		_, err := platform.CommitOnce(t.Context(), platformtest.New(), platform.UseClaim, m, w)
		require.Equal(t, invalid, kindOf(t, err), name)
	}
}

// contention describes several owners that claim one key while faults occur.
type contention struct {
	commits, reads []platformtest.Fault
	// deliverAfter is the number of the call after which delayed writes are
	// delivered.
	deliverAfter int
	// timeouts holds the timeout of each owner, in milliseconds.
	timeouts    []int
	markerFirst bool
}

// run returns the result of each owner, and the holder of the claim after all
// delayed writes have been delivered.
func (c contention) run(t *testing.T) (results []error, holder string) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformtest.New()
		fake.Script(platformtest.OpCommit, c.commits...)
		fake.Script(platformtest.OpGet, c.reads...)
		fake.After(func(call platformtest.Call) {
			if call.N == c.deliverAfter {
				fake.DeliverLate()
			}
		})
		for i, ms := range c.timeouts {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(ms)*time.Millisecond)
			_, err := claimant{string(rune('a' + i)), c.markerFirst}.claim(ctx, fake)
			cancel()
			results = append(results, err)
		}
		fake.DeliverLate()
		stored, _ := fake.Store().Get("claim", "k")
		holder = string(stored.Value)
	})
	return results, holder
}

// Several owners claim one key under arbitrary faults. The owner whose call
// succeeded must hold the claim, so that at most one call succeeds, and an owner
// whose call definitely failed must never hold it.
func TestCommitOnceHasAtMostOneHolder(t *testing.T) {
	fault := rapid.SampledFrom([]platformtest.Fault{
		platformtest.None, platformtest.Down, platformtest.LoseBeforeEffect,
		platformtest.LoseReplyAfterEffect, platformtest.LateEffect, platformtest.Duplicate,
	})
	seen := map[kind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		results, holder := contention{
			commits:      rapid.SliceOfN(fault, 0, 8).Draw(rt, "commits"),
			reads:        rapid.SliceOfN(fault, 0, 8).Draw(rt, "reads"),
			deliverAfter: rapid.IntRange(1, 12).Draw(rt, "deliver after"),
			timeouts:     rapid.SliceOfN(rapid.IntRange(1, 200), 3, 3).Draw(rt, "timeouts"),
			markerFirst:  rapid.Bool().Draw(rt, "marker first"),
		}.run(t)
		for i, err := range results {
			result := kindOf(rt, err)
			seen[result]++
			holds := holder == string(rune('a'+i))
			require.True(rt, result == unknown || (result == ok) == holds, "owner %d: %v, holds %v", i, err, holds)
		}
	})
	t.Log("answers:", seen)
}
