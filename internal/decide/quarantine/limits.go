package quarantine

import "time"

// Limits are the bounds of a Table.
type Limits struct {
	// Ends is the number of engines that must have ended under a request before it is quarantined.
	Ends int
	// ChanceEnds replaces Ends if engines also ended at those times without the request, so that
	// chance is a likely explanation.
	ChanceEnds int
	// ChanceWindow is how far apart the ends of engines are that have a common cause. SiteWindow is
	// the same for the engines of a site, as far as a request ran only there.
	ChanceWindow, SiteWindow time.Duration
	// AccountEnds replaces Ends for an account with at least AccountQuarantined requests in
	// quarantine.
	AccountEnds, AccountQuarantined int
	// PartEnds is the number of engines that must have ended under a part before it is quarantined, and
	// PartSuspectEnds the number from which it is suspected: requests with it are sent to one engine only.
	PartEnds, PartSuspectEnds int
	// AccountPartEnds replaces PartEnds for a part of a single account with at least AccountQuarantined
	// parts in quarantine.
	AccountPartEnds int
	// PartRequests is the number of different requests that it must take to explain the ends under a
	// part before it is quarantined.
	PartRequests int
	// SuspectScore and GuiltyScore are the negative logarithms of the probability of chance below which
	// a part is suspected, and quarantined.
	SuspectScore, GuiltyScore float64
	// Evidence is how long the end of an engine counts against the requests that it was executing.
	Evidence time.Duration
	// Quarantine is the duration of a request's first quarantine. Each further one lasts twice as
	// long as the one before, up to MaxQuarantine.
	Quarantine, MaxQuarantine time.Duration
	// Entries is the maximum number of suspected requests, and PartEntries that of suspected parts.
	Entries, PartEntries int
}

// DefaultLimits returns the limits that routers use.
func DefaultLimits() Limits {
	return Limits{
		Ends: 3, ChanceEnds: 5, ChanceWindow: 100 * time.Millisecond, SiteWindow: time.Second, AccountEnds: 2, AccountQuarantined: 3,
		PartEnds: 4, PartSuspectEnds: 2, AccountPartEnds: 3, PartRequests: 3, SuspectScore: 7, GuiltyScore: 20,
		Evidence: 10 * time.Minute, Quarantine: 10 * time.Minute, MaxQuarantine: 24 * time.Hour,
		Entries: 1024, PartEntries: 1024,
	}
}
