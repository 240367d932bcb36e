package capacity_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"damaskrouter.example/damaskrouter/internal/lab/capacity"
	"damaskrouter.example/damaskrouter/internal/serve/board"
	"damaskrouter.example/damaskrouter/internal/serve/quota"
)

const self = "entry-000"

// BenchmarkPublish publishes one snapshot without subscribers, which any change
// of a member, an engine or the configuration requires.
func BenchmarkPublish(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(benchContext(b), self)
		b.ReportAllocs()
		for b.Loop() {
			bd.UpdateWait(func(*board.State) {})
		}
	})
}

// BenchmarkPublishEngineChange publishes a snapshot whose set of engines differs
// from that of the last one, so that engines are assigned to owners again.
func BenchmarkPublishEngineChange(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(benchContext(b), self)
		var toggled board.Engine
		for _, e := range bd.Snapshot().Engines {
			toggled = e
		}
		b.ReportAllocs()
		for b.Loop() {
			bd.UpdateWait(func(s *board.State) {
				if _, ok := s.Engines[toggled.Name]; ok {
					delete(s.Engines, toggled.Name)
					return
				}
				s.Engines[toggled.Name] = toggled
			})
		}
	})
}

// BenchmarkSnapshotMemory measures the memory that one snapshot and its state
// keep alive, without the configuration, which all snapshots share.
func BenchmarkSnapshotMemory(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		ctx := benchContext(b)
		var bytes float64
		for b.Loop() {
			bytes = heapSize(func() any { return f.Start(ctx, self) })
		}
		b.ReportMetric(bytes, "heap-B")
	})
}

// BenchmarkConfigMemory measures the bundle as text and the effective configuration.
func BenchmarkConfigMemory(b *testing.B) {
	for _, s := range capacity.Sizes() {
		b.Run(s.String(), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				bytes = heapSize(func() any {
					f := newFleet(b, s)
					return []any{f.Bundle, f.Config}
				})
			}
			b.ReportMetric(bytes, "heap-B")
		})
	}
}

// BenchmarkOwner looks up the owner of one key.
func BenchmarkOwner(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(benchContext(b), self).Snapshot()
		key := uint64(0)
		for b.Loop() {
			key++
			snap.Owner(key)
		}
	})
}

// BenchmarkRank looks up the router's rank for one duty, as routers do once a second.
func BenchmarkRank(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(benchContext(b), self).Snapshot()
		for b.Loop() {
			snap.Rank(1)
		}
	})
}

// BenchmarkAdmissionSync passes a new snapshot to admission that is equal to the
// last one.
func BenchmarkAdmissionSync(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(benchContext(b), self)
		a := newAdmission(b, bd, self, new(peer.Counters))
		snap := bd.Snapshot()
		a.Sync(snap)
		b.ReportAllocs()
		for b.Loop() {
			a.Sync(snap)
		}
	})
}

// BenchmarkQuotaSync passes a new snapshot to the account limits, after a change
// of an engine only, and after a change of the routers.
func BenchmarkQuotaSync(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(benchContext(b), self)
		q := quota.New(quota.Options{Board: bd, Self: self, Instance: 1, Rand: rand.New(rand.NewPCG(1, 1))})
		with := bd.Snapshot()
		bd.UpdateWait(func(s *board.State) { delete(s.Routers, capacity.RouterName(1)) })
		without := bd.Snapshot()
		b.Run("change=engine", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.Sync(with)
			}
		})
		b.Run("change=router", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.Sync(with)
				q.Sync(without)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/change")
		})
	})
}

// BenchmarkEngineScan searches for the engines that this router owns, as the
// engine controller does twice a second.
func BenchmarkEngineScan(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(benchContext(b), self).Snapshot()
		for b.Loop() {
			capacity.Owned(snap)
		}
	})
}

// BenchmarkReports collects the reports to the owners of engines, as routers do
// every five seconds.
func BenchmarkReports(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		a := newAdmission(b, f.Start(benchContext(b), self), self, new(peer.Counters))
		for b.Loop() {
			a.Reports()
		}
	})
}

// BenchmarkOwnersMoved removes a share of the target's routers, as in the loss of
// a rack, a site or a region, and counts the engines and accounts whose owner
// changes. The time is the mean of two calls of admission's Sync at one remaining
// router: one with the snapshot before the loss, and one with the snapshot after
// it, for which the router opens ledgers of the engines that it now owns.
func BenchmarkOwnersMoved(b *testing.B) {
	f := newFleet(b, capacity.Target())
	for _, divisor := range []int{20, 6, 2} {
		b.Run(fmt.Sprintf("lost=one-in-%d", divisor), func(b *testing.B) {
			bd := f.Start(benchContext(b), self)
			a := newAdmission(b, bd, self, new(peer.Counters))
			before := bd.Snapshot()
			bd.UpdateWait(func(s *board.State) { loseRouters(s, f.Size.Routers/divisor) })
			after := bd.Snapshot()
			for b.Loop() {
				a.Sync(before)
				a.Sync(after)
			}
			b.ReportMetric(float64(countMoved(before.EngineOwner, after.EngineOwner, engineIDs(f))), "engines-moved")
			b.ReportMetric(float64(countMoved(before.Owner, after.Owner, accountIDs(f))), "accounts-moved")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*b.N), "us/sync")
		})
	}
}

// loseRouters removes the n routers with the highest numbers.
func loseRouters(s *board.State, n int) {
	routers := maps.Clone(s.Routers)
	total := len(routers)
	for i := total - n; i < total; i++ {
		delete(routers, capacity.RouterName(i))
	}
	s.Routers = routers
}

func countMoved(before, after func(key uint64) (board.Router, bool), keys []uint64) (count int) {
	for _, k := range keys {
		old, _ := before(k)
		now, _ := after(k)
		if old.Name != now.Name {
			count++
		}
	}
	return count
}

func engineIDs(f *capacity.Fleet) (ids []uint64) {
	for _, e := range f.Engines {
		ids = append(ids, e.ID)
	}
	return ids
}

func accountIDs(f *capacity.Fleet) (ids []uint64) {
	for i := range f.Size.Accounts {
		ids = append(ids, rendezvous.ID("account/"+capacity.AccountName(i)))
	}
	return ids
}

// BenchmarkOwnersSpread counts the engines of the busiest owner, and reports the
// share of the engines that are owned by a router in another region.
func BenchmarkOwnersSpread(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(benchContext(b), self).Snapshot()
		regions := make(map[string]string)
		for _, s := range f.Config.Sites {
			regions[s.Name] = s.Region
		}
		owned := make(map[string]int)
		busiest, otherRegion := 0, 0
		for b.Loop() {
			clear(owned)
			busiest, otherRegion = 0, 0
			for _, e := range snap.Engines {
				r, _ := snap.EngineOwner(e.ID)
				owned[r.Name]++
				busiest = max(busiest, owned[r.Name])
				if regions[r.Site] != e.Region {
					otherRegion++
				}
			}
		}
		b.ReportMetric(float64(busiest), "engines-busiest")
		b.ReportMetric(float64(otherRegion)/float64(len(snap.Engines)), "share-other-region")
	})
}
