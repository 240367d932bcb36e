package platform_test

import (
	"errors"

	"github.com/stretchr/testify/require"

	"damaskrouter.example/damaskrouter/internal/platform"
)

type kind string

const (
	ok          kind = "ok"
	conflict    kind = "conflict"
	notFound    kind = "not found"
	unavailable kind = "unavailable"
	unknown     kind = "unknown"
	budget      kind = "budget"
	invalid     kind = "invalid"
)

// kindOf sorts an error, and fails where it belongs to two classes at once.
func kindOf(t require.TestingT, err error) kind {
	var c *platform.ConflictError
	found := []kind{}
	for k, is := range map[kind]bool{
		ok:          err == nil,
		conflict:    errors.As(err, &c),
		notFound:    platform.ErrNotFound.Has(err),
		unavailable: platform.ErrUnavailable.Has(err),
		unknown:     platform.ErrOutcomeUnknown.Has(err),
		budget:      platform.ErrBudget.Has(err),
		invalid:     platform.ErrInvalid.Has(err),
	} {
		if is {
			found = append(found, k)
		}
	}
	require.Len(t, found, 1, "%v", err)
	return found[0]
}

var someWrite = platform.Write{Table: "t", Key: "k"}
