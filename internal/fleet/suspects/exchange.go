package suspects

import (
	"maps"
	"sync"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
)

// EndRecord is the unexpected end of an engine.
type EndRecord struct {
	Engine string
	Site   string
	// Age is the time since the end was noticed.
	Age time.Duration
	// The rest is as in quarantine.End. Routers of earlier releases do not send it.
	Peers              int
	Answered, Exposure time.Duration
	Requests           []uint64
	Born               int64
}

// Record is an entry of a quarantine.Table as sent to another router. Ages are as of the time
// at which the record was created.
type Record struct {
	Fingerprint    []byte
	Hint           uint32
	Account, Route string
	Generation     uint32
	Ends           []EndRecord
	Lapsed         uint32
	Quarantined    bool
	QuarantineAge  time.Duration
	ChangeAge      time.Duration
	// Outlived and Completed are the ages of the answers that speak for the suspect; nil for none.
	Outlived, Completed *time.Duration
}

// PartRecord is the record of a part of prompts. Parts have a list of their own, which routers of
// earlier releases do not read: they would take a part for a request.
type PartRecord struct {
	Service, ID string
	// Record is without Fingerprint and Hint.
	Record Record
}

// Records holds the suspects of one message.
type Records struct {
	Requests []Record
	Parts    []PartRecord
}

// Len returns the number of records.
func (r Records) Len() int { return len(r.Requests) + len(r.Parts) }

// newRecord returns the record of an entry, without what identifies the suspect.
func newRecord(e quarantine.Entry, now time.Duration) Record {
	out := Record{
		Account: e.Account, Route: e.Route, Generation: e.Generation, Lapsed: e.Lapsed,
		Quarantined: e.Quarantined, ChangeAge: now - e.ChangedAt,
		Outlived: ageOf(e.OutlivedAt, now), Completed: ageOf(e.CompletedAt, now),
	}
	if e.Quarantined {
		out.QuarantineAge = now - e.QuarantinedAt
	}
	for _, end := range e.Ends {
		out.Ends = append(out.Ends, EndRecord{
			Engine: end.Engine, Born: end.Born, Site: end.Site, Age: now - end.At, Peers: end.Peers, Answered: end.Answered, Exposure: end.Exposure, Requests: end.Requests,
		})
	}
	return out
}

func ageOf(at, now time.Duration) *time.Duration {
	if at == 0 {
		return nil
	}
	age := now - at
	return &age
}

// timeOf is the inverse of ageOf.
func timeOf(age *time.Duration, now time.Duration) time.Duration {
	if age == nil {
		return 0
	}
	return now - *age
}

// entry returns the entry, without what identifies the suspect.
func (r Record) entry(now time.Duration) quarantine.Entry {
	out := quarantine.Entry{
		Suspect:    quarantine.Suspect{Account: r.Account, Route: r.Route},
		Generation: r.Generation, Lapsed: r.Lapsed, Quarantined: r.Quarantined, ChangedAt: now - r.ChangeAge,
		OutlivedAt: timeOf(r.Outlived, now), CompletedAt: timeOf(r.Completed, now),
	}
	if r.Quarantined {
		out.QuarantinedAt = now - r.QuarantineAge
	}
	for _, end := range r.Ends {
		out.Ends = append(out.Ends, quarantine.End{
			Engine: end.Engine, Born: end.Born, Site: end.Site, At: now - end.Age, Peers: end.Peers, Answered: end.Answered, Exposure: end.Exposure, Requests: end.Requests,
		})
	}
	return out
}

// newRecords returns the records of entries.
func newRecords(entries []quarantine.Entry, now time.Duration) Records {
	var out Records
	for _, e := range entries {
		r := newRecord(e, now)
		if e.Key().IsPart() {
			out.Parts = append(out.Parts, PartRecord{Service: e.Part.Service, ID: e.Part.ID, Record: r})
			continue
		}
		r.Fingerprint, r.Hint = e.Fingerprint[:], e.Hint
		out.Requests = append(out.Requests, r)
	}
	return out
}

// entries returns the entries of records that were sent at a time on the boot clock. Malformed ones are
// skipped.
func (r Records) entries(sent time.Duration) []quarantine.Entry {
	var out []quarantine.Entry
	for _, request := range r.Requests {
		e := request.entry(sent)
		if len(request.Fingerprint) != len(e.Fingerprint) {
			continue
		}
		copy(e.Fingerprint[:], request.Fingerprint)
		e.Hint = request.Hint
		out = append(out, e)
	}
	for _, part := range r.Parts {
		if part.Service == "" || part.ID == "" {
			continue
		}
		e := part.Record.entry(sent)
		e.Part = quarantine.NewPart(part.Service, part.ID)
		out = append(out, e)
	}
	return out
}

// Args is the request of an exchange of suspects.
type Args struct {
	// From is the name of the requesting router. It is empty in pulls and exchanges of loads, which
	// name it.
	From string
	// Records and Parts hold the suspects that changed since the last revision that the called router is
	// known to have received, and Revision is the current one.
	Records  []Record
	Parts    []PartRecord
	Revision uint64
	// Have is the revision of the called router's suspects that the requesting one holds, and
	// HaveInstance the process of the called router; both are zero for none.
	Have, HaveInstance uint64
}

