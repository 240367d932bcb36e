package health

import "time"

const (
	// newestWeight is the weight of the newest response in the moving average.
	newestWeight = 1.0 / 16
	// minResponses is the number of responses that are needed before the average is used.
	minResponses = 5
	// silenceFactor is the time that an engine may take to respond, as a multiple of the average.
	// All but one or two in a hundred responses of a healthy service take less than this time, and
	// a request that is sent again after it still meets its objective in most cases.
	silenceFactor = 3
	// minObjectiveShare is the share of the objective that an engine may always take to respond,
	// because a service whose responses are fast on average has slow ones too.
	minObjectiveShare = 0.5
)

// Latency is the moving average of the response times of a service. The zero value has no
// responses. It is not safe for concurrent use.
type Latency struct {
	mean      time.Duration
	responses int
}

// Observe adds the time that a response took, or the time after which the router stopped waiting
// for one. Because the waits without a response count too, the average rises if all engines are
// slow, and later requests wait long enough.
func (l *Latency) Observe(took time.Duration) {
	l.responses++
	if l.responses == 1 {
		l.mean = took
		return
	}
	l.mean += time.Duration(newestWeight * float64(took-l.mean))
}

// SilenceTimeout returns the time to wait for an engine before a request is sent to another one;
// zero means no limit. It follows the service's response times, because a fixed limit would abort
// all requests of a service that is only busy. objective is the service's latency objective, or
// zero if it has none; it is returned until there are minResponses responses.
func (l *Latency) SilenceTimeout(objective time.Duration) time.Duration {
	if l.responses < minResponses {
		return objective
	}
	return max(silenceFactor*l.mean, time.Duration(minObjectiveShare*float64(objective)))
}
