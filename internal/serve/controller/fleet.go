package controller

import (
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// FleetService is the RPC name under which Fleet is registered.
const FleetService = "Fleet"

// VMsArgs requests the VM list unless the requester's list, with Etag as its hash, is up to date.
type VMsArgs struct{ Etag uint64 }

// VMsReply is the VM list of a relay: a router that reads the platform's list and passes it to
// other routers.
type VMsReply struct {
	// Known is false if the relay has no recent list.
	Known bool
	// Same is set if the requester's list is up to date. VMs is empty then.
	Same bool
	// Etag is a hash of the list.
	Etag uint64
	VMs  []platform.VM
}

// ConfigArgs requests the active configuration if its version is at least AtLeast.
type ConfigArgs struct{ AtLeast uint64 }

// ConfigReply is the active configuration of the router that replies.
type ConfigReply struct {
	// Version is 0 if no configuration is active, or only one that is too old.
	Version uint64
	// Hash is the hash of Bundle, which the requester verifies.
	Hash   config.Hash
	Bundle []byte
}

// Fleet is the RPC service through which routers get the VM list and the configuration from each
// other instead of from the platform.
type Fleet struct {
	vms     *VMs
	configs *Configs
}

// NewFleet returns a Fleet that replies with the state of the given controllers.
func NewFleet(vms *VMs, configs *Configs) *Fleet {
	return &Fleet{vms: vms, configs: configs}
}

// VMs replies with the VM list of this router.
func (f *Fleet) VMs(args VMsArgs, reply *VMsReply) error {
	*reply = f.vms.Current(args.Etag)
	return nil
}

// Config replies with the active configuration of this router.
func (f *Fleet) Config(args ConfigArgs, reply *ConfigReply) error {
	*reply = f.configs.Current(args.AtLeast)
	return nil
}
