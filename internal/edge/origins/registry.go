// Package origins remembers, across the routers of a fleet, which version of the engines' software
// began each stream that may be resumed.
//
// While one version serves, a router remembers its own streams only. Once there are several, each
// router sends the records of its streams to a few others, while the engine reads the prompt: no event
// waits for that. A router at which a caller resumes a stream queries them; if none knows, the stream goes
// on only if no other version can have begun it.
package origins

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/decide/origin"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/feed"
	"github.com/charmbracelet/log"
)

const (
	// reviewInterval is how often the registry looks for new versions, and for routers that have come
	// or gone.
	reviewInterval = 50 * time.Millisecond
	// freshFor is the age of the engine list up to which this router is taken to know all engines. An
	// older one is as good while all routers are there, since one that knows more would report it.
	freshFor = 2 * time.Second
	// expireInterval is how often records are dropped whose time is over.
	expireInterval = time.Second
	// maxLife bounds how long a record is kept, and lifeMargin is how much longer than the caller waits.
	maxLife    = 10 * time.Minute
	lifeMargin = 5 * time.Second
	// unsupportedFor is for how long a router of an earlier release, which keeps no records, is not queried
	// again.
	unsupportedFor = 30 * time.Second
)

// Options configures a Registry.
type Options struct {
	Self  string
	Clock feed.Clock
	Call  feed.Call
	// Live returns the routers that are believed alive, with this one unless it leaves.
	Live     func() []feed.Peer
	Snapshot func() *catalog.Snapshot
	// InDoubt reports whether an engine may have been restarted by a time, which its entry does not show yet.
	InDoubt func(e catalog.Engine, at time.Duration) bool
	// Doubt puts an engine in doubt until it is proved that it ran the start of its entry at a time. The
	// default does nothing, and streams that only that would settle are unknown.
	Doubt func(e catalog.Engine, at time.Duration)
	// FirstStart is set if the fleet starts for the first time, so that there were no streams before.
	FirstStart bool
	Log        *log.Logger
}

// Registry holds the records of this router's streams and of those for which it is a replica. It is safe
// for concurrent use.
type Registry struct {
	Options
	replicator *replicator
	// multiVersion holds the services that more than one version has served lately.
	multiVersion atomic.Pointer[map[string]bool]
	// established holds the versions at which streams that can be resumed begin, by service.
	established atomic.Pointer[map[string]map[string]bool]

	mu      sync.Mutex
	table   *origin.Table
	history *origin.History
	// stored are the versions that the store holds, by service, and firstSeen is when each version appeared.
	stored    map[string][]string
	firstSeen map[serviceVersion]time.Duration
	// doubtful holds the streams that began at an engine in doubt.
	doubtful map[origin.Key]begun
	// members is the routers that may keep records as of the last review, and eligible those that do, by
	// name.
	members     []origin.Member
	eligible    []origin.Member
	peers       map[string]feed.Peer
	unsupported map[string]time.Duration
	// lostAt is when a router was last missing among the live ones, and hadPeers whether there was ever
	// another one.
	lostAt   time.Duration
	hadPeers bool
	// leaving is set once this router leaves.
	leaving bool

	counters counters
}

// counters counts for metrics; see Stats.
type counters struct{ sent, replicateCalls, lookups, found, only, unknown atomic.Int64 }

// begun is the begin of a stream, the engine at which it began and the time until which that may have been
// restarted before.
type begun struct {
	record origin.Record
	engine catalog.Engine
	at     time.Duration
	until  time.Duration
}

// New returns a Registry. Run must run for it to follow the versions and the fleet.
func New(o Options) *Registry {
	r := &Registry{
		Options: o, table: origin.NewTable(), history: origin.NewHistory(o.Clock(), o.FirstStart),
		doubtful: make(map[origin.Key]begun), peers: make(map[string]feed.Peer), unsupported: make(map[string]time.Duration),
	}
	r.multiVersion.Store(&map[string]bool{})
	r.established.Store(&map[string]map[string]bool{})
	r.replicator = newReplicator(r)
	return r
}

