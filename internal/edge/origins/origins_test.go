package origins

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/origin"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/stretchr/testify/require"
)

// settle lets the registries review the fleet.
func settle() { time.Sleep(4 * reviewInterval) }

// Guards against a stream of which no router knows the version once the one that began it is gone.
func TestOriginOutlivesItsRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1", "v2")
		settle()
		f.begin("r0", "1", "v2")
		synctest.Wait()
		f.kill("r0")
		for _, name := range f.names[1:] {
			require.Equal(t, "v2", f.find(name, "1"), name)
		}
		require.Empty(t, f.find("r1", "no such stream"))
		_, err := f.routers["r1"].registry.Find(t.Context(), "other account", "1", []string{"svc"})
		require.True(t, ErrUnknown.Has(err))
	})
}

// Guards against records that end with their replicas while all routers are restarted one after the
// other, by a kill or in order.
func TestOriginOutlivesRestartsInSeries(t *testing.T) {
	for _, inOrder := range []bool{false, true} {
		t.Run(fmt.Sprint(inOrder), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6, "v1", "v2")
				settle()
				for i := range 40 {
					f.begin("r0", fmt.Sprint(i), "v2")
				}
				synctest.Wait()
				for _, name := range f.names {
					if inOrder {
						f.routers[name].up = false
						f.routers[name].registry.Leave(t.Context())
					}
					f.kill(name)
					settle()
					f.boot(name, false)
					time.Sleep(time.Second)
				}
				for i := range 40 {
					require.Equal(t, "v2", f.find("r3", fmt.Sprint(i)), i)
				}
			})
		})
	}
}

// Guards against streams that are refused because they began before there was a second version, when
// their records were not needed.
func TestStreamsBegunBeforeTheSecondVersionAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1")
		settle()
		calls := f.calls
		f.begin("r0", "1", "v1")
		settle()
		require.Equal(t, calls, f.calls, "one version needs no calls")
		require.Equal(t, "v1", f.find("r1", "1"))
		for _, r := range f.routers {
			r.versions = []string{"v1", "v2"}
		}
		settle()
		f.kill("r0")
		require.Equal(t, "v1", f.find("r1", "1"))
		for _, r := range f.routers {
			r.versions = []string{"v2"}
		}
		settle()
		require.Equal(t, "v1", f.find("r1", "1"), "the version is gone, and the record tells that")
		require.Empty(t, f.find("r1", "2"))
		time.Sleep(origin.Window + time.Second)
		require.Equal(t, "v2", f.find("r1", "2"), "no stream of another version can be left")
	})
}

// Guards against a stream that began at a version that its caller's next router does not know yet, and
// that continues there at the only one that it knows.
func TestFirstStreamOfANewVersionIsRecordedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1")
		settle()
		for i := range 20 {
			f.begin("r0", fmt.Sprint("old ", i), "v1")
		}
		f.begin("r0", "1", "v2")
		synctest.Wait()
		for _, name := range f.names[1:] {
			require.Equal(t, "v2", f.find(name, "1"), name)
			require.Equal(t, "v1", f.find(name, "old 3"), name)
		}
	})
}

// Guards against a router that takes the only version it knows for that of every stream: it is cut off
// from those that know more, or has just started.
func TestRouterThatMayMissVersionsDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1")
		settle()
		f.cut = func(from, to string) bool { return from == "r5" || to == "r5" }
		require.Empty(t, f.find("r5", "1"), "nobody replies")
		f.cut = nil
		require.Equal(t, "v1", f.find("r5", "1"))
		f.routers["r0"].versions = []string{"v1", "v2"}
		for _, name := range f.names[1:5] {
			f.routers[name].versions = []string{"v1", "v2"}
		}
		settle()
		require.Empty(t, f.find("r5", "1"), "those that are asked know another version")
		for _, name := range f.names {
			f.kill(name)
			f.routers[name].versions = []string{"v2"}
		}
		for _, name := range f.names {
			f.boot(name, false)
		}
		settle()
		require.Empty(t, f.find("r1", "1"), "all have just started")
		f.routers["r0"].registry.AdoptHistory(map[string][]string{"svc": {"v2"}})
		time.Sleep(time.Second)
		require.Equal(t, "v2", f.find("r1", "1"), "the store has told that there was no other")
	})
}

// Guards against streams of an engine that may have been restarted with another version, which are
// recorded with the version of its entry.
func TestStreamOfAnEngineInDoubtIsRecordedOnceThatIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1")
		settle()
		f.routers["r0"].inDoubt = true
		f.begin("r0", "1", "v1")
		s := streamOf("2")
		f.routers["r0"].registry.Begin(s, 1, engineOf("v1"), f.now(), false)
		<-f.routers["r0"].registry.Begin(s, 2, engineOf("v1"), f.now(), true)
		f.routers["r1"].provesNothing = true
		require.Empty(t, f.find("r1", "2"), "the first event has come")
		require.Empty(t, f.find("r0", "1"))
		f.routers["r0"].inDoubt = false
		settle()
		require.Equal(t, "v1", f.find("r0", "1"))
		require.Equal(t, "v1", f.find("r1", "2"))
	})
}

