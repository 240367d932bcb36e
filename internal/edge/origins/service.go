package origins

import (
	"damaskrouter.example/damaskrouter/internal/decide/origin"
)

// ServiceName is the RPC name under which Service is registered.
const ServiceName = "Origins"

// RPC methods of Service.
const (
	ReplicateMethod = ServiceName + ".Replicate"
	FindMethod      = ServiceName + ".Find"
	HistoryMethod   = ServiceName + ".History"
)

// ReplicateArgs holds records to keep.
type ReplicateArgs struct {
	From    string
	Records []origin.Record
}

// Empty is an empty reply.
type Empty struct{}

// FindArgs requests the record of a stream.
type FindArgs struct {
	Key origin.Key
	// Services are those to which the stream's route sends requests.
	Services []string
}

// FindReply is the reply to FindArgs.
type FindReply struct {
	Found  bool
	Record origin.Record
	// Versions are the versions that have served lately, by service, and Complete means that there were
	// no others.
	Versions map[string][]string
	Complete bool
}

// HistoryArgs requests the versions that have served lately.
type HistoryArgs struct{}

// HistoryReply is the reply to HistoryArgs.
type HistoryReply struct {
	Versions map[string][]string
	Complete bool
	// Stored are those that the store holds; nil if that is not known.
	Stored map[string][]string
}

// Service handles calls of other routers. Its methods are called by net/rpc and never return an error.
type Service struct{ Registry *Registry }

// Keep keeps records.
func (s *Service) Replicate(args ReplicateArgs, _ *Empty) error {
	r := s.Registry
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range args.Records {
		record.Left = min(record.Left, maxLife+lifeMargin)
		if record.Left <= 0 {
			continue
		}
		if entry := r.table.Put(record, now); entry != nil {
			entry.Replicated = true
		}
	}
	return nil
}

// Find returns the record of a stream, if this router has it.
func (s *Service) Find(args FindArgs, reply *FindReply) error {
	*reply = s.Registry.local(args)
	return nil
}

// History returns the versions that have served lately.
func (s *Service) History(_ HistoryArgs, reply *HistoryReply) error {
	reply.Versions, reply.Complete = s.Registry.History()
	reply.Stored = s.Registry.Stored()
	return nil
}

// local returns what this router knows of a stream.
func (r *Registry) local(args FindArgs) FindReply {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := FindReply{Versions: make(map[string][]string), Complete: r.complete(now)}
	out.Record, out.Found = r.table.Get(args.Key, now)
	for _, service := range args.Services {
		out.Versions[service] = r.history.Versions(service)
	}
	return out
}
