package origins

import (
	"context"
	"slices"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/origin"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"damaskrouter.example/damaskrouter/internal/fleet/peer"
	"github.com/zeebo/errs"
)

// ErrUnknown means that the version that began a stream can't be determined.
var ErrUnknown = errs.Class("origin of the stream unknown")

const (
	// findTimeout bounds the calls to one ring of replicas.
	findTimeout = 150 * time.Millisecond
	// unsettledPause is the pause before replicas are queried again whose record states no version yet, and
	// maxUnsettled how often that is done: for 650 ms, as a query for the start of an engine takes up to 300 ms,
	// and one that was sent before proves nothing. unsettledAge is how old the record may be.
	unsettledPause = 25 * time.Millisecond
	maxUnsettled   = 26
	unsettledAge   = time.Second
	// missingWait is how long a record is looked for that no router has: the one that began the stream sends it
	// while the engine reads the prompt, and on a busy VM the caller may have the first event before a replica has
	// the record.
	missingWait = 200 * time.Millisecond
	// maxRings is how many rings of replicas are queried. Those of the second may have been the replicas
	// before routers came or went.
	maxRings = 2
)

// Found is the origin of a stream.
type Found struct {
	Service, Version string
	// From is the router that reported it, or OnlyVersion.
	From string
	// Age is how long ago the record was written.
	Age time.Duration
}

// OnlyVersion is Found.From if no record exists, but only one version can have begun the stream.
const OnlyVersion = "only version"

// Find returns which version began a stream that a caller resumes. services are those to which the
// stream's route sends requests. Errors: ErrUnknown.
func (r *Registry) Find(ctx context.Context, account, id string, services []string) (Found, error) {
	r.counters.lookups.Add(1)
	out, err := r.find(ctx, account, id, services)
	switch {
	case err != nil:
		r.counters.unknown.Add(1)
	case out.From == OnlyVersion:
		r.counters.only.Add(1)
	default:
		r.counters.found.Add(1)
	}
	return out, err
}

func (r *Registry) find(ctx context.Context, account, id string, services []string) (Found, error) {
	args := FindArgs{Key: origin.KeyOf(account, id), Services: services}
	began, doubted, doubtedAt := r.Clock(), false, time.Duration(0)
	var last error
	for range maxUnsettled {
		missing := r.mayMissVersions(began)
		s := search{registry: r, args: args, own: r.local(args)}
		s.own.Complete = s.own.Complete && !missing
		if s.merge(s.own) {
			return found(*s.record, r.Self), nil
		}
		if out, ok := s.run(ctx, id != ""); ok {
			return out, nil
		}
		e, known := s.beganAt()
		switch {
		case known && doubted && !r.InDoubt(e, doubtedAt):
			return r.settle(*s.record, e), nil
		case known && !doubted && r.Doubt != nil:
			// The router that began the stream may be gone.
			doubted, doubtedAt = true, r.Clock()
			r.Doubt(e, doubtedAt)
		}
		out, err := s.onlyVersion()
		late := s.record == nil && id != "" && err != nil && r.Clock()-began < missingWait
		// The engines are read again soon.
		late = late || s.alone && err != nil && missing
		if !(late || s.unsettled() || known && doubted) || !pause.For(ctx, unsettledPause) {
			return out, err
		}
		last = err
	}
	return Found{}, last
}

// settle completes the record of a stream whose engine has proved its start, as the router that began the
// stream does. A record of this router's own beside the incomplete one would make the stream ambiguous.
func (r *Registry) settle(record origin.Record, e catalog.Engine) Found {
	record = record.Settled(e.Version)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(record, r.Clock(), true)
	return found(record, r.Self)
}

// beganAt returns the engine of a record that states no version, if its entry is still that of the start
// at which the stream began.
func (s *search) beganAt() (catalog.Engine, bool) {
	if s.record == nil || s.record.Version != "" || s.record.Ambiguous || s.record.Engine == "" {
		return catalog.Engine{}, false
	}
	e, known := s.registry.Snapshot().Engines.ByID[s.record.Engine]
	return e, known && e.Born != 0 && e.Born == s.record.Born
}

// unsettled reports whether the router that began the stream may still find out at which version.
func (s *search) unsettled() bool {
	return s.record != nil && s.record.Version == "" && !s.record.Ambiguous && s.record.Age < unsettledAge
}

func found(record origin.Record, from string) Found {
	return Found{Service: record.Service, Version: record.Version, From: from, Age: record.Age}
}

