package faults

import (
	"slices"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
)

// exclusion is the reason for which some cells have no test.
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

// notApplicable lists the reasons for which cells do not apply. The first match counts, for cells
// without a test.
var notApplicable = []exclusion{
	{faultList(faultkit.OperatorRace), slices.Concat(requestSteps, membershipSteps, stepList(faultkit.Propagate)),
		"Operators' changes conflict at the commit only; later steps see one chain"},
	{faultList(faultkit.Kill, faultkit.Freeze, faultkit.CutOneWay, faultkit.Silent, faultkit.ReplyLost, faultkit.ReplyLate, faultkit.Duplicate, faultkit.Reorder), stepList(faultkit.Queue),
		"The queue is inside one process; for the loss of the process or of the caller's connection see admit"},
	{faultList(faultkit.ReplyLost, faultkit.ReplyLate), stepList(faultkit.Admit, faultkit.Send),
		"No reply is due yet; see first byte and answer"},
	{faultList(faultkit.ReplyLost), stepList(faultkit.MidStream),
		"The reply is the stream itself; see cut and silent connection"},
	{faultList(faultkit.StoreDown, faultkit.StoreSlow), stepList(faultkit.Locate, faultkit.Permit, faultkit.Admit, faultkit.Send, faultkit.FirstByte, faultkit.MidStream, faultkit.End, faultkit.Answer, faultkit.Propagate, faultkit.Join, faultkit.Leave, faultkit.TakeOver),
		"The step makes no call of the store"},
	{faultList(faultkit.StaleVMList), slices.Concat(configSteps, stepList(faultkit.Claim, faultkit.Record, faultkit.Answer, faultkit.End, faultkit.Permit)),
		"The step does not read the VM list"},
	{faultList(faultkit.ViewsDiffer), slices.Concat(configSteps, stepList(faultkit.Record, faultkit.Answer, faultkit.End, faultkit.FirstByte, faultkit.Send)),
		"The step calls the store or one upstream, and does not depend on the view of the fleet"},
	{faultList(faultkit.Flap), slices.Concat(configSteps, stepList(faultkit.Claim, faultkit.Record, faultkit.Answer, faultkit.Locate)),
		"The step does not involve engines; for a router that restarts see kill"},
	{faultList(faultkit.Surge), stepList(faultkit.Send, faultkit.FirstByte, faultkit.MidStream, faultkit.End, faultkit.Record, faultkit.Answer, faultkit.ConfigRead, faultkit.Check, faultkit.Propagate, faultkit.Apply),
		"Admission and the budgets of the store bound the requests that reach the step; see admit, queue, claim and commit"},
	{faultList(faultkit.AddressReused), slices.Concat(configSteps, stepList(faultkit.Admit, faultkit.Queue, faultkit.Claim, faultkit.Record, faultkit.Answer)),
		"The step reaches no upstream and no other router by address"},
	{faultList(faultkit.Duplicate), stepList(faultkit.Locate, faultkit.ConfigRead, faultkit.Check, faultkit.Apply),
		"The step only reads; reading twice changes nothing"},
	{faultList(faultkit.Duplicate, faultkit.Reorder), stepList(faultkit.Admit, faultkit.Locate, faultkit.Send, faultkit.FirstByte, faultkit.End, faultkit.Answer, faultkit.ConfigRead, faultkit.Check, faultkit.Apply),
		"TCP delivers the bytes of a connection once and in order; for copies on another connection see duplicate at admit and claim"},
	{faultList(faultkit.ReplyLost), stepList(faultkit.ConfigRead, faultkit.Check, faultkit.Apply),
		"The step only reads and has no effect; for a reply that does not arrive see cut one way"},
	{faultList(faultkit.ReplyLost, faultkit.Silent, faultkit.CutOneWay), stepList(faultkit.Propagate),
		"Announcements are datagrams without a reply or a connection; for their loss see cut both ways"},
	{faultList(faultkit.Silent), stepList(faultkit.Join, faultkit.TakeOver, faultkit.Leave),
		"Membership uses datagrams and has no connections"},
}

// openCells lists the gaps of open cells.
var openCells = []exclusion{
	{faultList(faultkit.AddressReused), stepList(faultkit.Locate),
		"No test of a locate reply with an address that is used by another router"},
	{faultList(faultkit.StaleVMList, faultkit.AddressReused, faultkit.ViewsDiffer, faultkit.Flap), stepList(faultkit.Admit, faultkit.Queue),
		"No test with several routers in one process that request permits from each other"},
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
