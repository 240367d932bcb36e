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

// chatRequest returns a typical turn of a chat.
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

// BenchmarkAdmit measures one admission, with permit and release, at the owner of
// all engines, by the number of engines in the pool and region.
func BenchmarkAdmit(b *testing.B) {
	for _, engines := range []int{12, 39, 77, 150, 425, 850} {
		b.Run(fmt.Sprintf("pool-engines=%d", engines), func(b *testing.B) {
			f := newFleet(b, capacity.Size{Routers: 1, Engines: engines, Pools: 1, Accounts: 10, Sites: 3, Regions: 1})
			bd := f.Start(benchContext(b), self)
			a := newAdmission(b, bd, self, new(peer.Counters))
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

// BenchmarkLedger measures one permit acquired and released in the ledger of an
// engine that has granted some permits, and one report of the engine on them.
func BenchmarkLedger(b *testing.B) {
	for _, held := range []int{0, 50, 200, 1000} {
		now := time.Now()
		ledger := permit.NewLedger(now, permit.Config{MaxBatch: 1 << 20, Bound: 100}, 1, nil)
		ids := make([]string, held)
		for i := range ids {
			ids[i] = uuid.NewString()
			r := permit.Request{ID: ids[i], Holder: "r", Weight: 1500, PoolTotal: 1 << 40, PoolEngines: 1}
			_, err := ledger.Acquire(now, r)
			require.NoError(b, err)
		}
		b.Run(fmt.Sprintf("acquire-release/held=%d", held), func(b *testing.B) {
			n := 0
			for b.Loop() {
				n++
				id := strconv.Itoa(n)
				_, err := ledger.Acquire(now, permit.Request{ID: id, Holder: "r", Weight: 1500, PoolTotal: 1 << 40, PoolEngines: 1})
				require.NoError(b, err)
				ledger.Release(now, id)
			}
		})
		b.Run(fmt.Sprintf("report/held=%d", held), func(b *testing.B) {
			for b.Loop() {
				now = now.Add(time.Millisecond)
				ledger.ApplyEngineReport(now, permit.EngineLoad{Incarnation: 1, Count: held, Weight: int64(held) * 1500, IDs: ids})
			}
		})
	}
}

// udpOverhead is the IPv4 and UDP header of a packet, in bytes.
const udpOverhead = 20 + 8

// datagramSizer measures the size of datagrams with an endpoint that knows one
// other router.
type datagramSizer struct {
	b    *testing.B
	e    *gossip.Endpoint
	peer uint64
}

func newDatagramSizer(b *testing.B) *datagramSizer {
	g := newGossipFleet(b, 2, 1)
	return &datagramSizer{b: b, e: g.nodes[0].Endpoint, peer: g.nodes[1].Endpoint.Detector().Self().ID}
}

// size returns the size of the datagram on the network, in bytes.
func (s *datagramSizer) size(payload []byte) int {
	packets, err := s.e.Datagram(s.peer, controller.ChannelLoads, payload)
	require.NoError(s.b, err)
	return len(packets[0].Data) + udpOverhead
}

// BenchmarkDigests measures the datagrams of one round of load digests in which
// every load has changed, as a mean over ten rounds and some routers of the
// fleet. Where an owner has too many recipients to send to all of them, digests also
// forward loads received from other routers. Here they contain only the loads of
// the engines that the router owns; BenchmarkSpreadDigest of package admission
// has the size of a complete datagram. The parameter askers is the share of the
// other routers that requested a permit from each owner within the last thirty
// seconds.
func BenchmarkDigests(b *testing.B) {
	for _, s := range capacity.Sizes() {
		for _, requesters := range []float64{0, 0.1, 0.2, 0.5} {
			b.Run(fmt.Sprintf("%v/pools=%d/askers=%v", s, s.Pools, requesters), func(b *testing.B) {
				benchmarkDigests(b, newFleet(b, s), requesters)
			})
		}
	}
}

// BenchmarkDigestsOnePool is BenchmarkDigests with the target's engines in fewer
// pools, as when a few models have most of the engines.
func BenchmarkDigestsOnePool(b *testing.B) {
	for _, pools := range []int{1, 2, 4} {
		s := capacity.Target()
		s.Pools = pools
		b.Run(fmt.Sprintf("pools=%d", pools), func(b *testing.B) { benchmarkDigests(b, newFleet(b, s), 0) })
	}
}

func benchmarkDigests(b *testing.B, f *capacity.Fleet, requesters float64) {
	const sample, rounds = 9, 10
	sizer := newDatagramSizer(b)
	var datagrams, bytes, busiest int
	var elapsed time.Duration
	for b.Loop() {
		datagrams, bytes, busiest, elapsed = 0, 0, 0, 0
		for i := range sample {
			name := capacity.RouterName(i)
			bd := f.Start(benchContext(b), name)
			a := newAdmission(b, bd, name, new(peer.Counters))
			a.Sync(bd.Snapshot())
			reportAll(f, a, bd.Snapshot(), 25)
			requestPermits(a, f, bd.Snapshot(), requesters)
			sum := 0
			for range rounds {
				start := time.Now()
				digests := a.Digests(time.Now(), true)
				elapsed += time.Since(start)
				for _, d := range digests {
					sum += sizer.size(d.Payload)
				}
				datagrams += len(digests)
			}
			bytes += sum
			busiest = max(busiest, sum)
		}
	}
	b.ReportMetric(float64(datagrams)/sample/rounds, "datagrams/round")
	b.ReportMetric(float64(bytes)/sample/rounds, "B/round")
	b.ReportMetric(float64(busiest)/rounds, "B/round-busiest")
	b.ReportMetric(float64(elapsed.Microseconds())/sample/rounds, "us/round")
}

// requestPermits lets a share of the routers request a permit for each engine,
// as they do when a caller uses an outdated locate response.
func requestPermits(a *admission.Admission, f *capacity.Fleet, snap *board.Snapshot, share float64) {
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

// BenchmarkApplyDigest decodes and applies one digest of two engines.
func BenchmarkApplyDigest(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		ctx := benchContext(b)
		owner := f.Start(ctx, self)
		from := newAdmission(b, owner, self, new(peer.Counters))
		from.Sync(owner.Snapshot())
		reportAll(f, from, owner.Snapshot(), 25)
		digests := from.Digests(time.Now(), true)
		if len(digests) == 0 {
			b.Skip("the router owns no engine")
		}
		d := digests[0]
		bd := f.Start(ctx, d.To.Name)
		l := controller.Loads{Board: bd, Admission: newAdmission(b, bd, d.To.Name, new(peer.Counters))}
		instance := f.Routers[self].Instance
		for b.Loop() {
			l.ReceiveDigest(instance, d.Payload)
		}
	})
}

// BenchmarkRemotePermit acquires a permit from the owner of an engine over a real
// connection and releases it, with one call each. Bytes are those of the calls,
// without TCP and IP headers.
func BenchmarkRemotePermit(b *testing.B) {
	f := newFleet(b, capacity.Size{Routers: 1, Engines: 12, Pools: 1, Accounts: 10, Sites: 1, Regions: 1})
	bd := f.Start(benchContext(b), self)
	owner := newAdmission(b, bd, self, new(peer.Counters))
	owner.Sync(bd.Snapshot())
	reportAll(f, owner, bd.Snapshot(), config.DefaultMaxBatch/2)
	var cnt peer.Counters
	call := serve(b, admission.ServiceName, owner.Service(), &cnt)
	const holder = "entry-123#1hlyev0kq0nl3"
	engine := bd.Snapshot().Engines["engine-0000"].ID
	acquireAndRelease := func() {
		var granted admission.AcquireReply
		id := uuid.New()
		call("Acquire", admission.AcquireArgs{Engine: engine, ID: id, Holder: holder, Weight: 1500}, &granted)
		require.Equal(b, admission.Granted, granted.Verdict)
		var released admission.ReleaseReply
		permits := []admission.ReleasedPermit{{Engine: engine, ID: id}}
		call("Release", admission.ReleaseArgs{Holder: holder, Permits: permits}, &released)
	}
	acquireAndRelease()
	in, out, cpu := cnt.In.Load(), cnt.Out.Load(), processorTime(b)
	for b.Loop() {
		acquireAndRelease()
	}
	cpu = processorTime(b) - cpu
	b.ReportMetric(float64(cnt.Out.Load()-out)/float64(b.N), "B-out/permit")
	b.ReportMetric(float64(cnt.In.Load()-in)/float64(b.N), "B-in/permit")
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-us/permit")
}

// BenchmarkHolderReport sends one report of a holder to the owner of two engines,
// by the number of permits held at one of them. Holders report every five seconds.
func BenchmarkHolderReport(b *testing.B) {
	f := newFleet(b, capacity.Size{Routers: 1, Engines: 2, Pools: 1, Accounts: 10, Sites: 1, Regions: 1})
	bd := f.Start(benchContext(b), self)
	owner := newAdmission(b, bd, self, new(peer.Counters))
	owner.Sync(bd.Snapshot())
	reportAll(f, owner, bd.Snapshot(), config.DefaultMaxBatch/2)
	for _, held := range []int{1, 2, 10} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			var cnt peer.Counters
			call := serve(b, admission.ServiceName, owner.Service(), &cnt)
			args := admission.ReportArgs{Holder: "entry-123#1hlyev0kq0nl3", Engines: heldPermits(f, held)}
			for b.Loop() {
				args.Seq++
				call("Report", args, new(admission.ReportReply))
			}
			b.ReportMetric(float64(cnt.In.Load()+cnt.Out.Load())/float64(b.N), "B/report")
		})
	}
}

// heldPermits returns permits at one engine, and none at the others.
func heldPermits(f *capacity.Fleet, held int) map[uint64][]admission.ReportedPermit {
	out := make(map[uint64][]admission.ReportedPermit)
	for name, e := range f.Engines {
		out[e.ID] = nil
		if name != "engine-0000" {
			continue
		}
		for range held {
			p := admission.ReportedPermit{HeldRequest: permit.HeldRequest{ID: uuid.NewString(), Weight: 1500}, Incarnation: 1}
			out[e.ID] = append(out[e.ID], p)
		}
	}
	return out
}
