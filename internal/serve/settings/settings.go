// Package settings is what one process is told when it starts: its name, its
// addresses, where the platform is, and its keys. What the whole fleet shares
// and operators change while it runs is elsewhere, in package config.
package settings

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// ErrRead means that a settings file, or a file that it names, cannot be read.
var ErrRead = errs.Class("settings: read")

// Settings are the settings of one process. Load returns them complete:
// defaults filled and everything checked.
type Settings struct {
	// Name identifies the process within the fleet. It has no default.
	Name string `yaml:"name" validate:"required,name"`
	// Site is the data centre that the process runs in. It has no default.
	Site string `yaml:"site" validate:"required,name"`
	// Region is the region of the site. It has no default.
	Region string `yaml:"region" validate:"required,name"`

	// Listen is the IP address and port on which callers are served. It has
	// no default.
	Listen string `yaml:"listen" validate:"required,hostport"`
	// Advertise is the IP address and port that callers are told to use. The
	// default is Listen, which must then name one address.
	Advertise string `yaml:"advertise" validate:"required,reachable"`
	// ControlListen is the IP address and port on which routers reach one
	// another: UDP for membership, and TCP for remote calls. It has no default.
	ControlListen string `yaml:"control_listen" validate:"required,hostport"`
	// ControlAdvertise is the control address that other routers are told.
	// The default is ControlListen, which must then name one address.
	ControlAdvertise string `yaml:"control_advertise" validate:"required,reachable"`
	// AdminListen is the IP address and port of the administration API. The
	// default is empty: the API is not served by this process.
	AdminListen string `yaml:"admin_listen" validate:"omitempty,hostport"`

	// Platform says where the platform's services are.
	Platform Platform `yaml:"platform"`
	// Seeds are control addresses of other routers, tried at the start beside
	// the platform's list of VMs. The default is none.
	Seeds []string `yaml:"seeds" validate:"unique,dive,reachable"`

	// FleetKeys authenticate the routers to one another. The first one signs,
	// both are accepted, so that a key can be replaced without a gap. At least
	// one is required unless AllowInsecure is set.
	FleetKeys []Key `yaml:"fleet_keys" validate:"max=2,unique=ID,dive"`
	// HintKeys sign prefix hints and resume tokens, in the same way.
	HintKeys []Key `yaml:"hint_keys" validate:"max=2,unique=ID,dive"`
	// TLS is what callers' connections are protected with. The certificate
	// and key are required unless AllowInsecure is set.
	TLS TLS `yaml:"tls"`
	// PeerTLS is this router's identity towards the others. It is required
	// unless AllowPlainPeers or AllowInsecure is set.
	PeerTLS PeerTLS `yaml:"peer_tls"`
	// AllowPlainPeers lets calls between routers go without TLS. Routers then
	// prove the fleet key when a connection opens, and nothing protects what
	// follows; see docs/KEYS.md. The default is false.
	AllowPlainPeers bool `yaml:"allow_plain_peers"`
	// AdminTokenHash is the SHA-256 sum, in hexadecimal, of the first
	// operator's token. The default is empty: only tokens that the
	// administration API has issued are accepted.
	AdminTokenHash string `yaml:"admin_token_hash" validate:"omitempty,len=64,hexadecimal,lowercase"`

	// LogLevel is the least severe level that is logged: debug, info, warn or
	// error. The default is info.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
	// Timeouts bound the waits of the process.
	Timeouts Timeouts `yaml:"timeouts"`
	// Budgets bound what the process asks of the platform's table service.
	Budgets Budgets `yaml:"budgets"`

	// ClaimRetention is how long the record of a finished non-idempotent
	// request is kept at least; a repetition with its key gets the stored
	// answer for that long, and may run again later. It is deleted
	// about an eighth later if the table service is up. Requests whose outcome is not known are kept until an operator settles them. It should
	// be the same on all routers. The default is 72h.
	ClaimRetention time.Duration `yaml:"claim_retention" validate:"gte=1h"`

	// AllowInsecure lets the process run without TLS and without keys, for
	// tests on one machine. The default is false.
	AllowInsecure bool `yaml:"allow_insecure"`

	source *strictyaml.Source
	file   string
}

