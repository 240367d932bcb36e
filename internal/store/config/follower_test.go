package config

import (
	"flag"
	"testing"

	_ "damaskrouter.example/damaskrouter/internal/lab/testseed"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The property test draws the same offers in every run; -rapid.seed=0 on the
// command line draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

func offer(f *Follower, version int) (bool, error) {
	b := variant(version)
	return f.Offer(uint64(version), b.Hash(), b)
}

// Guards against an accepted change that disappears from some routers because an
// offer that is older or damaged was activated. Versions reach a router from the
// store and from peers in any order, repeated and damaged.
func TestFollowerNeverActivatesOlderOrDamagedVersion(t *testing.T) {
	const versions = 6
	rapid.Check(t, func(t *rapid.T) {
		f := NewFollower("north")
		highest := uint64(0)
		offers := rapid.SliceOfN(rapid.IntRange(1, versions), 1, 40).Draw(t, "offers")
		damaged := rapid.SliceOfN(rapid.Bool(), len(offers), len(offers)).Draw(t, "damaged")
		for i, version := range offers {
			b := variant(version)
			hash := b.Hash()
			if damaged[i] {
				b = variant(version + 100)
			}
			applied, err := f.Offer(uint64(version), hash, b)
			newer := uint64(version) > highest
			if applied != (newer && !damaged[i]) {
				t.Fatalf("offer %d (damaged %v) over %d: applied %v", version, damaged[i], highest, applied)
			}
			if (err != nil) != (newer && damaged[i]) {
				t.Fatalf("offer %d (damaged %v) over %d: %v", version, damaged[i], highest, err)
			}
			if applied {
				highest = uint64(version)
			}
			if got := f.version(); got != highest {
				t.Fatalf("version %d active, want %d", got, highest)
			}
			if highest > 0 && f.Active().Hash != variant(int(highest)).Hash() {
				t.Fatalf("version %d has other content", highest)
			}
		}
	})
}

func TestFollowerRejectsOlderAndForkedOffers(t *testing.T) {
	f := NewFollower("north")
	assert.Nil(t, f.Active(), "a new router must have no active configuration")
	applied, err := offer(f, 3)
	require.NoError(t, err)
	assert.True(t, applied)
	applied, err = offer(f, 2)
	assert.NoError(t, err)
	assert.False(t, applied)
	_, err = f.Offer(3, variant(4).Hash(), variant(4))
	assert.Equal(t, &ForkError{Version: 3, InForce: variant(3).Hash(), Offered: variant(4).Hash()}, err)
	_, err = NewFollower("north").Offer(0, variant(0).Hash(), variant(0))
	assert.True(t, hasType[*RejectedError](err), "versions start at 1")
}

// Guards against a router that stays on an old version although its peers have the
// new one: if rejections were recorded by version only, the damaged copy of one
// peer would block the intact copies of the others.
func TestDamagedCopyDoesNotBlockIntactCopy(t *testing.T) {
	f := NewFollower("north")
	for range 2 {
		_, err := f.Offer(1, variant(1).Hash(), variant(2))
		assert.True(t, hasType[*RejectedError](err))
	}
	assert.Len(t, f.Rejections(), 1, "a repeated offer must be recorded once")
	assert.True(t, f.ShouldFetch(1, variant(1).Hash()))
	applied, err := offer(f, 1)
	require.NoError(t, err)
	assert.True(t, applied)
	assert.False(t, f.ShouldFetch(1, variant(1).Hash()))
}

// Guards against a router that fetches the same version again and again, or stops
// serving, after it received a version that it can't read or that does not name
// its site. The rejection must be recorded and the active version kept.
func TestUnusableVersionIsNotFetchedAgain(t *testing.T) {
	unknownKey := Bundle{Base: []byte("future: true\n")}
	otherSite := Bundle{Base: []byte("sites: [{name: west, region: r}]\n")}
	f := NewFollower("north")
	_, err := offer(f, 1)
	require.NoError(t, err)
	for _, b := range []Bundle{unknownKey, otherSite} {
		_, err = f.Offer(2, b.Hash(), b)
		assert.True(t, hasType[*RejectedError](err))
		assert.False(t, f.ShouldFetch(2, b.Hash()))
	}
	assert.EqualValues(t, 1, f.Active().Version)
	for version := range MaxRejections + 1 {
		_, _ = f.Offer(uint64(version+10), unknownKey.Hash(), unknownKey)
	}
	assert.Len(t, f.Rejections(), MaxRejections)
}
