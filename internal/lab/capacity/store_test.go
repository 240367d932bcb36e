package capacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/serve/controller"
	"damaskrouter.example/damaskrouter/internal/serve/upstream"
	"damaskrouter.example/damaskrouter/internal/serve/wire"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	api "damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
	"damaskrouter.example/damaskrouter/platform"
	"damaskrouter.example/damaskrouter/platform/standin"
)

// fleetStub implements the RPC service of controller.Fleet with fixed data.
type fleetStub struct {
	config controller.ConfigReply
	vms    controller.VMsReply
}

// Config returns the configuration.
func (f *fleetStub) Config(_ controller.ConfigArgs, reply *controller.ConfigReply) error {
	*reply = f.config
	return nil
}

// VMs returns the VM list, or a reply that it has not changed.
func (f *fleetStub) VMs(args controller.VMsArgs, reply *controller.VMsReply) error {
	*reply = f.vms
	if args.Etag == f.vms.Etag {
		*reply = controller.VMsReply{Known: true, Same: true, Etag: args.Etag}
	}
	return nil
}

// BenchmarkConfigFetch fetches one version from another router and activates it.
func BenchmarkConfigFetch(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		var cnt peer.Counters
		stub := &fleetStub{config: controller.ConfigReply{Version: 1, Hash: f.Bundle.Hash(), Bundle: f.Bundle.Encode()}}
		call := serve(b, controller.FleetService, stub, &cnt)
		for b.Loop() {
			var reply controller.ConfigReply
			call("Config", controller.ConfigArgs{AtLeast: 1}, &reply)
			bundle, err := config.DecodeBundle(reply.Bundle)
			require.NoError(b, err)
			_, err = config.NewFollower("site-0").Offer(reply.Version, reply.Hash, bundle)
			require.NoError(b, err)
		}
		b.ReportMetric(float64(cnt.In.Load()+cnt.Out.Load())/float64(b.N), "B/fetch")
	})
}

// BenchmarkVMList fetches the VM list over a real connection, unchanged and
// changed, and reports the size of the platform's own response.
func BenchmarkVMList(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		vms := f.VMs()
		data, err := json.Marshal(controller.VMsReply{VMs: vms})
		require.NoError(b, err)
		for name, etag := range map[string]uint64{"same": 7, "changed": 6} {
			b.Run(name, func(b *testing.B) {
				var cnt peer.Counters
				stub := &fleetStub{vms: controller.VMsReply{Known: true, Etag: 7, VMs: vms}}
				call := serve(b, controller.FleetService, stub, &cnt)
				for b.Loop() {
					var reply controller.VMsReply
					call("VMs", controller.VMsArgs{Etag: etag}, &reply)
				}
				b.ReportMetric(float64(cnt.In.Load()+cnt.Out.Load())/float64(b.N), "B/poll")
				b.ReportMetric(float64(len(data)), "B/platform-reply")
			})
		}
	})
}

// BenchmarkPlatformVMs reads the complete list over HTTP and decodes it, as each
// relay does every two seconds.
func BenchmarkPlatformVMs(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		server := standin.NewServer(standin.Options{ReadRate: unlimitedRate})
		for _, vm := range f.VMs() {
			server.Put(api.TableVMs, vm.Name, vm)
		}
		srv := httptest.NewServer(server.Handler())
		b.Cleanup(srv.Close)
		list := api.NewVMList(platform.NewStore(srv.Listener.Addr().String(), platform.Options{}))
		cpu := processorTime(b)
		for b.Loop() {
			_, err := list.List(b.Context())
			require.NoError(b, err)
		}
		cpu = processorTime(b) - cpu
		b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/read")
	})
}

// unlimitedRate is a rate that the benchmark does not reach, in reads per second.
const unlimitedRate = 1e6

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkEnginePoll polls the report and the cache events of one engine, as its
// owner does once a second. running is the number of its requests, all of which
// are listed in the report; events is the number of cache events in that second.
func BenchmarkEnginePoll(b *testing.B) {
	for _, running := range []int{0, 25, 50, 100} {
		for _, events := range []int{0, 12} {
			b.Run(fmt.Sprintf("running=%d/events=%d", running, events), func(b *testing.B) {
				benchmarkEnginePoll(b, running, events)
			})
		}
	}
}

func benchmarkEnginePoll(b *testing.B, running, events int) {
	f := newFleet(b, capacity.Today())
	status := f.Status(f.Engines["engine-0000"], running)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.URL.Path == wire.PathEngineStatus {
			_ = json.NewEncoder(w).Encode(status)
			return
		}
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		_ = json.NewEncoder(w).Encode(eventPage(after, events))
	}))
	b.Cleanup(srv.Close)
	var bytes atomic.Int64
	c := upstream.New(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{conn, &bytes}, err
	}})
	b.Cleanup(c.Close)
	call := upstream.Call{Address: srv.Listener.Addr().String(), Name: status.Name}
	next := uint64(0)
	cpu := processorTime(b)
	for b.Loop() {
		_, err := c.Status(b.Context(), call)
		require.NoError(b, err)
		p, err := c.Events(b.Context(), call, next)
		require.NoError(b, err)
		next = p.Next
	}
	cpu = processorTime(b) - cpu
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/poll")
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/poll")
}

