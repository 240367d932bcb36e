// Package api names the paths, headers and JSON bodies of the administration
// API, so that server, client and command line agree. docs/API.md describes
// the calls.
package api

import (
	"time"
	"unicode/utf8"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/zeebo/errs"
)

// ErrText means that a file of a bundle is not UTF-8.
var ErrText = errs.Class("admin: not UTF-8")

// Paths of the administration API.
const (
	Prefix       = "/admin/v1"
	PathConfig   = Prefix + "/config"
	PathCheck    = PathConfig + "/check"
	PathDiff     = PathConfig + "/diff"
	PathRollback = PathConfig + "/rollback"
	PathStatus   = PathConfig + "/status"
	PathHistory  = PathConfig + "/history"
	PathAccounts = Prefix + "/accounts"
	PathSites    = Prefix + "/sites"
	PathServices = Prefix + "/services"
	PathPools    = Prefix + "/pools"
	PathFleet    = Prefix + "/fleet"
	PathClaims   = Prefix + "/claims"
	PathResolve  = PathClaims + "/resolve"
	PathAudit    = Prefix + "/audit"
	// PathOperators is followed by a name to revoke an operator's token.
	PathOperators = Prefix + "/operators"
)

// Query parameters.
const (
	ParamLimit   = "limit"
	ParamCursor  = "cursor"
	ParamTeam    = "team"
	ParamSite    = "site"
	ParamAccount = "account"
	ParamKey     = "key"
	ParamVersion = "version"
)

// HeaderChangeID carries the id of a change of the configuration. Its author
// chooses it once and keeps it for every repetition: the same id is accepted
// once.
const HeaderChangeID = "Change-Id"

// Sizes of pages.
const (
	DefaultLimit = 50
	MaxLimit     = 200
)

// Page is a part of a list. Next asks for the following part; it is empty at
// the end.
type Page[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next_cursor,omitempty"`
}

// Files is the text of a bundle.
type Files struct {
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
}

// NewFiles returns the text of a bundle. Errors: ErrText.
//
// JSON replaces bytes that are not UTF-8 without saying so. What arrived would
// be another configuration than the one that its author had checked.
func NewFiles(b config.Bundle) (Files, error) {
	f := Files{Base: string(b.Base), Overlays: make(map[string]string, len(b.Overlays))}
	for name, data := range b.Files() {
		if !utf8.Valid(data) {
			return Files{}, ErrText.New("%s", name)
		}
	}
	for site, data := range b.Overlays {
		f.Overlays[site] = string(data)
	}
	return f, nil
}

// Bundle returns the files as a bundle.
func (f Files) Bundle() config.Bundle {
	b := config.Bundle{Base: []byte(f.Base), Overlays: make(map[string][]byte, len(f.Overlays))}
	for site, text := range f.Overlays {
		b.Overlays[site] = []byte(text)
	}
	return b
}

// VersionFiles is one version with its text.
type VersionFiles struct {
	config.Version
	Files Files `json:"files"`
}

// CheckRequest asks what is wrong with a bundle.
type CheckRequest struct {
	Files Files `json:"files"`
}

// CheckReply lists what is wrong with a bundle; no entries mean that it would
// be accepted.
type CheckReply struct {
	// Version is the version in force that the change was judged against.
	Version uint64 `json:"version"`
	// Problems are faults of the bundle by itself.
	Problems []config.Problem `json:"problems"`
	// ChangeProblems are faults of the step from the version in force.
	ChangeProblems []config.Problem `json:"change_problems"`
	// Forbidden are the changed paths that the operator may not change.
	Forbidden []string `json:"forbidden"`
}

// DiffRequest asks what changes between two versions, or from a version to
// files. A version of 0 stands for the one in force.
type DiffRequest struct {
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
	Files *Files `json:"files,omitempty"`
}

// DiffReply lists what changes.
type DiffReply struct {
	// From and To are the compared versions; To is 0 for files.
	From  uint64        `json:"from"`
	To    uint64        `json:"to"`
	Lines []config.Line `json:"lines"`
}

// ApplyRequest asks for a bundle to be accepted as the next version.
type ApplyRequest struct {
	Files   Files  `json:"files"`
	Comment string `json:"comment"`
	// Withdraw waives the check that sites go on serving what they serve.
	Withdraw bool `json:"withdraw,omitempty"`
}

