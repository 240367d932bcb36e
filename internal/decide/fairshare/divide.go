package fairshare

import (
	"cmp"
	"slices"
)

// floorShare is the share of the mean ratio of granted to requested work that each account gets
// whatever the others' priorities are. Operators require a quarter; the rest is a margin for the
// error of the measured rates.
const floorShare = 0.3

// Demand is what an account requests of a service.
type Demand struct {
	Account string
	// Priority is the priority of the account; 0 is the most urgent.
	Priority int
	// Weight is the account's entitlement relative to the others'; zero if it is not known.
	Weight float64
	// Asked is the requested work per second, by rank.
	Asked [Ranks]float64
}

func (d Demand) total() float64 { return sum(d.Asked) }

func sum(byRank [Ranks]float64) (total float64) {
	for _, work := range byRank {
		total += work
	}
	return total
}

// Share is the part of an account's requested work that is within its fair share, from 0 to 1, by
// rank.
type Share [Ranks]float64

// whole is the share of an account that requests no more than its fair share.
var whole = Share{1, 1, 1}

// Grant is the fair share of one account.
type Grant struct {
	// Work is what the account gets of what it requests, per second. Entitled is what it could have.
	Work, Entitled float64
	Share          Share
}

// Divide divides a capacity, in work per second, among accounts by weighted max-min fairness: no
// account gets more than it requests, and what one leaves goes to the others. The accounts of a more
// urgent priority get theirs first, but no account gets less than floorShare of the mean ratio of what
// is granted. The order of the result is that of demands.
func Divide(capacity float64, demands []Demand) []Grant {
	return divide(capacity, demands, knownWeights(demands))
}

func divide(capacity float64, demands []Demand, weights []float64) []Grant {
	floors := floors(capacity, demands)
	atFloor := make([]bool, len(demands))
	for {
		out := divideOnce(capacity, demands, weights, floors, atFloor)
		if !raiseToFloor(out, floors, atFloor) {
			for i, d := range demands {
				out[i].Share = d.covered(out[i].Work)
			}
			return out
		}
	}
}

// floors returns the least work that each account gets.
func floors(capacity float64, demands []Demand) []float64 {
	asked := 0.0
	for _, d := range demands {
		asked += d.total()
	}
	out := make([]float64, len(demands))
	for i, d := range demands {
		if asked > 0 {
			out[i] = floorShare * min(capacity/asked, 1) * d.total()
		}
	}
	return out
}

// divideOnce gives the accounts at their floor that, and divides the rest among the others.
func divideOnce(capacity float64, demands []Demand, weights, floors []float64, atFloor []bool) []Grant {
	out := make([]Grant, len(demands))
	for i := range demands {
		if atFloor[i] {
			out[i] = Grant{Work: floors[i], Entitled: floors[i]}
			capacity -= floors[i]
		}
	}
	for _, level := range byPriority(demands) {
		level = slices.DeleteFunc(level, func(i int) bool { return atFloor[i] })
		capacity = fill(capacity, demands, weights, level, out)
	}
	return out
}

// raiseToFloor marks the accounts that have got less than their floor, and reports whether there were
// any.
func raiseToFloor(out []Grant, floors []float64, atFloor []bool) (raised bool) {
	for i := range out {
		if !atFloor[i] && out[i].Work < floors[i] {
			atFloor[i], raised = true, true
		}
	}
	return raised
}

// covered returns the part of the demand that an amount of work covers, the more urgent ranks first.
func (d Demand) covered(work float64) (s Share) {
	for rank, asked := range d.Asked {
		s[rank] = 1
		if asked > work {
			s[rank] = work / asked
		}
		work = max(work-asked, 0)
	}
	return s
}

// minWeightShare is the least weight of an account, as a share of the mean: what a small account needs
// to double its demand costs the others little.
const minWeightShare = 0.5

// knownWeights returns the weights of the demands. An account of unknown weight gets the mean of the
// others.
func knownWeights(demands []Demand) []float64 {
	total, known := 0.0, 0
	for _, d := range demands {
		if d.Weight > 0 {
			total += d.Weight
			known++
		}
	}
	mean := 1.0
	if known > 0 {
		mean = total / float64(known)
	}
	out := make([]float64, len(demands))
	for i, d := range demands {
		out[i] = mean
		if d.Weight > 0 {
			out[i] = max(d.Weight, minWeightShare*mean)
		}
	}
	return out
}

// byPriority returns the indexes of the demands of each priority, the most urgent first.
func byPriority(demands []Demand) [][]int {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[a].Priority, demands[b].Priority) })
	var out [][]int
	for i, at := range order {
		if i == 0 || demands[at].Priority != demands[order[i-1]].Priority {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], at)
	}
	return out
}

// fill divides a capacity among the accounts of one level and returns what is left.
func fill(capacity float64, demands []Demand, weights []float64, level []int, out []Grant) float64 {
	weight := 0.0
	for _, i := range level {
		weight += weights[i]
	}
	// The accounts with the least demand for their weight are satisfied first, so that what they leave
	// is divided among the rest.
	slices.SortStableFunc(level, func(a, b int) int {
		return cmp.Compare(demands[a].total()/weights[a], demands[b].total()/weights[b])
	})
	for _, i := range level {
		offered := max(capacity, 0) * weights[i] / weight
		out[i] = Grant{Work: min(demands[i].total(), offered), Entitled: offered}
		capacity -= out[i].Work
		weight -= weights[i]
	}
	return capacity
}
