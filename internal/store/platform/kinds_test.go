package platform_test

import (
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/internal/store/platform/platformtest"
)

// kind is the class of an error.
type kind = platformtest.Kind

const (
	ok          = platformtest.KindOK
	conflict    = platformtest.KindConflict
	notFound    = platformtest.KindNotFound
	unavailable = platformtest.KindUnavailable
	unknown     = platformtest.KindUnknown
	budget      = platformtest.KindBudget
	invalid     = platformtest.KindInvalid
)

var kindOf = platformtest.KindOf

var someWrite = platform.Write{Table: "t", Key: "k"}
