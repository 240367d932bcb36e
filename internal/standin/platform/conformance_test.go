package platform_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	api "damaskrouter.example/damaskrouter/internal/platform"
	standin "damaskrouter.example/damaskrouter/internal/standin/platform"
)

// serve starts s on a loopback port and returns its base URL.
func serve(t *testing.T, s *standin.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go s.Serve(ln)
	t.Cleanup(s.Close)
	return "http://" + ln.Addr().String()
}

func TestSmoke(t *testing.T) {
	s := standin.NewServer(standin.Options{})
	base := serve(t, s)
	table := api.NewHTTPTable(base, api.HTTPOptions{})
	ctx := t.Context()
	w := api.Write{Table: "t", Key: "k", Value: []byte("v")}

	rows, err := table.Commit(ctx, api.UseClaim, w)
	require.NoError(t, err)
	require.Equal(t, int64(1), rows[0].Version)
	_, err = table.Commit(ctx, api.UseClaim, w)
	var conflict *api.ConflictError
	require.ErrorAs(t, err, &conflict)
	_, err = table.Get(ctx, api.UseClaim, "t", "absent")
	require.True(t, api.ErrNotFound.Has(err))
	s.SetFaults(standin.Faults{Kind: standin.KindTable, LoseReplies: 1})
	_, err = table.Commit(ctx, api.UseClaim, api.Write{Table: "t", Key: "k2"})
	require.True(t, api.ErrOutcomeUnknown.Has(err), err)
	got, err := table.Scan(ctx, api.UseClaim, "t", "", "", 10)
	require.NoError(t, err)
	require.Len(t, got, 2)

	objects := api.NewHTTPObjects(base, api.HTTPOptions{})
	const name = "config/5 ü%2F?"
	require.NoError(t, objects.Put(ctx, name, []byte("x")))
	data, err := objects.Get(ctx, name)
	require.NoError(t, err)
	require.Equal(t, "x", string(data))
	require.NoError(t, objects.Put(ctx, name, []byte("x")))
	require.ErrorAs(t, objects.Put(ctx, name, []byte("y")), &conflict)

	s.PutVM(api.VM{Name: "a"})
	vms, err := api.NewHTTPVMList(base, api.HTTPOptions{}).List(ctx)
	require.NoError(t, err)
	require.Len(t, vms, 1)
}