func eventPage(after uint64, n int) wire.CacheEvents {
	p := wire.CacheEvents{Incarnation: 1, Next: after + uint64(n)}
	for i := range uint64(n) {
		seq := after + i + 1
		p.Events = append(p.Events, wire.CacheEvent{Seq: seq, Kind: wire.CacheStored, Prefix: seq * 0x9e3779b97f4a7c15, Tokens: 4000})
	}
	return p
}

// BenchmarkConfigChange counts the store operations of one accepted change.
func BenchmarkConfigChange(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		fake := platformtest.New()
		chain := config.NewChain(fake, fake.Objects(), time.Now)
		version := uint64(0)
		for b.Loop() {
			change := config.Change{
				Bundle:   config.Bundle{Base: append(f.Bundle.Base, []byte("# "+uuid.NewString()+"\n")...)},
				Expected: version, ChangeID: uuid.NewString(), Author: "operator", Comment: "capacity",
			}
			v, err := chain.Accept(b.Context(), change)
			require.NoError(b, err)
			version = v.Number
		}
		n := float64(b.N)
		b.ReportMetric(float64(fake.Count(platformtest.OpCommit))/n, "commits/change")
		b.ReportMetric(float64(writtenRows(fake))/n, "rows/change")
		b.ReportMetric(float64(fake.Count(platformtest.OpGet))/n, "reads/change")
		b.ReportMetric(float64(fake.Count(platformtest.OpPutObject))/n, "objects/change")
		before := fake.Count(platformtest.OpGet)
		_, err := chain.Load(b.Context(), version)
		require.NoError(b, err)
		b.ReportMetric(float64(fake.Count(platformtest.OpGet)-before), "reads/load")
		b.ReportMetric(float64(fake.Count(platformtest.OpGetObject)), "object-reads")
	})
}

func writtenRows(fake *platformtest.Fake) (rows int) {
	for _, c := range fake.History() {
		rows += len(c.Writes)
	}
	return rows
}

// slowTable is a table service that delays and counts commits.
type slowTable struct {
	api.Table
	delay   time.Duration
	commits atomic.Int64
	rows    atomic.Int64
}

// Commit implements api.Table.
func (t *slowTable) Commit(ctx context.Context, use api.Use, writes ...api.Write) ([]api.Row, error) {
	t.commits.Add(1)
	t.rows.Add(int64(len(writes)))
	time.Sleep(t.delay)
	return t.Table.Commit(ctx, use, writes...)
}

// BenchmarkClaims executes complete claims at one router, with commits that take
// 5 ms, by the number of concurrent requests.
func BenchmarkClaims(b *testing.B) {
	const (
		commitTime    = 5 * time.Millisecond
		perWorker     = 20
		maxClaimBatch = 32
	)
	for _, workers := range []int{1, 2, 4, 16, 64} {
		b.Run(fmt.Sprintf("concurrent=%d", workers), func(b *testing.B) {
			fake := platformtest.New()
			t := &slowTable{Table: fake, delay: commitTime}
			store := claim.New(claim.NewBatcher(t, maxClaimBatch), fake.Objects(), self, uuid.NewString)
			for b.Loop() {
				var wg sync.WaitGroup
				for range workers {
					wg.Go(func() {
						for range perWorker {
							runClaim(b, store)
						}
					})
				}
				wg.Wait()
			}
			claims := float64(b.N * workers * perWorker)
			b.ReportMetric(float64(t.rows.Load())/claims, "rows/claim")
			b.ReportMetric(float64(t.commits.Load())/claims, "commits/claim")
			b.ReportMetric(float64(t.rows.Load())/float64(t.commits.Load()), "rows/commit")
			b.ReportMetric(claims/b.Elapsed().Seconds(), "claims/s")
			b.ReportMetric(float64(fake.Count(platformtest.OpGet))/claims, "reads/claim")
		})
	}
}

func runClaim(b *testing.B, store *claim.Store) {
	key := claim.Key{Account: "account", IdempotencyKey: uuid.NewString(), Service: "portal"}
	out, err := store.Begin(context.Background(), key, claim.HashBody([]byte("body")))
	if err != nil || out.Kind != claim.Run {
		b.Error("claim was not granted", err)
		return
	}
	response := claim.Response{Status: http.StatusOK, ContentType: "application/json", Body: []byte(`{"receipt":"1"}`)}
	if err := store.Finish(context.Background(), out.Claim, response); err != nil {
		b.Error(err)
	}
}
