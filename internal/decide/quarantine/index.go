package quarantine

import "slices"

// quarantineIndex finds suspects in quarantine.
type quarantineIndex struct {
	rows []*row
	// byEngine holds the suspects under which each engine ended, parts first.
	byEngine map[EngineStart][]*row
	// offences counts the suspects of each account, without the requests whose ends parts explain.
	offences map[offender]int
}

// offender is an account whose requests, or parts of their prompts, are in quarantine.
type offender struct {
	account string
	parts   bool
}

// index returns the index of the suspects in quarantine.
func (t *Table) index() *quarantineIndex {
	if t.quarantined != nil {
		return t.quarantined
	}
	x := &quarantineIndex{byEngine: make(map[EngineStart][]*row), offences: make(map[offender]int)}
	for _, r := range t.entries {
		if r.Quarantined {
			x.rows = append(x.rows, r)
		}
	}
	slices.SortFunc(x.rows, func(a, b *row) int {
		if a.Key().IsPart() != b.Key().IsPart() {
			return compareBools(b.Key().IsPart(), a.Key().IsPart())
		}
		return a.Key().Compare(b.Key())
	})
	for _, r := range x.rows {
		for _, end := range r.Ends {
			x.byEngine[end.Start()] = append(x.byEngine[end.Start()], r)
		}
	}
	for _, r := range x.rows {
		if !x.explainedByPart(&r.Entry) {
			x.offences[offender{r.Account, r.Key().IsPart()}]++
		}
	}
	t.quarantined = x
	return x
}

func (x *quarantineIndex) contains(r *row) bool { return x != nil && slices.Contains(x.rows, r) }

// explanation returns the suspect in quarantine, other than the given one, under which an engine ended,
// or nil. Parts come first.
func (x *quarantineIndex) explanation(engine EngineStart, except *Entry) *Entry {
	for _, r := range x.byEngine[engine] {
		if r.Key() != except.Key() {
			return &r.Entry
		}
	}
	return nil
}

// explainedByPart reports whether parts in quarantine explain all ends under a request.
func (x *quarantineIndex) explainedByPart(e *Entry) bool {
	if e.Key().IsPart() || len(e.Ends) == 0 {
		return false
	}
	return !slices.ContainsFunc(e.Ends, func(end End) bool {
		by := x.explanation(end.Start(), e)
		return by == nil || !by.Key().IsPart()
	})
}
