package catalog

import (
	"cmp"
	"strconv"
)

// Era identifies one history of the store. A store that returns from an older copy has lost its
// latest writes and assigns their versions again, so that versions compare only within an era.
type Era struct {
	// Stated is the era that the store states in its responses, plus one; zero if it states none.
	Stated uint64
	// Returns counts the returns that routers have found of a store that states no era.
	Returns uint64
}

// StatedEra returns the era that a response states as n.
func StatedEra(n uint64) Era { return Era{Stated: n + 1} }

// Compare returns -1 if e is earlier than o, 1 if it is later, and 0 if both are the same era.
func (e Era) Compare(o Era) int {
	return cmp.Or(cmp.Compare(e.Stated, o.Stated), cmp.Compare(e.Returns, o.Returns))
}

// After reports whether e is later than o.
func (e Era) After(o Era) bool { return e.Compare(o) > 0 }

// returnsFrom reports whether the store has returned from an older copy between the eras. A store
// that begins to state eras has not.
func (e Era) returnsFrom(last Era) bool {
	return e.After(last) && (e.Stated == 0 || last.Stated > 0)
}

// String returns the era as logged.
func (e Era) String() string {
	if e.Stated > 0 {
		return strconv.FormatUint(e.Stated-1, 10)
	}
	return "unstated, " + strconv.FormatUint(e.Returns, 10) + " returns"
}