// Stream identifies a stream and the exchange that began or resumed it.
type Stream struct {
	Account string
	// ID is the ID of the request that brought the stream's first event.
	ID string
	// Exchange is a random number that distinguishes this request from others with the same ID.
	Exchange uint64
	// Life is how long the caller may keep resuming the stream.
	Life time.Duration
}

// MultiVersion reports whether more than one version of a service has served lately.
func (r *Registry) MultiVersion(service string) bool { return (*r.multiVersion.Load())[service] }

// NewExchange returns a number for Stream.Exchange.
func NewExchange() uint64 { return rand.Uint64() }

func (s Stream) record(seq uint32, service, version string) origin.Record {
	return origin.Record{
		Key: origin.KeyOf(s.Account, s.ID), Service: service, Version: version, Writer: s.Exchange, Seq: seq,
		Left: min(s.Life, maxLife) + lifeMargin,
	}
}

// Begin records that the stream is sent to an engine, or with firstEvent that it has begun there on a connection
// that was open by a time. seq orders the records of one exchange; a later one replaces the others. While the
// engine is in doubt, the replicas get no record yet, unless the first event has come. The channel gets whether all
// replicas have the record, once they have it or can't be reached; it is nil if nothing was sent.
func (r *Registry) Begin(s Stream, seq uint32, e catalog.Engine, at time.Duration, firstEvent bool) <-chan bool {
	version := e.Version
	inDoubt := r.InDoubt(e, at)
	if inDoubt {
		version = ""
	}
	now := r.Clock()
	record := s.record(seq, e.Service, version)
	if inDoubt {
		record.Engine, record.Born = e.ID, e.Born
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.history.Has(e.Service, e.Version) {
		// The first stream at a new version: other routers may not know of it yet.
		r.history.Observe(map[string][]string{e.Service: {e.Version}}, now)
		r.updateMultiVersion(now)
	}
	delete(r.doubtful, record.Key)
	if inDoubt {
		r.doubtful[record.Key] = begun{record: record, engine: e, at: at, until: now + record.Left}
	}
	return r.put(record, now, firstEvent)
}

// Renew records that this router resumes the stream at its version.
func (r *Registry) Renew(s Stream, service, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.put(s.record(0, service, version), r.Clock(), false)
}

// put records an own stream and sends the record to its replicas if they need it. They need one that
// states no version, if they have no other and final is set. The caller holds the mutex.
func (r *Registry) put(record origin.Record, now time.Duration, final bool) <-chan bool {
	entry := r.table.Put(record, now)
	if entry == nil {
		return nil
	}
	entry.Own = true
	needed := r.leaving || r.MultiVersion(record.Service)
	if entry.Version == "" {
		needed = final
	}
	if !entry.Replicated && !needed {
		return nil
	}
	entry.Replicated = true
	return r.send(entry.Record, r.replicas(record.Key))
}

// Known reports whether the version that began an own stream is known.
func (r *Registry) Known(s Stream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record, ok := r.table.Get(origin.KeyOf(s.Account, s.ID), r.Clock())
	return ok && record.Known()
}

// replicas returns the routers that keep the record of a stream. The caller holds the mutex.
func (r *Registry) replicas(key origin.Key) []origin.Member {
	return origin.Replicas(key, r.recordRouters())
}

// recordRouters returns the routers that keep records. The caller holds the mutex.
func (r *Registry) recordRouters() []origin.Member {
	if len(r.eligible) == 0 {
		r.updateFleet(r.Clock())
	}
	return r.eligible
}

// send sends a record to the members, except this router. The channel gets whether all have it, once they do or
// can't be reached; it is nil if there are none. The caller holds the mutex.
func (r *Registry) send(record origin.Record, to []origin.Member) <-chan bool {
	var peers []feed.Peer
	for _, m := range to {
		if p, ok := r.peers[m.Name]; ok && m.Name != r.Self {
			peers = append(peers, p)
		}
	}
	return r.replicator.add(record, peers)
}

// Run follows the versions of the engines and the routers of the fleet until the context ends.
func (r *Registry) Run(ctx context.Context) {
	expiredAt := r.Clock()
	for pause.For(ctx, reviewInterval) {
		now := r.Clock()
		r.review(now)
		if now-expiredAt >= expireInterval {
			expiredAt = now
			r.expire(now)
		}
	}
}

// review records the versions that serve now, and sends records that now need replicas, or other ones.
func (r *Registry) review(now time.Duration) {
	snapshot := r.Snapshot()
	versions := versionsOf(snapshot)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.SetWindow(streamTime(snapshot.Config))
	r.history.Observe(versions, now)
	r.updateMultiVersion(now)
	r.reviewDoubtful(now)
	if previous, changed := r.updateFleet(now); changed {
		r.rebalance(previous, now)
	}
}

// streamTime returns how long ago a stream may have begun that a caller resumes: it may be an attempt's
// time in its second attempt.
func streamTime(c *catalog.Config) (longest time.Duration) {
	if c == nil {
		return 0
	}
	for i := range c.Routes {
		if r := &c.Routes[i]; r.Kind == catalog.Streaming && r.Resumable {
			longest = max(longest, 2*r.Timeout+lifeMargin)
		}
	}
	return longest
}

// versionsOf returns the versions of the engines of each service.
func versionsOf(s *catalog.Snapshot) map[string][]string {
	out := make(map[string][]string)
	for service, byVersion := range s.Engines.Versions() {
		for version := range byVersion {
			out[service] = append(out[service], version)
		}
	}
	return out
}

// updateMultiVersion notes the services with several versions. The records of streams that this router has
// begun there are sent to their replicas from now on. The caller holds the mutex.
func (r *Registry) updateMultiVersion(now time.Duration) {
	r.updateEstablished(now)
	next := make(map[string]bool)
	for service, versions := range r.history.All() {
		if len(versions) > 1 {
			next[service] = true
		}
	}
	previous := *r.multiVersion.Load()
	r.multiVersion.Store(&next)
	for service := range next {
		if previous[service] {
			continue
		}
		r.Log.Info("several versions serve", "service", service, "versions", r.history.Versions(service))
		r.table.Each(now, func(e *origin.Entry) {
			if e.Own && !e.Replicated && e.Service == service && e.Version != "" {
				e.Replicated = true
				r.send(e.Record, r.replicas(e.Key))
			}
		})
	}
	for service := range previous {
		if !next[service] {
			r.Log.Info("one version serves", "service", service, "versions", r.history.Versions(service))
		}
	}
}

// ReviewDoubtful is called when an engine may no longer be in doubt.
func (r *Registry) ReviewDoubtful() {
	now := r.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reviewDoubtful(now)
}

// reviewDoubtful completes the records of streams whose engine has turned out not to have been
// restarted. The caller holds the mutex.
func (r *Registry) reviewDoubtful(now time.Duration) {
	for key, b := range r.doubtful {
		if now < b.until && r.InDoubt(b.engine, b.at) {
			continue
		}
		delete(r.doubtful, key)
		current, known := r.Snapshot().Engines.ByID[b.engine.ID]
		if now < b.until && known && current.Version == b.engine.Version && !current.RestartOf(b.engine) {
			record := b.record.Settled(b.engine.Version)
			record.Left = b.until - now
			r.put(record, now, true)
		}
	}
}

// updateFleet notes the routers that keep records, and returns the former ones and whether they have
// changed. The caller holds the mutex.
func (r *Registry) updateFleet(now time.Duration) (previous []origin.Member, changed bool) {
	live := r.Live()
	peers := make(map[string]feed.Peer, len(live))
	members := make([]origin.Member, 0, len(live))
	for _, p := range live {
		peers[p.Name] = p
		if now < r.unsupported[p.Name] {
			continue
		}
		members = append(members, origin.Member{Name: p.Name, Site: p.Site, Link: p.Link})
	}
	for name := range r.peers {
		if _, ok := peers[name]; !ok {
			r.lostAt = now
		}
	}
	r.hadPeers = r.hadPeers || len(peers) > 1
	previous, r.peers = r.eligible, peers
	if slices.Equal(members, r.members) {
		return previous, false
	}
	r.members, r.eligible = members, origin.Eligible(members)
	return previous, !slices.Equal(previous, r.eligible)
}

// rebalance sends records to routers that have become their replicas. The caller holds the mutex.
func (r *Registry) rebalance(previous []origin.Member, now time.Duration) {
	r.table.Each(now, func(e *origin.Entry) {
		if !e.Replicated {
			return
		}
		before := origin.Replicas(e.Key, previous)
		if !e.Own && !origin.Contains(before, r.Self) {
			return
		}
		r.send(e.Record, without(origin.Replicas(e.Key, r.eligible), before))
	})
}

// complete reports whether all versions that have begun streams lately are known to this router. A
// router that is cut off from others may miss those that have appeared since. The caller holds the
// mutex.
func (r *Registry) complete(now time.Duration) bool {
	if !r.history.Complete(now) {
		return false
	}
	return r.connected(now) || r.Snapshot().EnginesAge(now) <= freshFor
}

// connected reports whether no other router has been lost lately. The caller holds the mutex.
func (r *Registry) connected(now time.Duration) bool {
	return !r.hadPeers || r.lostAt == 0 || now-r.lostAt > origin.Window
}

// mayMissVersions reports whether other routers, which this one has lost, may know of engines that
// registered before a time and that this one has not read since. Otherwise the history has all versions of
// that time.
func (r *Registry) mayMissVersions(at time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, snapshot := r.Clock(), r.Snapshot()
	switch {
	case r.connected(now):
		return false
	case snapshot.EnginesAsOf < at:
		return true
	}
	r.history.Observe(versionsOf(snapshot), now)
	return false
}

func (r *Registry) expire(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Expire(now)
	for name, until := range r.unsupported {
		if now >= until {
			delete(r.unsupported, name)
		}
	}
}

// setUnsupported notes that a router keeps no records.
func (r *Registry) setUnsupported(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsupported[name] = r.Clock() + unsupportedFor
}

// Leave sends the records of this router to those that keep them without it, and waits until they have
// them or the context ends. Live must not return this router any more. Streams that begin later are
// recorded by their replicas at once.
func (r *Registry) Leave(ctx context.Context) {
	for _, done := range r.handOver(r.Clock()) {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Registry) handOver(now time.Duration) (waits []<-chan bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	before := r.eligible
	r.updateFleet(now)
	r.table.Each(now, func(e *origin.Entry) {
		to := origin.Replicas(e.Key, r.eligible)
		if e.Replicated {
			to = without(to, origin.Replicas(e.Key, before))
		}
		e.Replicated = true
		if done := r.send(e.Record, to); done != nil {
			waits = append(waits, done)
		}
	})
	return waits
}

// without returns the members that are not among others.
func without(members, others []origin.Member) []origin.Member {
	return slices.DeleteFunc(members, func(m origin.Member) bool { return origin.Contains(others, m.Name) })
}

// Stats is the state of a registry for metrics.
type Stats struct {
	// Records is the number of records held, and Doubtful of those whose engine may have been restarted.
	Records  int `json:"records"`
	Doubtful int `json:"doubtful"`
	Dropped  int `json:"dropped"`
	// Sent counts records sent to replicas, and ReplicateCalls the calls for that.
	Sent           int64 `json:"replicated"`
	ReplicateCalls int64 `json:"replicate_calls"`
	// Lookups counts streams that callers resumed here; Found, Only and Unknown how these ended.
	Lookups  int64               `json:"lookups"`
	Found    int64               `json:"found"`
	Only     int64               `json:"only_version"`
	Unknown  int64               `json:"unknown"`
	Versions map[string][]string `json:"versions"`
	// Stored are the versions that the store holds, as far as is known.
	Stored map[string][]string `json:"stored"`
	// Complete is set if Versions are known to be all of the last seconds.
	Complete bool `json:"complete"`
}

// Stats returns the state for metrics.
func (r *Registry) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := &r.counters
	return Stats{
		Records: r.table.Len(), Doubtful: len(r.doubtful), Dropped: r.table.Dropped,
		Sent: c.sent.Load(), ReplicateCalls: c.replicateCalls.Load(),
		Lookups: c.lookups.Load(), Found: c.found.Load(), Only: c.only.Load(), Unknown: c.unknown.Load(),
		Versions: r.history.All(), Stored: r.stored, Complete: r.complete(r.Clock()),
	}
}