// Guards against streams that can't be resumed because their router ended before their engine had proved its
// start, and against a version of which it is not proved that it began the stream.
func TestStreamOfAnEndedRouterIsSettledByOthers(t *testing.T) {
	for name, test := range map[string]struct {
		provesAfter   time.Duration
		provesNothing bool
		born          int64
		want          string
	}{
		"the engine proves its start":  {provesAfter: 200 * time.Millisecond, want: "v1"},
		"the engine proves nothing":    {provesNothing: true},
		"the engine was started again": {provesAfter: 200 * time.Millisecond, born: 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 6, "v1", "v2")
			settle()
			f.routers["r0"].inDoubt = true
			<-f.routers["r0"].registry.Begin(streamOf("1"), 1, engineOf("v1"), f.now(), true)
			f.kill("r0")
			time.Sleep(3 * time.Second)
			r := f.routers["r1"]
			r.provesAfter, r.provesNothing, r.born = test.provesAfter, test.provesNothing, test.born
			require.Equal(t, test.want, f.find("r1", "1"), name)
			if test.want == "" {
				return
			}
			r.registry.Renew(Stream{Account: "a", ID: "1", Exchange: 9, Life: time.Second}, "svc", test.want)
			settle()
			require.Equal(t, test.want, f.find("r2", "1"), "%s, resumed once more", name)
		})
	}
}

// Guards against a request that was sent to engines of two versions before its first event, and continues
// at the first one.
func TestLaterSendReplacesTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1", "v2")
		settle()
		s := streamOf("1")
		<-f.routers["r0"].registry.Begin(s, 1, engineOf("v1"), f.now(), false)
		<-f.routers["r0"].registry.Begin(s, 2, engineOf("v2"), f.now(), false)
		require.Equal(t, "v2", f.find("r1", "1"))
		f.routers["r3"].registry.Renew(Stream{Account: "a", ID: "1", Exchange: 7, Life: time.Second}, "svc", "v2")
		synctest.Wait()
		require.Equal(t, "v2", f.find("r4", "1"))
		f.begin("r2", "1", "v1")
		synctest.Wait()
		require.Empty(t, f.find("r1", "1"), "two requests with one ID")
	})
}

// Guards against records that are lost at routers of an earlier release, which keep none.
func TestRoutersOfAnEarlierReleaseKeepNoRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1", "v2")
		for _, name := range []string{"r0", "r1", "r2", "r3"} {
			f.routers[name].old = true
		}
		settle()
		for i := range 20 {
			f.begin("r4", fmt.Sprint(i), "v1")
			time.Sleep(10 * time.Millisecond)
		}
		settle()
		known := 0
		for i := range 20 {
			if f.find("r5", fmt.Sprint(i)) == "v1" {
				known++
			}
		}
		require.GreaterOrEqual(t, known, 19, "the first record may have gone to routers that keep none")
	})
}

// Guards against a stream that is refused although its router finds out its version a moment later.
func TestResumedStreamWaitsForAnUnsettledRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1", "v2")
		settle()
		f.routers["r1"].provesNothing = true
		r := f.routers["r0"]
		r.inDoubt = true
		s := streamOf("1")
		r.registry.Begin(s, 1, engineOf("v1"), f.now(), false)
		<-r.registry.Begin(s, 2, engineOf("v1"), f.now(), true)
		time.AfterFunc(40*time.Millisecond, func() {
			r.inDoubt = false
			r.registry.ReviewDoubtful()
		})
		require.Equal(t, "v1", f.find("r1", "1"))
		start := f.now()
		r.inDoubt = true
		s = streamOf("2")
		<-r.registry.Begin(s, 1, engineOf("v1"), f.now(), true)
		require.Empty(t, f.find("r1", "2"))
		require.LessOrEqual(t, f.now()-start, maxUnsettled*unsettledPause)
	})
}

// Guards against a stream that is refused because its caller has left and resumes it before the replicas have its
// record, and against callers that wait long for a stream that never was.
func TestRecordMayComeAfterTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1", "v2")
		settle()
		time.AfterFunc(60*time.Millisecond, func() { f.begin("r0", "1", "v1") })
		require.Equal(t, "v1", f.find("r1", "1"))
		start := f.now()
		require.Empty(t, f.find("r1", "never was"))
		require.LessOrEqual(t, f.now()-start, missingWait+unsettledPause)
	})
}

// Guards against a router that takes a record as replaced at a replica that did not get the later one.
func TestBeginTellsWhetherAllReplicasHaveTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1", "v2")
		settle()
		r := f.routers["r0"].registry
		s := streamOf("1")
		require.True(t, <-r.Begin(s, 1, engineOf("v1"), f.now(), false))
		f.dropSends = func(string) bool { return true }
		require.False(t, <-r.Begin(s, 2, engineOf("v2"), f.now(), false))
	})
}

func TestRecordsEndWithTheirTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, "v1", "v2")
		settle()
		f.begin("r0", "1", "v1")
		time.Sleep(15*time.Second + lifeMargin - time.Second)
		require.Equal(t, "v1", f.find("r1", "1"))
		time.Sleep(2 * time.Second)
		require.Empty(t, f.find("r1", "1"))
		for _, r := range f.routers {
			require.Zero(t, r.registry.Stats().Records)
		}
	})
}

