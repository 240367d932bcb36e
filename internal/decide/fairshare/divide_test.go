package fairshare

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func demand(priority int, weight float64, asked ...float64) Demand {
	d := Demand{Priority: priority, Weight: weight}
	copy(d.Asked[:], asked)
	return d
}

func work(grants []Grant) (out []float64) {
	for _, g := range grants {
		out = append(out, g.Work)
	}
	return out
}

func TestDivide(t *testing.T) {
	for _, tc := range []struct {
		name     string
		capacity float64
		demands  []Demand
		want     []float64
	}{
		{"one account gets everything", 100, []Demand{demand(0, 1, 300)}, []float64{100}},
		{"all fit", 100, []Demand{demand(0, 1, 30), demand(0, 9, 60)}, []float64{30, 60}},
		{"equal weights", 90, []Demand{demand(0, 1, 10), demand(0, 1, 60), demand(0, 1, 120)}, []float64{10, 40, 40}},
		{"weights", 90, []Demand{demand(0, 1, 90), demand(0, 2, 90)}, []float64{30, 60}},
		{"unknown weight counts as the mean", 90, []Demand{demand(0, 0, 90), demand(0, 1, 90), demand(0, 3, 90)}, []float64{30, 15, 45}},
		{"more urgent accounts first, but for the floor", 100, []Demand{demand(0, 1, 100), demand(1, 1, 100)}, []float64{85, 15}},
		{"small accounts may double their demand", 100, []Demand{demand(0, 1, 20), demand(0, 99, 200)}, []float64{20, 80}},
		{"nothing requested", 100, []Demand{demand(0, 1), demand(0, 1)}, []float64{0, 0}},
		{"no capacity", 0, []Demand{demand(0, 1, 10)}, []float64{0}},
	} {
		got := work(Divide(tc.capacity, tc.demands))
		require.InDeltaSlice(t, tc.want, got, 0.001, tc.name)
	}
}

// Guards against an account whose share goes to its less urgent requests while urgent ones wait.
func TestShareCoversUrgentRequestsFirst(t *testing.T) {
	got := Divide(50, []Demand{demand(0, 1, 20, 60, 20)})
	require.InDeltaSlice(t, []float64{1, 0.5, 0}, got[0].Share[:], 0.001)
}

// Guards against divisions that hand out more than there is, more than an account requests, or less than
// the floor.
func TestDivideInvariants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		demands := make([]Demand, 1+rng.IntN(40))
		asked := 0.0
		for i := range demands {
			demands[i] = demand(rng.IntN(3), rng.ExpFloat64()*float64(rng.IntN(2)), rng.ExpFloat64(), rng.ExpFloat64(), rng.ExpFloat64())
			asked += demands[i].total()
		}
		capacity := asked * 1.5 * rng.Float64()
		total := 0.0
		for i, g := range Divide(capacity, demands) {
			total += g.Work
			require.LessOrEqual(t, g.Work, demands[i].total()+1e-9)
			require.GreaterOrEqual(t, g.Work, floorShare*min(capacity/asked, 1)*demands[i].total()-1e-9)
			for rank, share := range g.Share {
				require.GreaterOrEqual(t, share, 0.0)
				require.LessOrEqual(t, share, 1.0)
				require.True(t, rank == 0 || share <= g.Share[rank-1]+1e-9, "a less urgent rank has a larger share")
			}
		}
		require.InDelta(t, min(capacity, asked), total, 1e-6*asked)
	}
}

func BenchmarkDivide410(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	demands := make([]Demand, 410)
	for i := range demands {
		demands[i] = demand(rng.IntN(2), rng.ExpFloat64(), rng.ExpFloat64(), rng.ExpFloat64(), rng.ExpFloat64())
	}
	for b.Loop() {
		Divide(400, demands)
	}
}
