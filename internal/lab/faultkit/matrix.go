// Package faultkit is the harness of the fault matrix: the matrix itself, an
// in-memory network whose connections fail as told, one-process routers that
// can be frozen and killed, and an oracle that keeps its own books at the
// stand-ins. The tests that use it are in test/faults.
package faultkit

// Fault names one thing that goes wrong, or a selected pair of them.
type Fault string

// The faults of the matrix.
const (
	Kill       Fault = "kill"
	Freeze     Fault = "freeze and thaw"
	CutBoth    Fault = "cut both ways"
	CutOneWay  Fault = "cut one way"
	Silent     Fault = "silent connection"
	ReplyLost  Fault = "reply lost after effect"
	ReplyLate  Fault = "reply late"
	Duplicate  Fault = "duplicate"
	Reorder    Fault = "reorder"
	StoreDown  Fault = "store down"
	StoreSlow  Fault = "store slow"
	VMsStale   Fault = "VM list stale"
	ViewsDiff  Fault = "views differ"
	Flap       Fault = "flap"
	Surge      Fault = "surge"
	IPReused   Fault = "IP used again"
	Race       Fault = "operator race"
	LostDown   Fault = "reply lost + store down"
	KillSilent Fault = "kill + silent connection"
	RaceLost   Fault = "operator race + reply lost"
	FreezeTake Fault = "freeze + take-over"
	TwiceLost  Fault = "reply lost twice"
	DupKill    Fault = "duplicate + kill"
)

// Singles are the single faults, in the order of the page.
var Singles = []Fault{
	Kill, Freeze, CutBoth, CutOneWay, Silent, ReplyLost, ReplyLate, Duplicate, Reorder,
	StoreDown, StoreSlow, VMsStale, ViewsDiff, Flap, Surge, IPReused, Race,
}

// Pairs are the selected pairs. They have cells only at the steps where two
// faults together could do what neither does alone.
var Pairs = []Fault{LostDown, KillSilent, RaceLost, FreezeTake, TwiceLost, DupKill}

// Step names what the system is doing when a fault strikes.
type Step string

// The steps of the matrix.
const (
	Locate    Step = "locate"
	Admit     Step = "admit"
	Queue     Step = "queue"
	Permit    Step = "permit"
	Claim     Step = "claim"
	Send      Step = "send"
	FirstByte Step = "first byte"
	MidStream Step = "mid-stream"
	End       Step = "end"
	Record    Step = "record"
	Answer    Step = "answer"

	ConfigRead Step = "config read"
	Check      Step = "check"
	Commit     Step = "commit"
	Propagate  Step = "propagate"
	Apply      Step = "apply"

	Join     Step = "join"
	Leave    Step = "leave"
	TakeOver Step = "take over"
)

// StepGroup is the steps of one activity, which share a table on the page.
type StepGroup struct {
	Title string
	Steps []Step
}

// Groups are all steps, in the order of the page.
var Groups = []StepGroup{
	{"Requests", []Step{Locate, Admit, Queue, Permit, Claim, Send, FirstByte, MidStream, End, Record, Answer}},
	{"Configuration", []Step{ConfigRead, Check, Commit, Propagate, Apply}},
	{"Membership", []Step{Join, Leave, TakeOver}},
}

// Promise is one of the seven statements that must always hold.
type Promise int

// The promises.
const (
	// LoadBound: no engine carries more than a set multiple of the mean load.
	LoadBound Promise = iota + 1
	// OwnAnswer: each caller receives the whole answer to its own request.
	OwnAnswer
	// DidNotRun: what was refused as not run did not run.
	DidNotRun
	// AtMostOnce: non-idempotent work runs at most once.
	AtMostOnce
	// LeavingRests: a leaving upstream gets no new work after some seconds.
	LeavingRests
	// NothingCut: a planned stop cuts no request in progress.
	NothingCut
	// ConfigHolds: an accepted configuration is in force and never reverts.
	ConfigHolds
)

// PromiseTexts describe the promises, by number.
var PromiseTexts = map[Promise]string{
	LoadBound:    "no engine carries more than the set multiple of its pool's mean load",
	OwnAnswer:    "a caller gets the whole answer to its own request, or a typed error",
	DidNotRun:    "what is refused as not run did not run",
	AtMostOnce:   "non-idempotent work runs at most once",
	LeavingRests: "a leaving upstream gets no new work after a few seconds",
	NothingCut:   "a planned stop cuts no request in progress",
	ConfigHolds:  "an accepted configuration is in force everywhere and never reverts",
}

// Status is what the matrix says of a cell.
type Status int

// The statuses of a cell.
const (
	// Open: the cell needs a proof and has none.
	Open Status = iota
	// NotApplicable: the fault can't strike at the step.
	NotApplicable
	// Proved: a test struck with the fault at the step and the promises held.
	Proved
	// Failed: the test ran and a promise did not hold.
	Failed
)

// Cell is one fault at one step.
type Cell struct {
	Fault  Fault
	Step   Step
	Status Status
	// Promises are those that the test asserts.
	Promises []Promise
	// Note is the reason of a cell that does not apply, what is missing in an
	// open one, or what the test of a proved one does.
	Note string
}

// Key identifies a cell.
type Key struct {
	Fault Fault
	Step  Step
}

// Matrix holds cells by fault and step.
type Matrix map[Key]Cell

// Counts returns how many cells have each status.
func (m Matrix) Counts() map[Status]int {
	out := make(map[Status]int)
	for _, c := range m {
		out[c.Status]++
	}
	return out
}
