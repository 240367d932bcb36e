// Package settings loads, checks and compares the settings of a router that runs on a platform, and
// applies changes of the settings file.
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
	// ErrRead means that the file can't be read, or is not valid YAML.
	ErrRead = errs.Class("settings: read")
	// ErrField means that a field is missing or malformed; the message names it.
	ErrField = errs.Class("settings: field")
)

// Settings are the settings of one router. Unknown fields are ignored, so that
// a newer template can serve an older router.
//
// A change takes effect while the router runs, except for fields tagged apply:"restart". Fields
// tagged scope:"own" differ between routers; see Digest.
type Settings struct {
	// Name identifies the router within the fleet.
	Name string `yaml:"name" validate:"required" scope:"own" apply:"restart"`
	// Site and Region locate the VM.
	Site   string `yaml:"site" validate:"required" scope:"own" apply:"restart"`
	Region string `yaml:"region" scope:"own" apply:"restart"`

	Listen Listen `yaml:"listen"`
	// Seeds are control addresses of other routers, "ip:port". They may be out
	// of date.
	Seeds []string `yaml:"seeds" validate:"dive,hostport"`
	// FirstStart means that the whole fleet starts for the first time and has no callers yet. A
	// router then waits longer for others before it reads the store itself. The default is false.
	FirstStart bool `yaml:"first_start" scope:"own"`
	// FleetKey is the secret by which routers authenticate each other, 16 bytes or more.
	FleetKey string `yaml:"fleet_key" validate:"min=16" secret:"yes"`
	// OtherFleetKey is a second key that is accepted during a rotation of the key: first all
	// routers accept the new key, then all use it, then the old one is dropped. The default is
	// none.
	OtherFleetKey string `yaml:"other_fleet_key" validate:"omitempty,min=16" secret:"yes"`
	// Store is the address of the platform's store, "ip:port".
	Store string `yaml:"store" validate:"required,hostport"`

	Limits Limits `yaml:"limits"`
	Bounds Bounds `yaml:"bounds"`

	// LogLevel is the lowest level that is logged. The default is info.
	LogLevel string `yaml:"log_level" validate:"oneof=debug info warn error"`
}

// Listen holds the listen addresses of the router, "ip:port".
type Listen struct {
	// Callers is the address that serves the requests of callers.
	Callers   string `yaml:"callers" validate:"required,hostport" scope:"own" apply:"restart"`
	Ready     string `yaml:"ready" validate:"required,hostport" scope:"own"`
	Directory string `yaml:"directory" validate:"required,hostport" scope:"own"`
	Control   string `yaml:"control" validate:"required,hostport" scope:"own"`
	// Advertise is the IP address at which callers and other routers reach this VM, on the same
	// ports. The default is the IP address of Callers; it differs behind network address
	// translation.
	Advertise string `yaml:"advertise" validate:"omitempty,ip" scope:"own" apply:"restart"`
	// EngineSource is the IP address from which connections to engines are opened. By default the
	// kernel selects one by its routes.
	EngineSource string `yaml:"engine_source" validate:"omitempty,ip" scope:"own" apply:"restart"`
	// Metrics is the address that serves counters and latencies. By default they are not
	// served.
	Metrics string `yaml:"metrics" validate:"omitempty,hostport" scope:"own"`
	// PortRange holds the first and the last port that are free for traffic between routers.
	PortRange []int `yaml:"ports" validate:"portrange" apply:"restart"`
}

// Limits are the resource limits of the VM.
type Limits struct {
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB int64 `yaml:"memory_mb" validate:"min=16" scope:"own"`
	// MaxFiles is the maximum number of open file descriptors; connections of callers take at most
	// four tenths of them.
	MaxFiles int `yaml:"max_files" validate:"min=64" scope:"own"`
	// LinkMbps is the bandwidth of the network link, in megabits per second.
	LinkMbps float64 `yaml:"link_mbps" validate:"gt=0" scope:"own" apply:"restart"`
	// CPUShare is the share of a core that the process may use.
	CPUShare float64 `yaml:"cpu_share" validate:"gt=0" scope:"own"`
}

// Bounds are the times and ratios that the fleet must not exceed. Durations are from 1 ms to 24 h.
type Bounds struct {
	// Revoke is how long a revoked API key may still be accepted.
	Revoke Milliseconds `yaml:"revoke_ms" validate:"duration"`
	// Config is how long a change of the configuration may take to become active, and Drain how
	// long a draining engine may get new requests.
	Config Milliseconds `yaml:"config_ms" validate:"duration"`
	Drain  Milliseconds `yaml:"drain_ms" validate:"duration"`
	// Evacuate is how long the engines of an evacuated site may get new requests. The
	// default is the value of Drain.
	Evacuate Milliseconds `yaml:"evacuate_ms" validate:"omitempty,duration"`
	// ColdOver and ColdSlack limit the requests to a cold engine: in any second it gets at most
	// ColdOver times the rate that its service specifies, plus ColdSlack requests. The defaults are
	// 1 and 0.
	ColdOver  float64 `yaml:"cold_over" validate:"omitempty,min=0"`
	ColdSlack float64 `yaml:"cold_slack" validate:"omitempty,min=0"`
	// Beat is the interval at which engines renew their entries in the store.
	Beat Milliseconds `yaml:"beat_ms" validate:"duration"`
	// Stop is how long the process may run after the signal to stop.
	Stop Seconds `yaml:"stop_s" validate:"duration"`
	// RetryRatio, RetrySlack and RetryWindow limit the attempts that a service may
	// get beyond the first one of each request.
	RetryRatio  float64 `yaml:"retry_ratio" validate:"min=0"`
	RetrySlack  float64 `yaml:"retry_slack" validate:"min=0"`
	RetryWindow Seconds `yaml:"retry_window_s" validate:"duration"`
	// MaxTTL is the longest time that callers cache an address.
	MaxTTL Seconds `yaml:"max_ttl_s" validate:"duration"`
}

// Load reads and checks a settings file, and returns its settings and its content. Errors: ErrRead,
// ErrField.
func Load(file string) (*Settings, []byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, ErrRead.Wrap(err)
	}
	s, err := Parse(data)
	return s, data, err
}

// Parse decodes and checks settings in YAML. Errors: ErrRead, ErrField.
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