// Platform says where the platform's services are.
type Platform struct {
	// Store is the address of the store, "host:port". It has no default.
	Store string `yaml:"store" validate:"required,reachable"`
}

// TLS names the PEM files for callers' connections.
type TLS struct {
	// Cert is the file with the certificate chain. It has no default.
	Cert string `yaml:"cert"`
	// Key is the file with the certificate's private key. It has no default.
	Key string `yaml:"key"`
	// CA is the file with the authorities that upstreams and the platform are
	// checked against. The default is the system's own.
	CA string `yaml:"ca"`
}

// PeerTLS names the PEM files for calls between routers: all three or none.
type PeerTLS struct {
	// Cert is the file with this router's certificate chain, which must bear
	// the name keys.RouterSAN of Name. It has no default.
	Cert string `yaml:"cert"`
	// Key is the file with the certificate's private key. It has no default.
	Key string `yaml:"key"`
	// CA is the file with the authorities of the other routers'
	// certificates; two during a change of authority. It has no default.
	CA string `yaml:"ca"`
}

// Timeouts bound the waits of the process. A wait that is left out, or zero,
// is replaced by the default.
type Timeouts struct {
	// UpstreamConnect is how long a connection to an upstream may take to
	// open. The default is 1s.
	UpstreamConnect time.Duration `yaml:"upstream_connect" validate:"gt=0"`
	// FirstByte is how long an upstream may take to start its answer once it
	// has the request. The default is 30s.
	FirstByte time.Duration `yaml:"first_byte" validate:"gt=0"`
	// IdleGap is how long a stream may stay silent between two chunks before
	// its connection is given up. The default is 10s.
	IdleGap time.Duration `yaml:"idle_gap" validate:"gt=0"`
	// LocateTTL is how long callers may keep the address they were told. The
	// default is 10s.
	LocateTTL time.Duration `yaml:"locate_ttl" validate:"gt=0"`
	// Drain is how long a graceful shutdown may take before the requests in
	// progress are handed on. It must exceed LocateTTL, since callers may
	// still come for that long. The default is 60s.
	Drain time.Duration `yaml:"drain" validate:"gt=0"`
}

// Budgets hold the process's share of the table service for each use. They
// are for a fleet of up to nine routers; in a larger one their sum is shared,
// so that the fleet asks no more of the store than nine routers may.
type Budgets struct {
	// Claim is for non-idempotent requests. The default is 80 reads and 40
	// writes a second.
	Claim Budget `yaml:"claim"`
	// Config is for the fleet's configuration. The default is 5 reads and 2
	// writes a second.
	Config Budget `yaml:"config"`
	// Audit is for the audit trail. The default is 10 reads and 5 writes a
	// second.
	Audit Budget `yaml:"audit"`
	// Admin is for the administration API. The default is 10 reads and 5
	// writes a second.
	Admin Budget `yaml:"admin"`
}

// Budget is a rate of reads and of writes, per second. A rate that is left
// out, or zero, is replaced by the default.
type Budget struct {
	// Reads is the number of rows read or scans made in a second.
	Reads float64 `yaml:"reads" validate:"gt=0,lte=10000"`
	// Writes is the number of transactions in a second.
	Writes float64 `yaml:"writes" validate:"gt=0,lte=10000"`
}

// For returns the budget of a use of the store. An unknown use has none.
func (b Budgets) For(use platform.Use) Budget {
	switch use {
	case platform.UseClaim:
		return b.Claim
	case platform.UseConfig:
		return b.Config
	case platform.UseAudit:
		return b.Audit
	case platform.UseAdmin:
		return b.Admin
	}
	return Budget{}
}

// Load reads the settings from a YAML file, fills the defaults and checks
// the result. Errors: ErrRead, strictyaml.Problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrRead.Wrap(err)
	}
	s, err := LoadBytes(path, data)
	if err != nil {
		return nil, err
	}
	s.file = path
	return s, nil
}

// LoadBytes is Load for text that has been read already; name stands for the
// file in problems.
func LoadBytes(name string, data []byte) (*Settings, error) {
	s := new(Settings)
	var problems strictyaml.Problems
	s.source, problems = strictyaml.Decode(name, data, s)
	if len(problems) > 0 {
		return nil, problems
	}
	if err := s.Provision(); err != nil {
		return nil, err
	}
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return s, nil
}