// Reply is the reply of an exchange of suspects.
type Reply struct {
	// Instance is the process of the replying router, Revision that of its suspects, and Records and
	// Parts what the requesting router lacks.
	Instance, Revision uint64
	Records            []Record
	Parts              []PartRecord
	// Heard is the revision of the requesting router's suspects that the replying one has received.
	Heard uint64
}

// Len returns the number of records.
func (a *Args) Len() int { return len(a.Records) + len(a.Parts) }

// Exchange is the state of the exchanges with the routers that this one calls. It is safe for
// concurrent use.
type Exchange struct {
	mu     sync.Mutex
	byPeer map[string]*peerState
}

// peerState is the state of the exchange with one router.
type peerState struct {
	// have and haveInstance are what this router holds of the other one. acked is the revision of
	// this router's suspects that the other one has received.
	have, haveInstance, acked uint64
	// restarted is set while the other router may lack what it reported itself before it restarted.
	restarted bool
	// usedAt is when a request was last created, and sentAt when one with records was.
	usedAt, sentAt time.Duration
}

// unconfirmedResend is how often records are sent to a router that has confirmed none. One of an
// earlier release never does.
const unconfirmedResend = time.Second

// peerLifetime is how long a router that is no longer called is remembered.
const peerLifetime = 10 * time.Second

// Request returns the request to send to a router.
func (e *Exchange) Request(to string, s *Set, now time.Duration) *Args {
	e.mu.Lock()
	defer e.mu.Unlock()
	peer := e.peer(to, now)
	out := &Args{Have: peer.have, HaveInstance: peer.haveInstance}
	var entries []quarantine.Entry
	unconfirmed := peer.haveInstance == 0 && peer.sentAt != 0 && now-peer.sentAt < unconfirmedResend
	if s.Revision() > peer.acked && !unconfirmed {
		peer.sentAt = now
		known := to
		if peer.restarted {
			known = ""
		}
		entries, out.Revision = s.ChangedSince(peer.acked, known)
		records := newRecords(entries, now)
		out.Records, out.Parts = records.Requests, records.Parts
	}
	return out
}

// peer returns the state of the exchange with a router, and forgets routers that are no longer
// called. The caller holds the mutex.
func (e *Exchange) peer(name string, now time.Duration) *peerState {
	peer := e.byPeer[name]
	if peer == nil {
		peer = &peerState{}
		if e.byPeer == nil {
			e.byPeer = make(map[string]*peerState)
		}
		maps.DeleteFunc(e.byPeer, func(_ string, p *peerState) bool { return now-p.usedAt > peerLifetime })
		e.byPeer[name] = peer
	}
	peer.usedAt = now
	return peer
}

// HandleReply applies the reply of a router. A reply without an instance says that there is nothing
// to reply.
func (e *Exchange) HandleReply(from string, reply *Reply, s *Set, now time.Duration) {
	if reply == nil || reply.Instance == 0 {
		return
	}
	s.Merge(Records{reply.Records, reply.Parts}.entries(now), from)
	e.mu.Lock()
	defer e.mu.Unlock()
	peer := e.peer(from, now)
	if peer.haveInstance != reply.Instance {
		// The other router has restarted, or this is its first reply.
		peer.restarted = peer.haveInstance != 0
		peer.haveInstance, peer.have, peer.acked = reply.Instance, reply.Revision, reply.Heard
		if peer.restarted {
			peer.acked = 0
		}
		return
	}
	peer.have = max(peer.have, reply.Revision)
	peer.acked = max(peer.acked, reply.Heard)
	peer.restarted = peer.restarted && peer.acked == 0
}

// OwnChanges returns records of what this router itself learned since a revision, and the current
// revision.
func (s *Set) OwnChanges(since uint64, now time.Duration) (Records, uint64) {
	entries, revision := s.ownSince(since)
	return newRecords(entries, now), revision
}

// Receive merges the records of a requesting router. Routers of earlier releases send no request.
func (s *Set) Receive(from string, args *Args, now time.Duration) {
	if args != nil {
		s.Merge(Records{args.Records, args.Parts}.entries(now), from)
	}
}

// Reply returns the reply to a requesting router, or nil if there is nothing to reply.
func (s *Set) Reply(from string, args *Args, now time.Duration) *Reply {
	if args == nil || !s.HasNewer(args) && args.Revision == 0 {
		return nil
	}
	since, known := args.Have, from
	if args.HaveInstance != s.Instance() {
		// The requesting router may have restarted, and lack what it reported itself before.
		since, known = 0, ""
	}
	entries, revision := s.ChangedSince(since, known)
	records := newRecords(entries, now)
	return &Reply{Instance: s.Instance(), Revision: revision, Records: records.Requests, Parts: records.Parts, Heard: args.Revision}
}

// HasNewer reports whether a requesting router may lack a suspect.
func (s *Set) HasNewer(args *Args) bool {
	if args == nil {
		return false
	}
	if args.HaveInstance != s.Instance() {
		return args.HaveInstance != 0 || s.Revision() > 0
	}
	return s.Revision() > args.Have
}
