// Package settings contains the settings that a process reads at its start: its name, its
// addresses, the address of the platform, and its keys. Settings that the whole fleet shares and
// that operators change while it runs are in package config.
package settings

import (
	"os"
	"time"

	"github.com/zeebo/errs"

	"damaskrouter.example/damaskrouter/internal/store/config/strictyaml"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// ErrRead means that a settings file, or a file that it names, could not be read.
var ErrRead = errs.Class("settings: read")

// Settings are the settings of one process. Load returns them with the defaults set and all values
// validated.
type Settings struct {
	// Name identifies the process within the fleet. It has no default.
	Name string `yaml:"name" validate:"required,name"`
	// Site is the data centre in which the process runs. It has no default.
	Site string `yaml:"site" validate:"required,name"`
	// Region is the region of the site. It has no default.
	Region string `yaml:"region" validate:"required,name"`

	// Listen is the IP address and port on which callers are served. It has no default.
	Listen string `yaml:"listen" validate:"required,hostport"`
	// Advertise is the IP address and port that is announced to callers. The default is
	// Listen, which must not be a wildcard address then.
	Advertise string `yaml:"advertise" validate:"required,reachable"`
	// ControlListen is the IP address and port on which other routers connect: UDP for membership
	// and TCP for remote calls. It has no default.
	ControlListen string `yaml:"control_listen" validate:"required,hostport"`
	// ControlAdvertise is the control address that is announced to other routers. The default is
	// ControlListen, which must not be a wildcard address then.
	ControlAdvertise string `yaml:"control_advertise" validate:"required,reachable"`
	// AdminListen is the IP address and port of the administration API. The default is empty: the
	// process does not serve the API.
	AdminListen string `yaml:"admin_listen" validate:"omitempty,hostport"`

	// Platform contains the addresses of the platform's services.
	Platform Platform `yaml:"platform"`
	// Seeds are control addresses of other routers to contact at the start, in addition to those in
	// the platform's list of VMs. The default is none.
	Seeds []string `yaml:"seeds" validate:"unique,dive,reachable"`

	// FleetKeys authenticate the routers to each other. The first key signs and both are accepted,
	// so that a key can be replaced without interruption. At least one is required unless
	// AllowInsecure is set.
	FleetKeys []Key `yaml:"fleet_keys" validate:"max=2,unique=ID,dive"`
	// HintKeys sign prefix hints and resume tokens. They are used and replaced like FleetKeys.
	HintKeys []Key `yaml:"hint_keys" validate:"max=2,unique=ID,dive"`
	// TLS protects the connections of callers. The certificate and the key are required unless
	// AllowInsecure is set.
	TLS TLS `yaml:"tls"`
	// PeerTLS is this router's identity in calls between routers. It is required unless
	// AllowPlainPeers or AllowInsecure is set.
	PeerTLS PeerTLS `yaml:"peer_tls"`
	// AllowPlainPeers permits calls between routers without TLS. Routers then prove that they have
	// the fleet key when a connection opens, but the data that follows is not protected; see
	// docs/KEYS.md. The default is false.
	AllowPlainPeers bool `yaml:"allow_plain_peers"`
	// AdminTokenHash is the SHA-256 hash, in hexadecimal, of the first operator's token. The
	// default is empty: only tokens issued by the administration API are accepted.
	AdminTokenHash string `yaml:"admin_token_hash" validate:"omitempty,len=64,hexadecimal,lowercase"`

	// LogLevel is the lowest level that is logged: debug, info, warn or error. The default is info.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
	// Timeouts bound the waiting times of the process.
	Timeouts Timeouts `yaml:"timeouts"`
	// Budgets bound the rates at which the process uses the platform's table service.
	Budgets Budgets `yaml:"budgets"`

	// ClaimRetention is the minimum time for which the record of a finished non-idempotent request
	// is kept. A request with the same key gets the stored response during that time, and may
	// execute again later. The record is deleted about an eighth of that time later if the table
	// service is up. Records of requests with an unknown outcome are kept until an operator
	// resolves them. The value should be the same on all routers. The default is 72h.
	ClaimRetention time.Duration `yaml:"claim_retention" validate:"gte=1h"`

	// AllowInsecure permits the process to run without TLS and without keys, for tests on one
	// machine. The default is false.
	AllowInsecure bool `yaml:"allow_insecure"`

	source *strictyaml.Source
	file   string
}

// Platform contains the addresses of the platform's services.
type Platform struct {
	// Store is the IP address and port of the store. It has no default.
	Store string `yaml:"store" validate:"required,reachable"`
}

// TLS contains the paths of the PEM files for connections of callers.
type TLS struct {
	// Cert is the certificate chain. It has no default.
	Cert string `yaml:"cert"`
	// Key is the private key of the certificate. It has no default.
	Key string `yaml:"key"`
	// CA contains the certificate authorities that verify the upstreams and the platform. The
	// default is the system's pool.
	CA string `yaml:"ca"`
}

// PeerTLS contains the paths of the PEM files for calls between routers. Either all or none must be
// set.
type PeerTLS struct {
	// Cert is this router's certificate chain. It must be valid for the DNS name keys.RouterSAN of
	// Name. It has no default.
	Cert string `yaml:"cert"`
	// Key is the private key of the certificate. It has no default.
	Key string `yaml:"key"`
	// CA contains the certificate authorities that verify the other routers; two while the
	// authority is replaced. It has no default.
	CA string `yaml:"ca"`
}

// Timeouts bound the waiting times of the process. A value that is missing or zero is replaced by
// the default.
type Timeouts struct {
	// UpstreamConnect is the maximum time to open a connection to an upstream. The default is 1s.
	UpstreamConnect time.Duration `yaml:"upstream_connect" validate:"gt=0"`
	// FirstByte is the maximum time from sending a request to an upstream to the start of its
	// response. The default is 30s.
	FirstByte time.Duration `yaml:"first_byte" validate:"gt=0"`
	// IdleGap is the maximum time between two chunks of a stream before its connection is closed.
	// The default is 10s.
	IdleGap time.Duration `yaml:"idle_gap" validate:"gt=0"`
	// LocateTTL is the time for which callers may cache the address of a router. The default is
	// 10s.
	LocateTTL time.Duration `yaml:"locate_ttl" validate:"gt=0"`
	// Drain is the maximum time of a graceful shutdown. The streams that are still open then are
	// closed, to be resumed at other routers. It must exceed LocateTTL, because callers may still
	// connect for that time. The default is 60s.
	Drain time.Duration `yaml:"drain" validate:"gt=0"`
}

// Budgets are the process's shares of the table service, by use. They apply to fleets of up to nine
// routers. In a larger fleet their sum is divided among the routers, so that the fleet causes no
// more load on the store than nine routers may.
type Budgets struct {
	// Claim is for non-idempotent requests. The default is 80 reads and 40 writes a second.
	Claim Budget `yaml:"claim"`
	// Config is for the configuration of the fleet. The default is 5 reads and 2 writes a second.
	Config Budget `yaml:"config"`
	// Audit is for the audit trail. The default is 10 reads and 5 writes a
	// second.
	Audit Budget `yaml:"audit"`
	// Admin is for the administration API. The default is 10 reads and 5
	// writes a second.
	Admin Budget `yaml:"admin"`
}

// Budget is a rate of reads and of writes per second. A rate that is missing or zero is replaced by
// the default.
type Budget struct {
	// Reads is the number of row reads and scans per second.
	Reads float64 `yaml:"reads" validate:"gt=0,lte=10000"`
	// Writes is the number of transactions per second.
	Writes float64 `yaml:"writes" validate:"gt=0,lte=10000"`
}

// For returns the budget of a use of the table service, or a zero budget for an unknown use.
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

// Load reads the settings from a YAML file, sets the defaults and validates the result. Errors:
// ErrRead, strictyaml.Problems.
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

// LoadBytes is like Load but takes the contents of the file. name identifies the file in problems.
// Errors: strictyaml.Problems.
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
