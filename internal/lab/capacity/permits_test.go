package capacity_test

import (
	"context"
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/decide/permit"
	"damaskrouter.example/damaskrouter/internal/decide/placement"
	"damaskrouter.example/damaskrouter/internal/fleet/gossip"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/serve/admission"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/controller"
	"damaskrouter.example/damaskrouter/internal/store/config"
)

// chatRequest is an ordinary turn of a chat.
func chatRequest(f *capacity.Fleet, chat uint64) *admission.Request {
	pool, _ := f.Config.Pool(capacity.PoolName(0))
	account, _ := f.Config.Account(capacity.AccountName(0))
	return &admission.Request{
		ID:      uuid.NewString(),
		Account: account,
		Pools:   []*config.Pool{pool},
		Place:   placement.Request{Chat: chat, PromptTokens: 4000, OutputTokens: 300},
	}
}

// BenchmarkAdmit is one decision, permit and release at the owner of all the
// engines, by the number of engines in the pool and region.
func BenchmarkAdmit(b *testing.B) {
	for _, engines := range []int{12, 39, 77, 150, 425, 850} {
		b.Run(fmt.Sprintf("pool-engines=%d", engines), func(b *testing.B) {
			f := fleetOf(b, capacity.Size{Routers: 1, Engines: engines, Pools: 1, Accounts: 10, Sites: 3, Regions: 1})
			bd := f.Start(contextOf(b), self)
			a := admissionOf(b, bd, self, new(peer.Counters))
			a.Sync(bd.Snapshot())
			reportAll(f, a, bd.Snapshot(), 0)
			b.ReportAllocs()
			chat := uint64(0)
			for b.Loop() {
				chat++
				g, err := a.Admit(context.Background(), chatRequest(f, chat))
				require.NoError(b, err)
				g.Release()
			}
		})
	}
}

// BenchmarkBook is one permit taken and given back in the book of an engine
// that has some permits out, and one report of the engine on them.
func BenchmarkBook(b *testing.B) {
	for _, held := range []int{0, 50, 200, 1000} {
		now := time.Now()
		book := permit.NewBook(now, permit.Config{MaxBatch: 1 << 20, Bound: 100}, 1, nil)
		ids := make([]string, held)
		for i := range ids {
			ids[i] = uuid.NewString()
			r := permit.Request{ID: ids[i], Holder: "r", Weight: 1500, PoolTotal: 1 << 40, PoolN: 1}
			_, err := book.Acquire(now, r)
			require.NoError(b, err)
		}
		b.Run(fmt.Sprintf("acquire-release/held=%d", held), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n++
				id := strconv.Itoa(n)
				_, err := book.Acquire(now, permit.Request{ID: id, Holder: "r", Weight: 1500, PoolTotal: 1 << 40, PoolN: 1})
				require.NoError(b, err)
				book.Release(now, id)
			}
		})
		b.Run(fmt.Sprintf("report/held=%d", held), func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Millisecond)
				book.EngineReport(now, permit.EngineLoad{Incarnation: 1, Count: held, Weight: int64(held) * 1500, IDs: ids})
			}
		})
	}
}

// udpOverhead is the IPv4 and UDP header of a packet, in bytes.
const udpOverhead = 20 + 8

// sealer is an endpoint that knows one other router, to weigh datagrams as
// they go out.
type sealer struct {
	b    *testing.B
	e    *gossip.Endpoint
	peer uint64
}

func newSealer(b *testing.B) *sealer {
	g := newGossipFleet(b, 2, 1)
	return &sealer{b: b, e: g.nodes[0].Endpoint, peer: g.nodes[1].Endpoint.Detector().Self().ID}
}

// weigh is the bytes of the datagram on the network.
func (s *sealer) weigh(payload []byte) int {
	packets, err := s.e.Datagram(s.peer, controller.ChannelLoads, payload)
	require.NoError(s.b, err)
	return len(packets[0].Data) + udpOverhead
}

// BenchmarkDigests is the datagrams of one round of load digests in which
// every load has changed, as a mean over ten rounds. In groups of many owners
// it counts the engines owned here only; BenchmarkSpreadDigest of package
// admission has the size of a whole datagram. askers is the share of the other routers that asked
// each owner for a permit within the last thirty seconds. The figures are the
// means over some routers of the fleet.
func BenchmarkDigests(b *testing.B) {
	for _, s := range capacity.Steps() {
		for _, askers := range []float64{0, 0.1, 0.2, 0.5} {
			b.Run(fmt.Sprintf("%v/pools=%d/askers=%v", s, s.Pools, askers), func(b *testing.B) {
				benchmarkDigests(b, fleetOf(b, s), askers)
			})
		}
	}
}

// BenchmarkDigestsOnePool is BenchmarkDigests with the target's engines in
// fewer pools, as when a few models have most of the engines.
func BenchmarkDigestsOnePool(b *testing.B) {
	for _, pools := range []int{1, 2, 4} {
		s := capacity.Target()
		s.Pools = pools
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) { benchmarkDigests(b, fleetOf(b, s), 0) })
	}
}

