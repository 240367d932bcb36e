package health

import "time"

const (
	// paceWeight is the weight of the newest answer in the mean.
	paceWeight = 1.0 / 16
	// fewestAnswers is how many answers a mean needs to be believed.
	fewestAnswers = 5
	// silentAfter is how many times the mean an engine may take. Answers of a
	// healthy service are within it but for one or two in a hundred, and a second
	// engine that is asked then is still on time in most cases.
	silentAfter = 3
	// leastObjective is the part of the objective that every engine may take: a
	// service whose answers come at once on the whole has slow ones too.
	leastObjective = 0.5
)

// Pace is how long the answers of a service take. The zero value knows none.
type Pace struct {
	mean    time.Duration
	answers int
}

// Note adds an answer, or the time after which one was given up: where all engines
// are slow, the mean then follows, and nothing more is given up.
func (p *Pace) Note(took time.Duration) {
	p.answers++
	if p.answers == 1 {
		p.mean = took
		return
	}
	p.mean += time.Duration(paceWeight * float64(took-p.mean))
}

// Patience is how long an engine may be silent to a request that another engine
// could serve as well; zero means without end. It depends on the other answers of
// the service, since a fixed one would give up every request of a service that is
// merely busy. objective is the time within which an answer is on time, or zero.
func (p *Pace) Patience(objective time.Duration) time.Duration {
	if p.answers < fewestAnswers {
		return objective
	}
	return max(silentAfter*p.mean, time.Duration(leastObjective*float64(objective)))
}
