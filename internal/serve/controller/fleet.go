package controller

import (
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// FleetService is the RPC name under which Fleet is registered.
const FleetService = "Fleet"

// VMsArgs asks for the VM list, unless it is the one with Etag.
type VMsArgs struct{ Etag uint64 }

// VMsReply is the VM list as a relay knows it.
type VMsReply struct {
	// Known is false where the relay has no fresh list.
	Known bool
	// Same says that the asker's list is still right; VMs is then empty.
	Same bool
	// Etag is a hash of the list.
	Etag uint64
	VMs  []platform.VM
}

// ConfigArgs asks for the configuration, if it is at least the given version.
type ConfigArgs struct{ AtLeast uint64 }

// ConfigReply is the configuration in force at the asked router.
type ConfigReply struct {
	// Version is 0 where the router has none, or none that is new enough.
	Version uint64
	// Hash is the hash of Bundle, which the asker checks.
	Hash   config.Hash
	Bundle []byte
}

// Fleet is the RPC service by which routers share what one of them has read.
type Fleet struct {
	vms     *VMs
	configs *Configs
}

// NewFleet returns the service.
func NewFleet(vms *VMs, configs *Configs) *Fleet {
	return &Fleet{vms: vms, configs: configs}
}

// VMs returns the VM list.
func (f *Fleet) VMs(args VMsArgs, reply *VMsReply) error {
	*reply = f.vms.Current(args.Etag)
	return nil
}

// Config returns the configuration in force here.
func (f *Fleet) Config(args ConfigArgs, reply *ConfigReply) error {
	*reply = f.configs.Current(args.AtLeast)
	return nil
}
