package faults

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"github.com/stretchr/testify/require"
)

const (
	// site is the site of the simulated routers.
	site       = "cankaya"
	exampleDir = "../../examples/sebeke"
	// warmUp is the virtual time for routers to read the configuration, the VM list and
	// the engines' reports.
	warmUp = 5 * time.Second
	// lateArrivalTime is a virtual time within which all delayed messages arrive.
	lateArrivalTime = 35 * time.Second
)

func exampleBundle(t testing.TB) config.Bundle {
	b, err := config.ReadBundle(exampleDir+"/base.yaml", exampleDir+"/sites")
	require.NoError(t, err)
	return b
}

// highRateBundle returns the example configuration with a rate limit of the account
// that is high enough for the engines to be the bottleneck.
func highRateBundle(t testing.TB) config.Bundle {
	b := exampleBundle(t)
	b.Base = bytes.Replace(b.Base, []byte("requests_per_second: 60\n"), []byte("requests_per_second: 5000\n"), 1)
	return b
}

// inCluster runs f in a synctest bubble with a new cluster, whose routers have read the
// configuration and know their engines. Afterwards it checks the oracle's guarantees.
func inCluster(t *testing.T, routers int, o faultkit.Options, f func(t *testing.T, cl *faultkit.Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		if o.Bundle.Base == nil {
			o.Bundle = exampleBundle(t)
		}
		cl, err := faultkit.NewCluster(o)
		require.NoError(t, err)
		defer cl.Close()
		for i := range routers {
			_, err := cl.StartRouter(routerName(i), faultkit.RouterAddress(i))
			require.NoError(t, err)
		}
		time.Sleep(warmUp)
		f(t, cl)
		time.Sleep(lateArrivalTime)
		synctest.Wait()
		require.Empty(t, cl.Oracle.Violations())
	})
}

func routerName(i int) string { return string(rune('a' + i)) }

// holdNextCall delays the next call of the store by d, or until its context ends.
func holdNextCall(cl *faultkit.Cluster, d time.Duration) {
	cl.Platform.Before(func(ctx context.Context, _ platformtest.Call) {
		cl.Platform.Before(nil)
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	})
}
