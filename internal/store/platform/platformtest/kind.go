package platformtest

import (
	"errors"

	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/stretchr/testify/require"
)

// Kind is what an error of the platform's interfaces proves.
type Kind string

// The kinds; each error is of one.
const (
	KindOK          Kind = "ok"
	KindConflict    Kind = "conflict"
	KindNotFound    Kind = "not found"
	KindUnavailable Kind = "unavailable"
	KindUnknown     Kind = "unknown"
	KindBudget      Kind = "budget"
	KindInvalid     Kind = "invalid"
)

// KindOf sorts an error, and fails where it belongs to two classes at once.
func KindOf(t require.TestingT, err error) Kind {
	var c *platform.ConflictError
	found := []Kind{}
	for k, is := range map[Kind]bool{
		KindOK:          err == nil,
		KindConflict:    errors.As(err, &c),
		KindNotFound:    platform.ErrNotFound.Has(err),
		KindUnavailable: platform.ErrUnavailable.Has(err),
		KindUnknown:     platform.ErrOutcomeUnknown.Has(err),
		KindBudget:      platform.ErrBudget.Has(err),
		KindInvalid:     platform.ErrInvalid.Has(err),
	} {
		if is {
			found = append(found, k)
		}
	}
	require.Len(t, found, 1, "%v", err)
	return found[0]
}
