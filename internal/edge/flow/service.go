package flow

import "context"

// ServiceName is the name to register a Service under.
const ServiceName = "Flow"

// Methods of the service.
const (
	AskMethod     = ServiceName + ".Ask"
	ReleaseMethod = ServiceName + ".Release"
)

// Released is a lease that has ended.
type Released struct{ Engine, ID string }

// ReleaseArgs names leases that have ended.
type ReleaseArgs struct{ Leases []Released }

// Nothing is an empty reply.
type Nothing struct{}

// Service answers other routers. Its methods are called by net/rpc; their errors are
// always nil.
type Service struct{ Owner *Owner }

// Ask answers once there is a verdict.
func (s *Service) Ask(args Ask, reply *Answer) error {
	*reply = s.Owner.Ask(context.Background(), args)
	return nil
}

// Release ends leases.
func (s *Service) Release(args ReleaseArgs, _ *Nothing) error {
	for _, l := range args.Leases {
		s.Owner.Release(l.Engine, l.ID)
	}
	return nil
}
