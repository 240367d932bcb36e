package entry

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func routers(sites ...string) []Router {
	var out []Router
	for i, site := range sites {
		out = append(out, Router{Name: fmt.Sprint(i), Site: site, Address: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	return out
}

func TestAnswers(t *testing.T) {
	q := Question{Site: "x"}
	near := Answers("0", routers("x", "y", "x"), q, time.Second)
	require.Equal(t, []string{"10.0.0.0:1", "10.0.0.2:1"}, near.Addresses)
	require.Equal(t, time.Second, near.TTL)
	require.Len(t, Answers("0", routers("x", "y", "y"), q, time.Second).Addresses, 3, "one near router is not enough")
	require.Len(t, Answers("0", routers("y", "z"), q, time.Second).Addresses, 2)
	many := make([]string, 100)
	require.Len(t, Answers("0", routers(many...), Question{}, time.Second).Addresses, maxAddresses)
}

// Symptom: all routers of one of five sites are off, and a quarter of the others answer late.
// Sequence: the site's callers are told of 64 routers of the 236 that are left. Cause: each
// router that they asked told of the same 64, the first by name, which are all in one site.
func TestLostSiteIsSharedByAll(t *testing.T) {
	const left, asked = 236, 236
	var sites []string
	for i := range left {
		sites = append(sites, fmt.Sprint("site ", i%4))
	}
	fleet := routers(sites...)
	named := make(map[string]int)
	for i := range asked {
		for _, a := range Answers(fleet[i].Name, fleet, Question{Site: "lost"}, time.Second).Addresses {
			named[a]++
		}
	}
	// Each is named in 64 of 236 answers; five standard deviations of such draws allowed.
	mean := float64(asked) * maxAddresses / left
	for _, r := range fleet {
		require.InDelta(t, mean, named[r.Address], 5*math.Sqrt(mean*(1-mean/asked)), r.Name)
	}
}

// A router that leaves takes its own address out of an answer and no other: callers give up
// connections to addresses that are no longer in it.
func TestAnswersChangeByOneAddress(t *testing.T) {
	fleet := routers(make([]string, 100)...)
	q := Question{}
	before := Answers("asked", fleet, q, time.Second).Addresses
	for i := range fleet {
		gone := fleet[i].Address
		after := Answers("asked", slices.Delete(slices.Clone(fleet), i, i+1), q, time.Second).Addresses
		for _, a := range before {
			if a != gone {
				require.Contains(t, after, a, "without %s", gone)
			}
		}
	}
}
