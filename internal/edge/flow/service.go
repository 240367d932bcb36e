package flow

import "context"

// ServiceName is the RPC name under which Service is registered.
const ServiceName = "Flow"

// RPC methods of Service.
const (
	AskMethod     = ServiceName + ".Ask"
	ReleaseMethod = ServiceName + ".Release"
)

// LeaseRef identifies a lease that has ended.
type LeaseRef struct {
	Engine, ID string
	// Rejected means that the engine has rejected the request. Routers of earlier releases don't send
	// it.
	Rejected bool
	// Running, Waiting and EngineSlots are what the engine has stated about its load; see
	// gate.EngineLoad. They are zero if it stated nothing, and from routers of earlier releases.
	Running, Waiting, EngineSlots int
}

// ReleaseArgs lists leases that have ended.
type ReleaseArgs struct{ Leases []LeaseRef }

// Empty is an empty reply.
type Empty struct{}

// Service handles calls of other routers. Its methods are called by net/rpc and never return an
// error.
type Service struct{ Owner *Owner }

// Ask requests a slot and returns once there is a decision.
func (s *Service) Ask(args SlotRequest, reply *Answer) error {
	*reply = s.Owner.Acquire(context.Background(), args)
	return nil
}

// Release ends leases.
func (s *Service) Release(args ReleaseArgs, _ *Empty) error {
	for _, l := range args.Leases {
		s.Owner.Release(l)
	}
	return nil
}
