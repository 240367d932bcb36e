package platformtest

import (
	"errors"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/stretchr/testify/require"
)

// Kind is the class of an error of the platform's interfaces, or of no error.
type Kind string

// The kinds of error. Each error has exactly one kind.
const (
	KindOK          Kind = "ok"
	KindConflict    Kind = "conflict"
	KindNotFound    Kind = "not found"
	KindUnavailable Kind = "unavailable"
	KindUnknown     Kind = "unknown"
	KindBudget      Kind = "budget"
	KindInvalid     Kind = "invalid"
)

// KindOf returns the kind of err. It fails the test if err belongs to no class
// or to more than one.
func KindOf(t require.TestingT, err error) Kind {
	var conflict *platform.ConflictError
	found := []Kind{}
	for kind, matches := range map[Kind]bool{
		KindOK:          err == nil,
		KindConflict:    errors.As(err, &conflict),
		KindNotFound:    platform.ErrNotFound.Has(err),
		KindUnavailable: platform.ErrUnavailable.Has(err),
		KindUnknown:     platform.ErrOutcomeUnknown.Has(err),
		KindBudget:      platform.ErrBudget.Has(err),
		KindInvalid:     platform.ErrInvalid.Has(err),
	} {
		if matches {
			found = append(found, kind)
		}
	}
	require.Len(t, found, 1, "%v", err)
	return found[0]
}
