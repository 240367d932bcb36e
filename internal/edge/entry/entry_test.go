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

func TestLocalRoutersAreReturnedIfEnough(t *testing.T) {
	query := Query{Site: "x"}
	local := Resolve("0", routers("x", "y", "x"), query, time.Second)
	require.Equal(t, []string{"10.0.0.0:1", "10.0.0.2:1"}, local.Addresses)
	require.Equal(t, time.Second, local.TTL)
	require.Len(t, Resolve("0", routers("x", "y", "y"), query, time.Second).Addresses, 3, "one local router is not enough")
	require.Len(t, Resolve("0", routers("y", "z"), query, time.Second).Addresses, 2)
	many := make([]string, 100)
	require.Len(t, Resolve("0", routers(many...), Query{}, time.Second).Addresses, maxAddresses)
}

// Guards against overloading some routers after a site has lost all of its own: when each router
// returned the first 64 of the remaining 236 by name, which were all in one site, a quarter of the
// routers responded late.
func TestClientsOfLostSiteAreSpreadOverAllRouters(t *testing.T) {
	const remaining, queried = 236, 236
	var sites []string
	for i := range remaining {
		sites = append(sites, fmt.Sprint("site ", i%4))
	}
	all := routers(sites...)
	responsesByAddress := make(map[string]int)
	for i := range queried {
		for _, a := range Resolve(all[i].Name, all, Query{Site: "lost"}, time.Second).Addresses {
			responsesByAddress[a]++
		}
	}
	// Each router is in 64 of 236 responses on average. The tolerance is five standard deviations
	// of a binomial distribution.
	mean := float64(queried) * maxAddresses / remaining
	for _, r := range all {
		require.InDelta(t, mean, responsesByAddress[r.Address], 5*math.Sqrt(mean*(1-mean/queried)), r.Name)
	}
}

// Guards against closing connections to routers that remain: removing a router must remove its own
// address from a response and no other, because callers close connections to addresses that are no
// longer in the response.
func TestRouterThatLeavesRemovesOnlyItsOwnAddress(t *testing.T) {
	all := routers(make([]string, 100)...)
	query := Query{}
	before := Resolve("asked", all, query, time.Second).Addresses
	for i := range all {
		removed := all[i].Address
		after := Resolve("asked", slices.Delete(slices.Clone(all), i, i+1), query, time.Second).Addresses
		for _, a := range before {
			if a != removed {
				require.Contains(t, after, a, "without %s", removed)
			}
		}
	}
}
