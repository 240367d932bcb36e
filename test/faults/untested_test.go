package faults

import (
	"slices"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
)

// exclusion is a reason why cells have no test.
type exclusion struct {
	faults []faultkit.Fault
	steps  []faultkit.Step
	reason string
}

func faultList(f ...faultkit.Fault) []faultkit.Fault { return f }
func stepList(s ...faultkit.Step) []faultkit.Step    { return s }

var (
	requestSteps    = faultkit.StepGroups[0].Steps
	configSteps     = faultkit.StepGroups[1].Steps
	membershipSteps = faultkit.StepGroups[2].Steps
)

// notApplicable lists why cells do not apply. The first match counts, for cells without
// a test.
var notApplicable = []exclusion{
	{faultList(faultkit.OperatorRace), slices.Concat(requestSteps, membershipSteps, stepList(faultkit.Propagate)),
		"Operators' changes meet at the commit only; what comes after sees one chain"},
	{faultList(faultkit.Kill, faultkit.Freeze, faultkit.CutOneWay, faultkit.Silent, faultkit.ReplyLost, faultkit.ReplyLate, faultkit.Duplicate, faultkit.Reorder), stepList(faultkit.Queue),
		"The queue is inside one process; the loss of the process or of the caller's connection is the cell at admit"},
	{faultList(faultkit.ReplyLost, faultkit.ReplyLate), stepList(faultkit.Admit, faultkit.Send),
		"No reply is due yet; see first byte and answer"},
	{faultList(faultkit.ReplyLost), stepList(faultkit.MidStream),
		"The reply is the stream itself; see the cut and the silent connection"},
	{faultList(faultkit.StoreDown, faultkit.StoreSlow), stepList(faultkit.Locate, faultkit.Permit, faultkit.Admit, faultkit.Send, faultkit.FirstByte, faultkit.MidStream, faultkit.End, faultkit.Answer, faultkit.Propagate, faultkit.Join, faultkit.Leave, faultkit.TakeOver),
		"The step makes no call of the store"},
	{faultList(faultkit.StaleVMList), slices.Concat(configSteps, stepList(faultkit.Claim, faultkit.Record, faultkit.Answer, faultkit.End, faultkit.Permit)),
		"The step does not read the VM list"},
	{faultList(faultkit.ViewsDiffer), slices.Concat(configSteps, stepList(faultkit.Record, faultkit.Answer, faultkit.End, faultkit.FirstByte, faultkit.Send)),
		"The step asks the store or one upstream, and does not depend on the view of the fleet"},
	{faultList(faultkit.Flap), slices.Concat(configSteps, stepList(faultkit.Claim, faultkit.Record, faultkit.Answer, faultkit.Locate)),
		"Engines have no part in the step; a router that restarts is the kill"},
	{faultList(faultkit.Surge), stepList(faultkit.Send, faultkit.FirstByte, faultkit.MidStream, faultkit.End, faultkit.Record, faultkit.Answer, faultkit.ConfigRead, faultkit.Check, faultkit.Propagate, faultkit.Apply),
		"Admission and the budgets of the store bound what gets this far; see admit, queue, claim and commit"},
	{faultList(faultkit.AddressReused), slices.Concat(configSteps, stepList(faultkit.Admit, faultkit.Queue, faultkit.Claim, faultkit.Record, faultkit.Answer)),
		"The step reaches no upstream and no other router by address"},
	{faultList(faultkit.Duplicate), stepList(faultkit.Locate, faultkit.ConfigRead, faultkit.Check, faultkit.Apply),
		"The step only reads; reading twice changes nothing"},
	{faultList(faultkit.Duplicate, faultkit.Reorder), stepList(faultkit.Admit, faultkit.Locate, faultkit.Send, faultkit.FirstByte, faultkit.End, faultkit.Answer, faultkit.ConfigRead, faultkit.Check, faultkit.Apply),
		"TCP delivers the bytes of a connection once and in their order; copies on another connection are the duplicates at admit and claim"},
	{faultList(faultkit.ReplyLost), stepList(faultkit.ConfigRead, faultkit.Check, faultkit.Apply),
		"The step only reads and has no effect; a reply that does not come is the cut one way"},
	{faultList(faultkit.ReplyLost, faultkit.Silent, faultkit.CutOneWay), stepList(faultkit.Propagate),
		"Announcements are datagrams without a reply or a connection; losing them is the cut"},
	{faultList(faultkit.Silent), stepList(faultkit.Join, faultkit.TakeOver, faultkit.Leave),
		"Membership uses datagrams and has no connections"},
}

// openCells lists what open cells lack.
var openCells = []exclusion{
	{faultList(faultkit.AddressReused), stepList(faultkit.Locate),
		"No test of a locate answer with an address that another router has"},
	{faultList(faultkit.StaleVMList, faultkit.AddressReused, faultkit.ViewsDiffer, faultkit.Flap), stepList(faultkit.Admit, faultkit.Queue),
		"No test with several routers that ask each other's owners in one process"},
}

// untestedStatus returns the status of a cell without a test, not applicable or open,
// with the reason.
func untestedStatus(key faultkit.Key) (faultkit.Status, string) {
	for _, r := range notApplicable {
		if slices.Contains(r.faults, key.Fault) && slices.Contains(r.steps, key.Step) {
			return faultkit.NotApplicable, r.reason
		}
	}
	for _, r := range openCells {
		if slices.Contains(r.faults, key.Fault) && slices.Contains(r.steps, key.Step) {
			return faultkit.Open, r.reason
		}
	}
	return faultkit.Open, "No test yet"
}