// TestOriginNeverMistaken runs every case of four routers, of which one begins a stream: which of the others get
// its record, which are killed afterwards, which routers the beginner and the one that is queried believe
// alive, and which versions the latter knows. What is found must be the stream's version, and must be
// found if a replica of both views has the record.
func TestOriginNeverMistaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		for _, r := range f.routers {
			r.stop()
		}
		synctest.Wait()
		found, cases := 0, 0
		for mask := range 1 << 13 {
			delivered, killed, viewBegin, viewFind := mask&7, mask>>3&7, mask>>6&7, mask>>9&7
			takerKnowsBoth := mask>>12&1 == 1
			for _, name := range f.names {
				r := f.routers[name]
				r.up, r.versions, r.live = true, []string{"v1", "v2"}, nil
				f.bootStopped(name)
			}
			if !takerKnowsBoth {
				f.routers["r3"].versions = []string{"v2"}
			}
			f.routers["r0"].live = append(subset(f.names[1:], viewBegin), "r0")
			f.routers["r3"].live = append(subset(f.names[:3], viewFind), "r3")
			f.dropSends = func(to string) bool { return !strings.Contains(strings.Join(subset(f.names[1:], delivered), " "), to) }
			for _, name := range f.names {
				f.routers[name].registry.review(f.now())
			}
			f.begin("r0", "1", "v1")
			time.Sleep(time.Second)
			for _, name := range subset(f.names[:3], killed) {
				f.routers[name].up = false
			}
			cases++
			version := f.find("r3", "1")
			require.NotEqual(t, "v2", version, "case %d", mask)
			if version == "v1" {
				found++
				continue
			}
			for _, name := range f.routers["r3"].live {
				r := f.routers[name]
				if _, has := r.registry.table.Get(origin.KeyOf("a", "1"), f.now()); r.up && has {
					require.Fail(t, "record not found", "case %d: %s has it", mask, name)
				}
			}
		}
		t.Logf("%d cases, found in %d", cases, found)
	})
}

// subset returns the names whose bits are set.
func subset(names []string, mask int) (out []string) {
	for i, name := range names {
		if mask>>i&1 == 1 {
			out = append(out, name)
		}
	}
	return out
}

// Guards against streams that begin at a version which the store does not hold yet, and of which nobody knows after a
// loss of all routers.
func TestNewVersionIsEstablishedOnceItIsStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1")
		time.Sleep(storeWait + time.Second)
		established := func(version string) (n int) {
			for _, r := range f.routers {
				if r.registry.Established("svc", version) {
					n++
				}
			}
			return n
		}
		require.Equal(t, 6, established("v1"))
		require.Zero(t, established("v2"), "a version that has not been seen")
		for _, r := range f.routers {
			r.versions = []string{"v1", "v2"}
		}
		settle()
		require.Zero(t, established("v2"))
		for _, r := range f.routers {
			if _, follows := feed.ParentOf(r.peer, f.live(r), nil, f.now()); !follows {
				r.registry.SetStored(map[string][]string{"svc": {"v1", "v2"}})
			}
		}
		time.Sleep(4 * minHistoryPause)
		require.Equal(t, 6, established("v2"))
		require.Equal(t, 6, established("v1"))
		settle()
		calls := f.calls
		time.Sleep(time.Minute)
		require.Equal(t, calls, f.calls, "calls without a change")
	})
}

// Guards against streams that never begin at a version, because the store can't hold it or nobody tells that it does.
func TestVersionIsEstablishedWithoutTheStoreInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, "v1")
		require.True(t, f.routers["r0"].registry.Established("svc", "v1"), "no version is established")
		time.Sleep(storeWait + time.Second)
		f.routers["r0"].versions = []string{"v1", "v2"}
		settle()
		require.False(t, f.routers["r0"].registry.Established("svc", "v2"))
		time.Sleep(storeWait)
		require.True(t, f.routers["r0"].registry.Established("svc", "v2"))
	})
}

// Guards against a router that has lost all others, and takes the only version that it knew a moment ago for
// that of a stream which began at another one since.
func TestRouterThatLostAllOthersDoesNotGuess(t *testing.T) {
	for name, test := range map[string]struct {
		reads    []string
		readIn   time.Duration
		expected string
	}{
		"engines not read again":         {},
		"engines read, two versions":     {reads: []string{"v1", "v2"}, readIn: 300 * time.Millisecond},
		"engines read, the same version": {reads: []string{"v1"}, readIn: 300 * time.Millisecond, expected: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6, "v1")
				settle()
				r := f.routers["r5"]
				f.cut = func(from, to string) bool { return from == "r5" || to == "r5" }
				r.live, r.listAt = []string{"r5"}, f.now()-freshFor/2
				settle()
				if test.reads != nil {
					time.AfterFunc(test.readIn, func() { f.readEngines(r, test.reads) })
				}
				require.Equal(t, test.expected, f.find("r5", "1"))
			})
		})
	}
}
