// Package faultkit is the harness of the fault matrix: the matrix itself, an in-memory
// network with fault injection, routers that run in one process and can be frozen and
// killed, and an oracle that checks the guarantees by the records of the stand-ins. The
// tests that use it are in test/faults.
package faultkit

// Fault names one injected fault or a selected pair of faults.
type Fault string

// Faults of the matrix.
const (
	Kill                  Fault = "kill"
	Freeze                Fault = "freeze and thaw"
	CutBoth               Fault = "cut both ways"
	CutOneWay             Fault = "cut one way"
	Silent                Fault = "silent connection"
	ReplyLost             Fault = "reply lost after effect"
	ReplyLate             Fault = "reply late"
	Duplicate             Fault = "duplicate"
	Reorder               Fault = "reorder"
	StoreDown             Fault = "store down"
	StoreSlow             Fault = "store slow"
	StaleVMList           Fault = "VM list stale"
	ViewsDiffer           Fault = "views differ"
	Flap                  Fault = "flap"
	Surge                 Fault = "surge"
	AddressReused         Fault = "IP used again"
	OperatorRace          Fault = "operator race"
	ReplyLostStoreDown    Fault = "reply lost + store down"
	KillSilent            Fault = "kill + silent connection"
	OperatorRaceReplyLost Fault = "operator race + reply lost"
	FreezeTakeOver        Fault = "freeze + take-over"
	ReplyLostTwice        Fault = "reply lost twice"
	DuplicateKill         Fault = "duplicate + kill"
)

// SingleFaults lists the single faults in the order of the page.
var SingleFaults = []Fault{
	Kill, Freeze, CutBoth, CutOneWay, Silent, ReplyLost, ReplyLate, Duplicate, Reorder,
	StoreDown, StoreSlow, StaleVMList, ViewsDiffer, Flap, Surge, AddressReused, OperatorRace,
}

// FaultPairs lists the selected pairs. They have cells only at the steps where two faults together
// could have an effect that neither has alone.
var FaultPairs = []Fault{ReplyLostStoreDown, KillSilent, OperatorRaceReplyLost, FreezeTakeOver, ReplyLostTwice, DuplicateKill}

// Step names the activity of the system during which a fault is injected.
type Step string

// Steps of the matrix.
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

// StepGroup holds the steps of one activity, which share a table on the page.
type StepGroup struct {
	Title string
	Steps []Step
}

// StepGroups lists all steps in the order of the page.
var StepGroups = []StepGroup{
	{"Requests", []Step{Locate, Admit, Queue, Permit, Claim, Send, FirstByte, MidStream, End, Record, Answer}},
	{"Configuration", []Step{ConfigRead, Check, Commit, Propagate, Apply}},
	{"Membership", []Step{Join, Leave, TakeOver}},
}

// Guarantee is one of the seven statements that must always hold.
type Guarantee int

// The guarantees.
const (
	// LoadBound: no engine carries more than a set multiple of its pool's mean load.
	LoadBound Guarantee = iota + 1
	// OwnResponse: each caller receives the complete response to its own request, or a
	// typed error.
	OwnResponse
	// NotExecuted: a request that was refused as not executed was not executed.
	NotExecuted
	// AtMostOnce: a non-idempotent request is executed at most once.
	AtMostOnce
	// NoWorkWhenDraining: a draining upstream gets no new work after a few seconds.
	NoWorkWhenDraining
	// NoRequestInterrupted: a planned stop interrupts no request in progress.
	NoRequestInterrupted
	// ConfigNeverReverts: an accepted configuration becomes active everywhere and never
	// reverts.
	ConfigNeverReverts
)

// GuaranteeTexts describes the guarantees.
var GuaranteeTexts = map[Guarantee]string{
	LoadBound:            "no engine carries more than the set multiple of its pool's mean load",
	OwnResponse:          "a caller gets the complete response to its own request, or a typed error",
	NotExecuted:          "a request refused as not executed was not executed",
	AtMostOnce:           "a non-idempotent request is executed at most once",
	NoWorkWhenDraining:   "a draining upstream gets no new work after a few seconds",
	NoRequestInterrupted: "a planned stop interrupts no request in progress",
	ConfigNeverReverts:   "an accepted configuration becomes active everywhere and never reverts",
}

// Status is the state of a cell.
type Status int

// Statuses of a cell.
const (
	// Open: the cell needs a test and has none.
	Open Status = iota
	// NotApplicable: the fault can't occur at the step.
	NotApplicable
	// Passed: a test injected the fault at the step and the guarantees held.
	Passed
	// Failed: a test ran and a guarantee did not hold.
	Failed
)

// Cell is one fault at one step.
type Cell struct {
	Fault  Fault
	Step   Step
	Status Status
	// Promises are the guarantees that the test asserts.
	Promises []Guarantee
	// Note is the reason for which the cell does not apply, what is not tested in an open
	// cell, or a description of the test of a passed cell.
	Note string
}

// Key identifies a cell.
type Key struct {
	Fault Fault
	Step  Step
}

// Matrix maps keys to cells.
type Matrix map[Key]Cell

// Counts returns the number of cells of each status.
func (m Matrix) Counts() map[Status]int {
	out := make(map[Status]int)
	for _, c := range m {
		out[c.Status]++
	}
	return out
}
