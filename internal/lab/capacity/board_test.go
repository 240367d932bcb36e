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

// BenchmarkPublish is one published snapshot without subscribers: what any
// change of a member, an engine or the configuration costs the board.
func BenchmarkPublish(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(contextOf(b), self)
		b.ReportAllocs()
		for b.Loop() {
			bd.UpdateWait(func(*board.State) {})
		}
	})
}

// BenchmarkPublishEngineChange is a published snapshot whose set of engines
// differs from the last one's, so that engines are assigned to owners anew.
func BenchmarkPublishEngineChange(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(contextOf(b), self)
		var gone board.Engine
		for _, e := range bd.Snapshot().Engines {
			gone = e
		}
		b.ReportAllocs()
		for b.Loop() {
			bd.UpdateWait(func(s *board.State) {
				if _, ok := s.Engines[gone.Name]; ok {
					delete(s.Engines, gone.Name)
					return
				}
				s.Engines[gone.Name] = gone
			})
		}
	})
}

// BenchmarkSnapshotMemory is what one snapshot and the state under it keep
// alive, next to a configuration that is shared by all snapshots.
func BenchmarkSnapshotMemory(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		ctx := contextOf(b)
		var bytes float64
		for b.Loop() {
			bytes = heapOf(func() any { return f.Start(ctx, self) })
		}
		b.ReportMetric(bytes, "heap-B")
	})
}

// BenchmarkConfigMemory is the bundle in text and the effective configuration.
func BenchmarkConfigMemory(b *testing.B) {
	for _, s := range capacity.Steps() {
		b.Run(s.String(), func(b *testing.B) {
			var bytes float64
			for b.Loop() {
				bytes = heapOf(func() any {
					f := fleetOf(b, s)
					return []any{f.Bundle, f.Config}
				})
			}
			b.ReportMetric(bytes, "heap-B")
		})
	}
}

// BenchmarkOwner is one question for the owner of a key.
func BenchmarkOwner(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(contextOf(b), self).Snapshot()
		key := uint64(0)
		for b.Loop() {
			key++
			snap.Owner(key)
		}
	})
}

// BenchmarkRank is one question for a duty's order, as asked once a second.
func BenchmarkRank(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(contextOf(b), self).Snapshot()
		for b.Loop() {
			snap.Rank(1)
		}
	})
}

// BenchmarkAdmissionSync is what a new snapshot costs admission when nothing
// has moved.
func BenchmarkAdmissionSync(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(contextOf(b), self)
		a := admissionOf(b, bd, self, new(peer.Counters))
		snap := bd.Snapshot()
		a.Sync(snap)
		b.ReportAllocs()
		for b.Loop() {
			a.Sync(snap)
		}
	})
}

// BenchmarkQuotaSync is what a new snapshot costs the account limits, when
// only an engine has changed and when a router came or went.
func BenchmarkQuotaSync(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		bd := f.Start(contextOf(b), self)
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

// BenchmarkEngineScan is the engine controller's step: the search for the
// engines that this router owns, twice a second.
func BenchmarkEngineScan(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(contextOf(b), self).Snapshot()
		for b.Loop() {
			capacity.Owned(snap)
		}
	})
}

// BenchmarkReports is the search for what to report to engines' owners, once
// in five seconds.
func BenchmarkReports(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		a := admissionOf(b, f.Start(contextOf(b), self), self, new(peer.Counters))
		for b.Loop() {
			a.Reports()
		}
	})
}

// BenchmarkOwnersMoved takes a share of the target's routers away, as when a
// rack, a data centre or a region is lost, and counts the engines and accounts
// that get a new owner. Time is that of the snapshot and of the books that one
// remaining router opens.
func BenchmarkOwnersMoved(b *testing.B) {
	f := fleetOf(b, capacity.Target())
	for _, parts := range []int{20, 6, 2} {
		b.Run(fmt.Sprintf("lost=one-in-%d", parts), func(b *testing.B) {
			bd := f.Start(contextOf(b), self)
			a := admissionOf(b, bd, self, new(peer.Counters))
			before := bd.Snapshot()
			bd.UpdateWait(func(s *board.State) { loseRouters(s, f.Size.Routers/parts) })
			after := bd.Snapshot()
			for b.Loop() {
				a.Sync(before)
				a.Sync(after)
			}
			b.ReportMetric(float64(moved(before.EngineOwner, after.EngineOwner, engineIDs(f))), "engines-moved")
			b.ReportMetric(float64(moved(before.Owner, after.Owner, accountIDs(f))), "accounts-moved")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*b.N), "us/sync")
		})
	}
}

// loseRouters removes the routers with the highest numbers.
func loseRouters(s *board.State, n int) {
	routers := maps.Clone(s.Routers)
	total := len(routers)
	for i := total - n; i < total; i++ {
		delete(routers, capacity.RouterName(i))
	}
	s.Routers = routers
}

func moved(before, after func(key uint64) (board.Router, bool), keys []uint64) (count int) {
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

// BenchmarkOwnersSpread counts the engines of the busiest owner, and the share
// of the engines whose owner is a router in another region.
func BenchmarkOwnersSpread(b *testing.B) {
	perSize(b, func(b *testing.B, f *capacity.Fleet) {
		snap := f.Start(contextOf(b), self).Snapshot()
		regions := make(map[string]string)
		for _, s := range f.Config.Sites {
			regions[s.Name] = s.Region
		}
		owned := make(map[string]int)
		most, abroad := 0, 0
		for b.Loop() {
			clear(owned)
			most, abroad = 0, 0
			for _, e := range snap.Engines {
				r, _ := snap.EngineOwner(e.ID)
				owned[r.Name]++
				most = max(most, owned[r.Name])
				if regions[r.Site] != e.Region {
					abroad++
				}
			}
		}
		b.ReportMetric(float64(most), "engines-busiest")
		b.ReportMetric(float64(abroad)/float64(len(snap.Engines)), "share-other-region")
	})
}
