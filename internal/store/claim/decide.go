package claim

// decision is the action for a new request, given an existing row of its key.
type decision int

const (
	// decisionOwn: this call wrote the row, in this attempt or an earlier one.
	decisionOwn decision = iota
	// decisionReclaim: the new claim may replace the row.
	decisionReclaim
	decisionExecuted
	decisionInProgress
	decisionUnknown
	decisionKeyReused
)

// decide returns the decision for the claim own, given the existing row. released
// reports that this router wrote the row and has since released it, because the
// request was not executed and never will be.
func decide(existing, own record, deduplicates, released bool) decision {
	if existing.Token == own.Token {
		return decisionOwn
	}
	if existing.State == StateRefused || released && existing.State == StateClaimed {
		return decisionReclaim
	}
	if existing.BodyHash != own.BodyHash {
		return decisionKeyReused
	}
	if existing.State == StateDone {
		return decisionExecuted
	}
	if deduplicates {
		return decisionReclaim
	}
	if existing.State == StateUnknown {
		return decisionUnknown
	}
	return decisionInProgress
}

// canTransition reports whether the holder of a claim may change its state. A
// response may still arrive after the outcome was recorded as unknown; done and
// refused are final for the holder.
func canTransition(from, to State) bool {
	switch from {
	case StateClaimed:
		return to != StateClaimed
	case StateUnknown:
		return to == StateDone
	default:
		return false
	}
}
