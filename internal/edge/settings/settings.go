// Package settings is what a router is told when it starts on a platform.
package settings

import (
	"errors"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"
)

// Errors of Load.
var (
	// ErrRead means that the file can't be read, or is no YAML.
	ErrRead = errs.Class("settings: read")
	// ErrField means that a field is missing or malformed; the message names it.
	ErrField = errs.Class("settings: field")
)

// Settings are the settings of one router. Fields that are not known here are
// ignored, so that a newer template can serve an older router.
//
// A change takes effect while the router runs, but for fields tagged apply:"restart". Those
// tagged scope:"own" differ from router to router; see Digest.
type Settings struct {
	// Name identifies the router within the fleet.
	Name string `yaml:"name" validate:"required" scope:"own" apply:"restart"`
	// Site and Region are where its VM is.
	Site   string `yaml:"site" validate:"required" scope:"own" apply:"restart"`
	Region string `yaml:"region" scope:"own" apply:"restart"`

	Listen Listen `yaml:"listen"`
	// Seeds are control addresses of other routers, "ip:port". They may be out
	// of date.
	Seeds []string `yaml:"seeds" validate:"dive,hostport"`
	// FirstStart means that the whole fleet starts for the first time. It has no callers
	// yet; a router then waits longer for others before it reads the store itself. The
	// default is false.
	FirstStart bool `yaml:"first_start" scope:"own"`
	// FleetKey is the secret by which routers know one another, 16 bytes or more.
	FleetKey string `yaml:"fleet_key" validate:"min=16" secret:"yes"`
	// OtherFleetKey is a second key that is accepted, while the fleet changes from one to
	// another: first the new one is accepted by all, then used by all, then the old one
	// dropped. The default is none.
	OtherFleetKey string `yaml:"other_fleet_key" validate:"omitempty,min=16" secret:"yes"`
	// Store is the address of the platform's store, "ip:port".
	Store string `yaml:"store" validate:"required,hostport"`

	Limits Limits `yaml:"limits"`
	Bounds Bounds `yaml:"bounds"`

	// LogLevel is the least severe level that is logged. The default is info.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
}

// Listen holds the addresses that the router serves, "ip:port".
type Listen struct {
	Callers   string `yaml:"callers" validate:"required,hostport" scope:"own" apply:"restart"`
	Ready     string `yaml:"ready" validate:"required,hostport" scope:"own"`
	Directory string `yaml:"directory" validate:"required,hostport" scope:"own"`
	Control   string `yaml:"control" validate:"required,hostport" scope:"own"`
	// Advertise is the IP address under which callers and other routers reach this VM,
	// at the same ports. The default is the one at which callers are served; it differs
	// behind a translation of addresses.
	Advertise string `yaml:"advertise" validate:"omitempty,ip" scope:"own" apply:"restart"`
	// Metrics is where counters and latencies are served. The default is not
	// to serve them.
	Metrics string `yaml:"metrics" validate:"omitempty,hostport" scope:"own"`
	// PortRange is the ports that are free for the traffic between routers, the first and
	// the last one.
	PortRange []int `yaml:"ports" validate:"portrange" apply:"restart"`
}

// Limits are those of the VM.
type Limits struct {
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int64 `yaml:"memory_mb" validate:"min=16" scope:"own"`
	// MaxFiles is how many descriptors it may use; callers' connections take four tenths of
	// them at most.
	MaxFiles int `yaml:"max_files" validate:"min=64" scope:"own"`
	// LinkMbps is the bandwidth of its link, in megabits a second.
	LinkMbps float64 `yaml:"link_mbps" validate:"gt=0" scope:"own" apply:"restart"`
	// CPUShare is the part of a core that it may use.
	CPUShare float64 `yaml:"cpu_share" validate:"gt=0" scope:"own"`
}

// Bounds are the times and ratios that the fleet must keep. Durations are from 1 ms to 24 h.
type Bounds struct {
	// Revoke is how long a revoked API key may still be accepted.
	Revoke Milliseconds `yaml:"revoke_ms" validate:"duration"`
	// Config is how long a change of the configuration may take to be in
	// force, and Drain how long a leaving engine may get new requests.
	Config Milliseconds `yaml:"config_ms" validate:"duration"`
	Drain  Milliseconds `yaml:"drain_ms" validate:"duration"`
	// Evacuate is how long the engines of an evacuated site may get new requests. The
	// default is as long as leaving ones.
	Evacuate Milliseconds `yaml:"evacuate_ms" validate:"omitempty,duration"`
	// A cold engine gets at most ColdOver times the rate that its service names, and
	// ColdSlack requests, in any second. The defaults are 1 and 0.
	ColdOver  float64 `yaml:"cold_over" validate:"omitempty,min=0"`
	ColdSlack float64 `yaml:"cold_slack" validate:"omitempty,min=0"`
	// Beat is how often engines renew their entries in the store.
	Beat Milliseconds `yaml:"beat_ms" validate:"duration"`
	// Stop is how long the process has after it was told to stop.
	Stop Seconds `yaml:"stop_s" validate:"duration"`
	// RetryRatio, RetrySlack and RetryWindow bound what a service may get
	// beyond the first send of each request.
	RetryRatio  float64 `yaml:"retry_ratio" validate:"min=0"`
	RetrySlack  float64 `yaml:"retry_slack" validate:"min=0"`
	RetryWindow Seconds `yaml:"retry_window_s" validate:"duration"`
	// MaxTTL is the longest time that callers keep an address.
	MaxTTL Seconds `yaml:"max_ttl_s" validate:"duration"`
}

// Load reads and checks a settings file, and returns its content as well. Errors: ErrRead,
// ErrField.
func Load(file string) (*Settings, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, ErrRead.Wrap(err)
	}
	set, err := Parse(data)
	return set, data, err
}

// Parse checks settings. Errors: ErrRead, ErrField.
func Parse(data []byte) (*Settings, error) {
	s := Settings{LogLevel: "info"}
	if err := yaml.Unmarshal(data, &s); err != nil {
		return nil, ErrRead.Wrap(err)
	}
	var invalid validator.ValidationErrors
	if err := newValidator().Struct(&s); errors.As(err, &invalid) {
		return nil, fieldError(data, invalid)
	} else if err != nil {
		return nil, ErrField.Wrap(err)
	}
	return &s, nil
}