func benchmarkDigests(b *testing.B, f *capacity.Fleet, askers float64) {
	const sample, rounds = 9, 10
	seal := newSealer(b)
	var datagrams, bytes, most int
	var spent time.Duration
	for b.Loop() {
		datagrams, bytes, most, spent = 0, 0, 0, 0
		for i := range sample {
			name := capacity.RouterName(i)
			bd := f.Start(contextOf(b), name)
			a := admissionOf(b, bd, name, new(peer.Counters))
			a.Sync(bd.Snapshot())
			reportAll(f, a, bd.Snapshot(), 25)
			subscribe(a, f, bd.Snapshot(), askers)
			sum := 0
			for range rounds {
				start := time.Now()
				digests := a.Digests(time.Now(), true)
				spent += time.Since(start)
				for _, d := range digests {
					sum += seal.weigh(d.Payload)
				}
				datagrams += len(digests)
			}
			bytes += sum
			most = max(most, sum)
		}
	}
	b.ReportMetric(float64(datagrams)/sample/rounds, "datagrams/round")
	b.ReportMetric(float64(bytes)/sample/rounds, "B/round")
	b.ReportMetric(float64(most)/rounds, "B/round-busiest")
	b.ReportMetric(float64(spent.Microseconds())/sample/rounds, "us/round")
}

// subscribe lets a share of the routers ask for a permit in each pool, as
// they do when a caller has come to them with an old address.
func subscribe(a *admission.Admission, f *capacity.Fleet, snap *board.Snapshot, share float64) {
	rng := rand.New(rand.NewSource(1))
	for _, e := range capacity.Owned(snap) {
		for name := range f.Routers {
			if name == snap.Self || rng.Float64() >= share {
				continue
			}
			var reply admission.AcquireReply
			args := admission.AcquireArgs{Engine: e.ID, ID: uuid.New(), Holder: name + "#1", Weight: 1}
			_ = a.Service().Acquire(args, &reply)
		}
	}
}

// BenchmarkTakeDigest is the reading of one digest of two engines.
func BenchmarkTakeDigest(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		ctx := contextOf(b)
		owner := f.Start(ctx, self)
		from := admissionOf(b, owner, self, new(peer.Counters))
		from.Sync(owner.Snapshot())
		reportAll(f, from, owner.Snapshot(), 25)
		digests := from.Digests(time.Now(), true)
		if len(digests) == 0 {
			b.Skip("the router owns no engine")
		}
		d := digests[0]
		bd := f.Start(ctx, d.To.Name)
		l := controller.Loads{Board: bd, Admission: admissionOf(b, bd, d.To.Name, new(peer.Counters))}
		instance := f.Routers[self].Instance
		for b.Loop() {
			l.Heard(instance, d.Payload)
		}
	})
}

// BenchmarkRemotePermit asks the owner of an engine for a permit over a real
// connection and gives it back, one call each. Bytes are those of the calls,
// without TCP and IP headers.
func BenchmarkRemotePermit(b *testing.B) {
	f := fleetOf(b, capacity.Size{Routers: 1, Engines: 12, Pools: 1, Accounts: 10, Sites: 1, Regions: 1})
	bd := f.Start(contextOf(b), self)
	keeper := admissionOf(b, bd, self, new(peer.Counters))
	keeper.Sync(bd.Snapshot())
	reportAll(f, keeper, bd.Snapshot(), config.DefaultMaxBatch/2)
	var cnt peer.Counters
	call := serve(b, admission.ServiceName, keeper.Service(), &cnt)
	const holder = "entry-123#1hlyev0kq0nl3"
	engine := bd.Snapshot().Engines["engine-0000"].ID
	pair := func() {
		var granted admission.AcquireReply
		id := uuid.New()
		call("Acquire", admission.AcquireArgs{Engine: engine, ID: id, Holder: holder, Weight: 1500}, &granted)
		require.Equal(b, admission.Granted, granted.Verdict)
		var released admission.ReleaseReply
		permits := []admission.ReleasedPermit{{Engine: engine, ID: id}}
		call("Release", admission.ReleaseArgs{Holder: holder, Permits: permits}, &released)
	}
	pair()
	in, out, cpu := cnt.In.Load(), cnt.Out.Load(), processorTime(b)
	for b.Loop() {
		pair()
	}
	cpu = processorTime(b) - cpu
	b.ReportMetric(float64(cnt.Out.Load()-out)/float64(b.N), "B-out/permit")
	b.ReportMetric(float64(cnt.In.Load()-in)/float64(b.N), "B-in/permit")
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/permit")
}

// BenchmarkHolderReport is one report of a holder to the owner of two engines,
// by the permits held at one of them. It is sent every five seconds.
func BenchmarkHolderReport(b *testing.B) {
	f := fleetOf(b, capacity.Size{Routers: 1, Engines: 2, Pools: 1, Accounts: 10, Sites: 1, Regions: 1})
	bd := f.Start(contextOf(b), self)
	keeper := admissionOf(b, bd, self, new(peer.Counters))
	keeper.Sync(bd.Snapshot())
	reportAll(f, keeper, bd.Snapshot(), config.DefaultMaxBatch/2)
	for _, held := range []int{1, 2, 10} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			var cnt peer.Counters
			call := serve(b, admission.ServiceName, keeper.Service(), &cnt)
			args := admission.ReportArgs{Holder: "entry-123#1hlyev0kq0nl3", Engines: holdings(f, held)}
			for b.Loop() {
				args.Seq++
				call("Report", args, new(admission.ReportReply))
			}
			b.ReportMetric(float64(cnt.In.Load()+cnt.Out.Load())/float64(b.N), "B/report")
		})
	}
}

// holdings lists permits at one engine, and none at the others.
func holdings(f *capacity.Fleet, held int) map[uint64][]admission.ReportedPermit {
	out := make(map[uint64][]admission.ReportedPermit)
	for name, e := range f.Engines {
		out[e.ID] = nil
		if name != "engine-0000" {
			continue
		}
		for range held {
			p := admission.ReportedPermit{Held: permit.Held{ID: uuid.NewString(), Weight: 1500}, Incarnation: 1}
			out[e.ID] = append(out[e.ID], p)
		}
	}
	return out
}
