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
	// site is where the simulated routers are.
	site       = "cankaya"
	exampleDir = "../../examples/sebeke"
	// warmUp is how long routers get on the virtual clock to read the
	// configuration, the VM list and the engines' reports.
	warmUp = 5 * time.Second
	// lull is a span on the virtual clock in which everything late arrives.
	lull = 35 * time.Second
)

func exampleBundle(t testing.TB) config.Bundle {
	b, err := config.ReadBundle(exampleDir+"/base.yaml", exampleDir+"/sites")
	require.NoError(t, err)
	return b
}

// wideBundle lets one account send as much as it likes, so that the engines and
// not the account's limit are what is short.
func wideBundle(t testing.TB) config.Bundle {
	b := exampleBundle(t)
	b.Base = bytes.Replace(b.Base, []byte("requests_per_second: 60\n"), []byte("requests_per_second: 5000\n"), 1)
	return b
}

// inWorld runs f in a bubble with a world of its own, whose routers know their
// configuration and their engines. At the end the oracle judges.
func inWorld(t *testing.T, routers int, o faultkit.Options, f func(t *testing.T, w *faultkit.World)) {
	synctest.Test(t, func(t *testing.T) {
		if o.Bundle.Base == nil {
			o.Bundle = exampleBundle(t)
		}
		w, err := faultkit.NewWorld(o)
		require.NoError(t, err)
		defer w.Close()
		for i := range routers {
			_, err := w.StartRouter(routerName(i), faultkit.RouterAddress(i))
			require.NoError(t, err)
		}
		time.Sleep(warmUp)
		f(t, w)
		time.Sleep(lull)
		synctest.Wait()
		require.Empty(t, w.Oracle.Violations())
	})
}

func routerName(i int) string { return string(rune('a' + i)) }

// holdNextCall holds the next call of the store up for d, or until its caller
// gives up.
func holdNextCall(w *faultkit.World, d time.Duration) {
	w.Platform.Before(func(ctx context.Context, _ platformtest.Call) {
		w.Platform.Before(nil)
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	})
}