// RollbackRequest asks for the content of an earlier version to be accepted
// as the next one.
type RollbackRequest struct {
	To       uint64 `json:"to"`
	Comment  string `json:"comment"`
	Withdraw bool   `json:"withdraw,omitempty"`
}

// Status says which routers have a version in force, as the answering router
// knows.
type Status struct {
	// SeenBy is the router that answered.
	SeenBy string `json:"seen_by"`
	// Version is the version asked about; the newest known one by default.
	Version uint64 `json:"version"`
	// HeadKnown is false where the store could not be asked for the head;
	// Version is then the highest that a router has in force.
	HeadKnown bool           `json:"head_known"`
	Routers   []RouterStatus `json:"routers"`
	// Lagging names the routers that are in service and have an older version.
	Lagging []string `json:"lagging"`
	// Complete is set when no router lags.
	Complete bool `json:"complete"`
}

// RouterState is the state of a router in the fleet.
type RouterState string

// The states. Routers that are known to be dead are not listed.
const (
	RouterLive    RouterState = "live"
	RouterLeaving RouterState = "leaving"
)

// RouterStatus is one router.
type RouterStatus struct {
	Name    string      `json:"name"`
	Site    string      `json:"site"`
	State   RouterState `json:"state"`
	Address string      `json:"address"`
	// ConfigVersion is the version that the router last said it has in force.
	ConfigVersion uint64 `json:"config_version"`
}

// Account is a client account without its key hashes.
type Account struct {
	Name              string   `json:"name"`
	Team              string   `json:"team"`
	Keys              int      `json:"keys"`
	Weight            float64  `json:"weight"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	Burst             int      `json:"burst"`
	Concurrency       int      `json:"concurrency"`
	MaxPriority       string   `json:"max_priority"`
	Services          []string `json:"services"`
	Models            []string `json:"models"`
}

// Fleet is the answering router's view of the fleet.
type Fleet struct {
	SeenBy        string         `json:"seen_by"`
	ConfigVersion uint64         `json:"config_version"`
	Draining      bool           `json:"draining"`
	Routers       []RouterStatus `json:"routers"`
	Engines       []Engine       `json:"engines"`
}

// Engine is one engine, or one VM of a plain service.
type Engine struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Site    string `json:"site"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Owner is the router that keeps the engine's count of admitted work, and
	// that the engine reports to.
	Owner string `json:"owner,omitempty"`
	// Known is set where the answering router is the owner and has had a
	// report; Incarnation, Model and Version are empty elsewhere.
	Known       bool   `json:"known"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Model       string `json:"model,omitempty"`
	Version     string `json:"version,omitempty"`
	// Heard is set where the answering router has heard of the engine's load;
	// Admitted is then the number of its unfinished requests.
	Heard    bool `json:"heard"`
	Admitted int  `json:"admitted"`
}

// ResolveRequest gives an operator's verdict on a claim.
type ResolveRequest struct {
	Account string        `json:"account"`
	Key     string        `json:"key"`
	Verdict claim.Verdict `json:"verdict"`
	// Seen is the version of the claim that the verdict is about.
	Seen int64 `json:"seen"`
}

// AddOperatorRequest asks for a new operator token.
type AddOperatorRequest struct {
	Name  string      `json:"name"`
	Role  access.Role `json:"role"`
	Teams []string    `json:"teams,omitempty"`
	// ExpiresIn is how long the token lasts, in seconds; 0 means for good.
	ExpiresIn int64 `json:"expires_in_seconds,omitempty"`
}

// AddOperatorReply carries the token, which is shown this once.
type AddOperatorReply struct {
	Operator Operator `json:"operator"`
	Token    string   `json:"token"`
}

// Operator is an operator without the hash of the token.
type Operator struct {
	Name      string      `json:"name"`
	Role      access.Role `json:"role"`
	Teams     []string    `json:"teams,omitempty"`
	Created   time.Time   `json:"created"`
	CreatedBy string      `json:"created_by"`
	Expires   time.Time   `json:"expires,omitzero"`
	// Revoked is when the token was revoked; zero for one that was not.
	Revoked   time.Time `json:"revoked,omitzero"`
	RevokedBy string    `json:"revoked_by,omitempty"`
}
