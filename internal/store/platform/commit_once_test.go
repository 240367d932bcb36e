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

// TestMain fixes the seed of the property tests; the flag overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// claimant commits, as owner, two rows that only one owner may write. The
// marker is the first or the second of them, so that a conflict names either
// the marker or the other row.
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

// Symptom: a key is claimed twice, or a claim that holds is reported as lost.
// Sequence: each case's faults hit the commits and the reads of one owner.
// Cause: an unknown outcome was taken for a failure, a marker not yet there for
// one that will never be, or a conflict with oneself for one with a rival.
func TestCommitOnceFindsOut(t *testing.T) {
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
		{"request under way while reading back", script{"commit": {platformtest.LateEffect}}, ok, 2},
		{"delivered twice", script{"commit": {platformtest.Duplicate}}, ok, 1},
		{"delivered twice, read-back fails once", script{"commit": {platformtest.Duplicate}, "get": {platformtest.Down}}, ok, 1},
		{"down from the start", script{"commit": {platformtest.Down}}, unavailable, 1},
		{"down after a lost request", script{"commit": {platformtest.LoseBeforeEffect, platformtest.Down}}, ok, 3},
	}
	run := func(t *testing.T, s script, me claimant) (row, stored platform.Row, commits int, err error) {
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
			row, err = me.claim(t.Context(), fake)
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

// Symptom: two owners hold one claim. Sequence: the first owner's request is
// held up; before the read-back a rival claims the key; then the request
// arrives. Cause: the second copy was sent without the condition of the first.
func TestCommitOnceLosesToRival(t *testing.T) {
	for _, markerFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			fake := platformtest.New()
			fake.Script(platformtest.OpCommit, platformtest.LateEffect)
			rival := claimant{"rival", markerFirst}
			fake.Before(func(ctx context.Context, c platformtest.Call) {
				if c.Op == platformtest.OpGet && c.N == 2 {
					_, err := rival.claim(ctx, fake)
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

// Symptom: "did not run" for a claim that holds. Sequence: the reply to the
// commit is lost, then the store goes down until the deadline. Cause: the last
// error, "unavailable", was returned instead of what the first one left open.
func TestCommitOnceStaysUnknownThroughOutage(t *testing.T) {
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

func TestCommitOnceWantsConditionalMarker(t *testing.T) {
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

// rivalry is a run of several owners who claim one key under faults.
type rivalry struct {
	commits, reads []platformtest.Fault
	// lateAfter is the number of the call after which late writes arrive.
	lateAfter int
	// timeouts has one entry for each owner, in milliseconds.
	timeouts    []int
	markerFirst bool
}

// run returns what each owner was told and who holds the claim once everything
// that was under way has arrived.
func (r rivalry) run(t *testing.T) (answers []error, holder string) {
	synctest.Test(t, func(t *testing.T) {
		fake := platformtest.New()
		fake.Script(platformtest.OpCommit, r.commits...)
		fake.Script(platformtest.OpGet, r.reads...)
		fake.After(func(c platformtest.Call) {
			if c.N == r.lateAfter {
				fake.DeliverLate()
			}
		})
		for i, ms := range r.timeouts {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(ms)*time.Millisecond)
			_, err := claimant{string(rune('a' + i)), r.markerFirst}.claim(ctx, fake)
			cancel()
			answers = append(answers, err)
		}
		fake.DeliverLate()
		stored, _ := fake.Store().Get("claim", "k")
		holder = string(stored.Value)
	})
	return answers, holder
}

// TestCommitOnceProperty lets rivals claim one key under arbitrary faults: at
// most one is told that it holds the claim, it does hold it, and nobody who was
// told "no" ever does.
func TestCommitOnceProperty(t *testing.T) {
	fault := rapid.SampledFrom([]platformtest.Fault{
		platformtest.None, platformtest.Down, platformtest.LoseBeforeEffect,
		platformtest.LoseReplyAfterEffect, platformtest.LateEffect, platformtest.Duplicate,
	})
	seen := map[kind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		answers, holder := rivalry{
			commits:     rapid.SliceOfN(fault, 0, 8).Draw(rt, "commits"),
			reads:       rapid.SliceOfN(fault, 0, 8).Draw(rt, "reads"),
			lateAfter:   rapid.IntRange(1, 12).Draw(rt, "late after"),
			timeouts:    rapid.SliceOfN(rapid.IntRange(1, 200), 3, 3).Draw(rt, "timeouts"),
			markerFirst: rapid.Bool().Draw(rt, "marker first"),
		}.run(t)
		for i, err := range answers {
			answer := kindOf(rt, err)
			seen[answer]++
			holds := holder == string(rune('a'+i))
			require.True(rt, answer == unknown || (answer == ok) == holds, "%d: %v, holds %v", i, err, holds)
		}
	})
	t.Log("answers:", seen)
}
