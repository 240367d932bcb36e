package crashmodel

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
)

// PartDesign is a way to stop prompt parts that crash engines.
type PartDesign struct {
	Name string
	// Off disables it.
	Off bool
	// CountOnly quarantines a part after Limits.PartEnds ends since the last complete answer to a request
	// with it, whatever else is known.
	CountOnly bool
	Limits    quarantine.Limits
	// Isolate sends requests with a suspected part to the engine that the part selects, and Single sends
	// one of them at a time from each router.
	Isolate, Single bool
	// PlaceUnproven selects the engine by the first part that the router has not seen answered.
	PlaceUnproven bool
	// NoRetry means that a router repeats no request that an engine's end has cut.
	NoRetry bool
}

// PartLoad is the requests and faults of a run.
type PartLoad struct {
	Routers, Engines int
	// Rate is the number of sound requests a second. They share a first part and one of Documents second
	// parts. First is the mean time to the first token, and Answer that of the answer after it.
	Rate          float64
	Documents     int
	First, Answer time.Duration
	// Bad is the number of bad parts, BadRate the requests a second with each, and Moving means that they
	// have other parts each time. Companion is a part that all of them have and few sound requests.
	Bad               int
	BadRate           float64
	Moving, Companion bool
	// Repeated means that one request with a body that crashes engines comes instead, and shares all its
	// parts with sound ones.
	Repeated bool
	// CrashAfter is the time from the first token to the end of the engine, and Back that until another
	// one replaces it.
	CrashAfter, Back time.Duration
	// Ends is the number of engines a second that end by themselves; MassShare of all end every MassEvery.
	Ends      float64
	MassEvery time.Duration
	MassShare float64
	// Spread is the time until all routers know what one of them observed.
	Spread, Length time.Duration
}

// PartResult counts what happened in a run.
type PartResult struct {
	// Ended is the number of engines that bad parts ended; Late how often requests with one arrived at
	// engines later than bound after the fifth end under it; both for the worst part.
	Ended, Late int
	// Sound is the number of sound requests, First how many were served at the first attempt, Refused how
	// many attempts were refused as a suspect, and Held how many waited as one.
	Sound, First, Refused, Held int
	// AfterSound and AfterFirst are Sound and First from 2*bound after the last fifth end.
	AfterSound, AfterFirst int
	// Condemned is the number of sound parts in quarantine at the end.
	Condemned int
	// Records is the number of records that one router received from others.
	Records int
}
