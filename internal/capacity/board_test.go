package capacity_test

import (
	"math/rand/v2"
	"testing"

	"damaskrouter.example/damaskrouter/internal/board"
	"damaskrouter.example/damaskrouter/internal/capacity"
	"damaskrouter.example/damaskrouter/internal/peer"
	"damaskrouter.example/damaskrouter/internal/quota"
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
