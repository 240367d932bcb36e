// Package api defines the paths, headers and JSON bodies of the administration
// API. It is shared by server, client and command line. docs/API.md describes
// the endpoints.
package api

import (
	"time"
	"unicode/utf8"

	"damaskrouter.example/damaskrouter/internal/operate/access"
	"damaskrouter.example/damaskrouter/internal/store/claim"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/zeebo/errs"
)

// ErrNotUTF8 means that a file of a bundle is not valid UTF-8.
var ErrNotUTF8 = errs.Class("admin: not UTF-8")

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
	// PathOperators lists and adds operators. With "/" and a name appended it
	// revokes an operator's token.
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

// HeaderChangeID carries the id of a configuration change. The client chooses it
// and keeps it for all retries: a change is accepted only once for each id.
const HeaderChangeID = "Change-Id"

// Page sizes, in items.
const (
	DefaultLimit = 50
	MaxLimit     = 200
)

// Page is a page of a list. Next is the cursor of the next page; it is empty on
// the last page.
type Page[T any] struct {
	Items []T    `json:"items"`
	Next  string `json:"next_cursor,omitempty"`
}

// Files holds the text of the files of a bundle. The keys of Overlays are sites.
type Files struct {
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays"`
}

// NewFiles returns the text of a bundle. Errors: ErrNotUTF8.
//
// JSON encoding silently replaces bytes that are not UTF-8, so the receiver would
// get another configuration than the one that was checked.
func NewFiles(b config.Bundle) (Files, error) {
	f := Files{Base: string(b.Base), Overlays: make(map[string]string, len(b.Overlays))}
	for name, data := range b.Files() {
		if !utf8.Valid(data) {
			return Files{}, ErrNotUTF8.New("%s", name)
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

// VersionFiles is a version with the text of its files.
type VersionFiles struct {
	config.Version
	Files Files `json:"files"`
}

// CheckRequest requests the problems of a bundle.
type CheckRequest struct {
	Files Files `json:"files"`
}

// CheckReply lists the problems of a bundle. The bundle would be accepted if
// all lists are empty.
type CheckReply struct {
	// Version is the active version that the bundle was compared with.
	Version uint64 `json:"version"`
	// Problems are the problems of the bundle itself.
	Problems []config.Problem `json:"problems"`
	// ChangeProblems are the problems of the change from the active version.
	ChangeProblems []config.Problem `json:"change_problems"`
	// Forbidden are the changed paths that the operator may not change.
	Forbidden []string `json:"forbidden"`
}

// DiffRequest requests the differences between two versions, or between a
// version and files. Version 0 means the active version.
type DiffRequest struct {
	From  uint64 `json:"from"`
	To    uint64 `json:"to"`
	Files *Files `json:"files,omitempty"`
}

// DiffReply lists differences.
type DiffReply struct {
	// From and To are the compared versions; To is 0 if files were compared.
	From  uint64              `json:"from"`
	To    uint64              `json:"to"`
	Lines []config.Difference `json:"lines"`
}

// ApplyRequest requests that a bundle be accepted as the next version.
type ApplyRequest struct {
	Files   Files  `json:"files"`
	Comment string `json:"comment"`
	// Withdraw skips the check that no site stops serving a model or service.
	Withdraw bool `json:"withdraw,omitempty"`
}

// RollbackRequest requests that the content of an earlier version be accepted
// as the next version.
type RollbackRequest struct {
	To       uint64 `json:"to"`
	Comment  string `json:"comment"`
	Withdraw bool   `json:"withdraw,omitempty"`
}

// Status lists the active configuration version of each router, as known to the
// router that handled the request.
type Status struct {
	// SeenBy is the router that handled the request.
	SeenBy string `json:"seen_by"`
	// Version is the requested version; the newest known version by default.
	Version uint64 `json:"version"`
	// HeadKnown is false if the head could not be read from the store; Version
	// is then the highest active version of any router.
	HeadKnown bool           `json:"head_known"`
	Routers   []RouterStatus `json:"routers"`
	// Lagging lists the live routers with an older version.
	Lagging []string `json:"lagging"`
	// Complete is true if no router is lagging.
	Complete bool `json:"complete"`
}

// RouterState is the state of a router in the fleet.
type RouterState string

// The router states. Dead routers are not listed.
const (
	RouterLive    RouterState = "live"
	RouterLeaving RouterState = "leaving"
)

// RouterStatus is the status of a router.
type RouterStatus struct {
	Name    string      `json:"name"`
	Site    string      `json:"site"`
	State   RouterState `json:"state"`
	Address string      `json:"address"`
	// ConfigVersion is the active configuration version that the router last
	// reported.
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

// Fleet is the view of the fleet of the router that handled the request.
type Fleet struct {
	SeenBy        string         `json:"seen_by"`
	ConfigVersion uint64         `json:"config_version"`
	Draining      bool           `json:"draining"`
	Routers       []RouterStatus `json:"routers"`
	Engines       []Engine       `json:"engines"`
}

// Engine is an engine, or a VM of a plain service.
type Engine struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"`
	Pool    string `json:"pool"`
	Site    string `json:"site"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
	// Owner is the router that counts the engine's admitted requests and that
	// receives the engine's reports.
	Owner string `json:"owner,omitempty"`
	// Known is true if the router that handled the request is the owner and has
	// received a report. Incarnation, Model and Version are empty otherwise.
	Known       bool   `json:"known"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	Model       string `json:"model,omitempty"`
	Version     string `json:"version,omitempty"`
	// Heard is true if the router that handled the request has received a load
	// report of the engine. Admitted is then the number of unfinished requests.
	Heard    bool `json:"heard"`
	Admitted int  `json:"admitted"`
}

// ResolveRequest sets the outcome of a claim to an operator's verdict.
type ResolveRequest struct {
	Account string        `json:"account"`
	Key     string        `json:"key"`
	Verdict claim.Verdict `json:"verdict"`
	// Seen is the version of the claim that the operator has seen.
	Seen int64 `json:"seen"`
}

// AddOperatorRequest requests a new operator token.
type AddOperatorRequest struct {
	Name  string      `json:"name"`
	Role  access.Role `json:"role"`
	Teams []string    `json:"teams,omitempty"`
	// ExpiresIn is the lifetime of the token, in seconds; 0 means no expiry.
	ExpiresIn int64 `json:"expires_in_seconds,omitempty"`
}

// AddOperatorReply contains the token, which cannot be retrieved again.
type AddOperatorReply struct {
	Operator Operator `json:"operator"`
	Token    string   `json:"token"`
}

// Operator is an operator without the token hash.
type Operator struct {
	Name      string      `json:"name"`
	Role      access.Role `json:"role"`
	Teams     []string    `json:"teams,omitempty"`
	Created   time.Time   `json:"created"`
	CreatedBy string      `json:"created_by"`
	Expires   time.Time   `json:"expires,omitzero"`
	// Revoked is when the token was revoked; zero if it was not.
	Revoked   time.Time `json:"revoked,omitzero"`
	RevokedBy string    `json:"revoked_by,omitempty"`
}
