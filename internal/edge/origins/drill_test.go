package origins

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/origin"
	"github.com/stretchr/testify/require"
)

const (
	// drillRouters and drillSites are the size of the largest fleet, and drillRate is its number of streams a
	// second that can be resumed.
	drillRouters = 295
	drillSites   = 5
	drillRate    = 515
	drillSeconds = 4
)

// traffic counts what the routers of a drill send.
type traffic struct {
	calls, records int
	bytes          map[string]int
	encoders       map[string]*gob.Encoder
	buffers        map[string]*bytes.Buffer
}

// count encodes the arguments as the connection between two routers does.
func (c *traffic) count(from, to string, args any) {
	pair := from + " " + to
	if c.encoders[pair] == nil {
		c.buffers[pair] = new(bytes.Buffer)
		c.encoders[pair] = gob.NewEncoder(c.buffers[pair])
	}
	before := c.buffers[pair].Len()
	// Encoding to memory can't fail.
	_ = c.encoders[pair].Encode(args)
	c.bytes[to] += c.buffers[pair].Len() - before
	c.calls++
	if records, ok := args.(ReplicateArgs); ok {
		c.records += len(records.Records)
	}
}

// newDrill returns the largest fleet, of which all routers know two versions.
func newDrill(t *testing.T) (*testFleet, *traffic) {
	f := newFleet(t, drillRouters, "v1", "v2")
	c := &traffic{bytes: make(map[string]int), encoders: make(map[string]*gob.Encoder), buffers: make(map[string]*bytes.Buffer)}
	f.count = c.count
	for i, name := range f.names {
		r := f.routers[name]
		r.stop()
		r.peer.Site = fmt.Sprint("site", i%drillSites)
		r.peer.Link = uint64(20 + 20*(i%10))
	}
	synctest.Wait()
	for _, name := range f.names {
		f.bootStopped(name)
		f.routers[name].registry.review(f.now())
	}
	return f, c
}

// beginAll begins the streams of the drill and returns the router that began each.
func (f *testFleet) beginAll(rng *rand.Rand) (by []string) {
	for i := range drillRate * drillSeconds {
		by = append(by, f.names[rng.IntN(len(f.names))])
		f.begin(by[i], fmt.Sprint(i), versionOf(i))
		time.Sleep(time.Second / drillRate)
	}
	time.Sleep(time.Second)
	return by
}

func versionOf(i int) string { return fmt.Sprint("v", 1+i%2) }

// share resumes every fifth stream at a random router that is up, and returns the share that continues. A
// stream that would continue at another version fails the test.
func (f *testFleet) share(t *testing.T, rng *rand.Rand) float64 {
	found, asked := 0, 0
	for i := 0; i < drillRate*drillSeconds; i += 5 {
		name := f.names[rng.IntN(len(f.names))]
		for !f.routers[name].up {
			name = f.names[rng.IntN(len(f.names))]
		}
		asked++
		if version := f.find(name, fmt.Sprint(i)); version != "" {
			require.Equal(t, versionOf(i), version)
			found++
		}
	}
	return float64(found) / float64(asked)
}

// TestDrillOfLargestFleet logs the cost of the records in a fleet of 295 routers, and which share of the streams
// continues after losses of routers.
func TestDrillOfLargestFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		var before, after runtime.MemStats
		f, c := newDrill(t)
		runtime.GC()
		runtime.ReadMemStats(&before)
		f.beginAll(rng)
		total, most := 0, 0
		for _, n := range c.bytes {
			total += n
			most = max(most, n)
		}
		held, mostHeld := 0, 0
		for _, r := range f.routers {
			n := r.registry.table.Len()
			held += n
			mostHeld = max(mostHeld, n)
		}
		c.encoders, c.buffers = nil, nil
		f.count = nil
		runtime.GC()
		runtime.ReadMemStats(&after)
		t.Logf("%d streams: %d calls with %d records, %d bytes, %d at most to one router; %d records held, %d at most by one router, %d KB in all",
			drillRate*drillSeconds, c.calls, c.records, total, most, held, mostHeld, (int64(after.HeapAlloc)-int64(before.HeapAlloc))/1024)
		require.LessOrEqual(t, c.calls, origin.Copies*drillRate*drillSeconds)
		require.Equal(t, 1.0, f.share(t, rng), "all routers are there")
	})
}

// TestDrillOfLosses logs which share of the streams continues after routers of the largest fleet are lost at once, and
// checks that none continues at another version.
func TestDrillOfLosses(t *testing.T) {
	for _, lost := range []int{1, 30, 98, 200} {
		t.Run(fmt.Sprint(lost), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(lost), 2))
				f, _ := newDrill(t)
				f.beginAll(rng)
				for _, i := range rng.Perm(drillRouters)[:lost] {
					f.routers[f.names[i]].up = false
				}
				atOnce := f.share(t, rng)
				for _, r := range f.routers {
					if r.up {
						r.registry.review(f.now())
					}
				}
				time.Sleep(time.Second)
				t.Logf("%d of %d routers lost: %.3f go on before, %.3f once that is known", lost, drillRouters, atOnce, f.share(t, rng))
			})
		})
	}
}

// TestDrillOfCopies logs which share of the records is lost with their replicas if a share of the routers is lost at
// once, by the number of copies.
func TestDrillOfCopies(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	var all []origin.Member
	for i := range drillRouters {
		all = append(all, origin.Member{Name: fmt.Sprint("r", i), Site: fmt.Sprint("site", i%drillSites), Link: uint64(20 + 20*(i%10))})
	}
	eligible := origin.Eligible(all)
	for _, lost := range []float64{0.1, 1.0 / 3, 2.0 / 3} {
		for copies := 1; copies <= 4; copies++ {
			gone := 0
			const keys = 5000
			for i := range keys {
				kept := false
				for _, m := range origin.Rank(origin.KeyOf("a", fmt.Sprint(i)), eligible)[:copies] {
					kept = kept || m.Name != "" && rng.Float64() >= lost
				}
				if !kept {
					gone++
				}
			}
			t.Logf("%.2f of the routers lost, %d copies: %.4f of the records", lost, copies, float64(gone)/keys)
		}
	}
}
