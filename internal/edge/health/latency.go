package health

import "time"

const (
	// newestWeight is the weight of the newest answer in the moving average.
	newestWeight = 1.0 / 16
	// minAnswers is the number of answers from which on the average is used.
	minAnswers = 5
	// patienceFactor is the time that an engine may take, as a multiple of the average. All but one
	// or two in a hundred answers of a healthy service are faster, and a request sent again after
	// that time still meets its objective in most cases.
	patienceFactor = 3
	// minObjectiveShare is the part of the objective that every engine may take: a service whose
	// answers are fast on average has slow ones too.
	minObjectiveShare = 0.5
)

// Pace is the moving average of the response times of a service. The zero value has no answers. It
// is not safe for concurrent use.
type Pace struct {
	mean    time.Duration
	answers int
}

// Note adds the response time of an answer, or the time after which the router stopped waiting for
// one. The latter makes the average follow if all engines are slow, so that later requests wait
// long enough.
func (p *Pace) Note(took time.Duration) {
	p.answers++
	if p.answers == 1 {
		p.mean = took
		return
	}
	p.mean += time.Duration(newestWeight * float64(took-p.mean))
}

// Patience returns the time to wait for an engine before a request is sent to another one; zero
// means no limit. It follows the service's response times, because a fixed limit would give up all
// requests of a service that is only busy. objective is the service's latency objective, or zero if
// it has none. Patience returns the objective until there are minAnswers answers.
func (p *Pace) Patience(objective time.Duration) time.Duration {
	if p.answers < minAnswers {
		return objective
	}
	return max(patienceFactor*p.mean, time.Duration(minObjectiveShare*float64(objective)))
}