// search is a search for the record of one stream.
type search struct {
	registry *Registry
	args     FindArgs
	own      FindReply
	// replies are those of other routers, and queried the number of routers called.
	replies []FindReply
	queried int
	// record is what all records that were found state together; nil if there was none.
	record *origin.Record
	// alone is set if there is no other router that could keep the record.
	alone bool
}

// run queries the replicas of the stream. It returns the first record that states a version.
func (s *search) run(ctx context.Context, named bool) (Found, bool) {
	r := s.registry
	r.mu.Lock()
	ranked := slices.DeleteFunc(origin.Rank(s.args.Key, r.recordRouters()), func(m origin.Member) bool { return m.Name == r.Self })
	peers := make(map[string]feed.Peer, len(ranked))
	for _, m := range ranked {
		peers[m.Name] = r.peers[m.Name]
	}
	r.mu.Unlock()
	s.alone = len(ranked) == 0
	if !named {
		// A request that names no stream has no record; only the versions are of interest.
		ranked = ranked[:min(len(ranked), origin.Copies)]
	}
	for range maxRings {
		n := min(origin.Copies, len(ranked))
		if n == 0 {
			break
		}
		if out, ok := s.query(ctx, ranked[:n], peers); ok {
			return out, true
		}
		ranked = ranked[n:]
		if s.settled() {
			break
		}
	}
	return Found{}, false
}

// settled reports whether further replies can't matter: the stream has a record that states no version,
// or only one version is known.
func (s *search) settled() bool {
	if s.record != nil {
		return true
	}
	_, err := s.onlyVersion()
	return err == nil
}

// merge adds the record of a reply, and reports whether the version is known now.
func (s *search) merge(reply FindReply) bool {
	switch {
	case !reply.Found:
		return false
	case s.record == nil:
		s.record = &reply.Record
	default:
		merged := origin.Merge(*s.record, reply.Record)
		s.record = &merged
	}
	return s.record.Known()
}

// query calls routers at once and returns the first record that states a version.
func (s *search) query(ctx context.Context, members []origin.Member, peers map[string]feed.Peer) (Found, bool) {
	type result struct {
		from  string
		reply FindReply
		err   error
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	results := make(chan result, len(members))
	for _, m := range members {
		go func() {
			out := result{from: m.Name}
			// A canceled call closes the connection with all calls on it, so that it ends by itself.
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sendTimeout)
			defer cancel()
			out.err = s.registry.Call(callCtx, peers[m.Name], FindMethod, s.args, &out.reply)
			results <- out
		}()
	}
	s.queried += len(members)
	for range members {
		select {
		case <-ctx.Done():
			return Found{}, false
		case out := <-results:
			if peer.ErrRemote.Has(out.err) {
				s.registry.setUnsupported(out.from)
			}
			if out.err != nil {
				continue
			}
			s.replies = append(s.replies, out.reply)
			if s.merge(out.reply) {
				return found(*s.record, out.from), true
			}
		}
	}
	return Found{}, false
}

// onlyVersion returns the version that has begun the stream if no other one can have: all that this
// router and those queried have seen lately is one version of one service, and one of them has seen
// everything. Errors: ErrUnknown.
func (s *search) onlyVersion() (Found, error) {
	if s.record != nil {
		return Found{}, ErrUnknown.New("the record states no version")
	}
	if len(s.replies) == 0 && !s.alone {
		return Found{}, ErrUnknown.New("none of %d routers replied", s.queried)
	}
	complete := false
	versions := make(map[string]map[string]bool)
	for _, reply := range append([]FindReply{s.own}, s.replies...) {
		complete = complete || reply.Complete
		for service, list := range reply.Versions {
			if versions[service] == nil {
				versions[service] = make(map[string]bool)
			}
			for _, version := range list {
				versions[service][version] = true
			}
		}
	}
	if !complete {
		return Found{}, ErrUnknown.New("the versions that have served lately are not known")
	}
	return single(versions)
}

// single returns the version if each service has at most one. The service is empty if several serve
// the route: any of them may have begun the stream. Errors: ErrUnknown.
func single(versions map[string]map[string]bool) (Found, error) {
	out := Found{From: OnlyVersion}
	services := 0
	for service, set := range versions {
		if len(set) > 1 || set[""] {
			return Found{}, ErrUnknown.New("service %s has had %d versions lately", service, len(set))
		}
		for version := range set {
			services++
			out.Service, out.Version = service, version
		}
	}
	if services != 1 {
		return Found{From: OnlyVersion}, nil
	}
	return out, nil
}
