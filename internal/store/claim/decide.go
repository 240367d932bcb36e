package claim

// verdict is what a row that already exists means for a new request.
type verdict int

const (
	// verdictOurs: the row is our own; an earlier attempt took effect.
	verdictOurs verdict = iota
	// verdictReclaim: the row may be replaced by our claim.
	verdictReclaim
	verdictAnswered
	verdictInProgress
	verdictUnknown
	verdictKeyReused
)

// judge decides on the row in the way of claim mine. abandoned says that this
// router wrote the row and gave it up before it sent anything.
func judge(cur, mine record, deduplicates, abandoned bool) verdict {
	if cur.Token == mine.Token {
		return verdictOurs
	}
	if cur.State == StateRefused || abandoned && cur.State == StateClaimed {
		return verdictReclaim
	}
	if cur.BodyHash != mine.BodyHash {
		return verdictKeyReused
	}
	if cur.State == StateDone {
		return verdictAnswered
	}
	if deduplicates {
		return verdictReclaim
	}
	if cur.State == StateUnknown {
		return verdictUnknown
	}
	return verdictInProgress
}

// mayMove says whether the holder of a claim may change its state. An answer
// may still come after the outcome was given up as unknown; done and refused
// are final for the holder.
func mayMove(from, to State) bool {
	switch from {
	case StateClaimed:
		return to != StateClaimed
	case StateUnknown:
		return to == StateDone
	default:
		return false
	}
}
