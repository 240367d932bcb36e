package faults

import (
	"slices"

	"damaskrouter.example/damaskrouter/internal/lab/faultkit"
)

// reason says why cells do not apply.
type reason struct {
	faults []faultkit.Fault
	steps  []faultkit.Step
	why    string
}

func faultList(f ...faultkit.Fault) []faultkit.Fault { return f }
func stepList(s ...faultkit.Step) []faultkit.Step    { return s }

var (
	requestSteps = faultkit.Groups[0].Steps
	configSteps  = faultkit.Groups[1].Steps
	memberSteps  = faultkit.Groups[2].Steps
)

// reasons are looked through in their order, for cells without a proof.
var reasons = []reason{
	{faultList(faultkit.Race), slices.Concat(requestSteps, memberSteps, stepList(faultkit.Propagate)),
		"Operators' changes meet at the commit only; what comes after sees one chain"},
	{faultList(faultkit.Kill, faultkit.Freeze, faultkit.CutOneWay, faultkit.Silent, faultkit.ReplyLost, faultkit.ReplyLate, faultkit.Duplicate, faultkit.Reorder), stepList(faultkit.Queue),
		"The queue is inside one process; the loss of the process or of the caller's connection is the cell at admit"},
	{faultList(faultkit.ReplyLost, faultkit.ReplyLate), stepList(faultkit.Admit, faultkit.Send),
		"No reply is due yet; see first byte and answer"},
	{faultList(faultkit.ReplyLost), stepList(faultkit.MidStream),
		"The reply is the stream itself; see the cut and the silent connection"},
	{faultList(faultkit.StoreDown, faultkit.StoreSlow), stepList(faultkit.Locate, faultkit.Permit, faultkit.Admit, faultkit.Send, faultkit.FirstByte, faultkit.MidStream, faultkit.End, faultkit.Answer, faultkit.Propagate, faultkit.Join, faultkit.Leave, faultkit.TakeOver),
		"The step makes no call of the store"},
	{faultList(faultkit.VMsStale), slices.Concat(configSteps, stepList(faultkit.Claim, faultkit.Record, faultkit.Answer, faultkit.End, faultkit.Permit)),
		"The step does not read the VM list"},
	{faultList(faultkit.ViewsDiff), slices.Concat(configSteps, stepList(faultkit.Record, faultkit.Answer, faultkit.End, faultkit.FirstByte, faultkit.Send)),
		"The step asks the store or one upstream, and does not depend on the view of the fleet"},
	{faultList(faultkit.Flap), slices.Concat(configSteps, stepList(faultkit.Claim, faultkit.Record, faultkit.Answer, faultkit.Locate)),
		"Engines have no part in the step; a router that restarts is the kill"},
	{faultList(faultkit.Surge), stepList(faultkit.Send, faultkit.FirstByte, faultkit.MidStream, faultkit.End, faultkit.Record, faultkit.Answer, faultkit.ConfigRead, faultkit.Check, faultkit.Propagate, faultkit.Apply),
		"Admission and the budgets of the store bound what gets this far; see admit, queue, claim and commit"},
	{faultList(faultkit.IPReused), slices.Concat(configSteps, stepList(faultkit.Admit, faultkit.Queue, faultkit.Claim, faultkit.Record, faultkit.Answer)),
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

// missing says what open cells lack.
var missing = []reason{
	{faultList(faultkit.IPReused), stepList(faultkit.Locate),
		"No test of a locate answer with an address that another router has"},
	{faultList(faultkit.VMsStale, faultkit.IPReused, faultkit.ViewsDiff, faultkit.Flap), stepList(faultkit.Admit, faultkit.Queue),
		"No test with several routers that ask each other's owners in one process"},
}

// unproved says why a cell has no proof: it does not apply, or it is open.
func unproved(key faultkit.Key) (faultkit.Status, string) {
	for _, r := range reasons {
		if slices.Contains(r.faults, key.Fault) && slices.Contains(r.steps, key.Step) {
			return faultkit.NotApplicable, r.why
		}
	}
	for _, r := range missing {
		if slices.Contains(r.faults, key.Fault) && slices.Contains(r.steps, key.Step) {
			return faultkit.Open, r.why
		}
	}
	return faultkit.Open, "No test yet"
}
