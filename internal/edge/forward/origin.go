package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/origins"
)

const (
	// recordWait bounds the wait for the replicas of a stream's record: the time after which one counts as
	// unreachable. Only a stream waits whose request was sent to engines of two versions, or whose engine is in
	// doubt. A replica that took longer than 50 ms had the record of the earlier send later, and the stream went
	// on at its version.
	recordWait = 500 * time.Millisecond
	// doubtWait is how long a stream waits for proof that an engine was not restarted while the engine is not
	// queried for its start, and doubtPoll how often it looks.
	doubtWait = 20 * time.Millisecond
	doubtPoll = 2 * time.Millisecond
	// maxRequestID is the longest ID by which a stream can be resumed, in bytes.
	maxRequestID = 256
)

// streamState is what a stream that can be resumed holds on to: a stream continues only at engines of the
// version that began it.
type streamState struct {
	// resumes is set if the request resumes a stream of an earlier one.
	resumes bool
	// service and version are those of the engine that began the stream. They are empty before the first
	// event, and for a stream that may continue anywhere.
	service, version string
	// doubtful is set if the stream has begun at an engine, beganAt, that may have been restarted with
	// another version, on a connection that was opened at openedAt. Its record tells whether that has been
	// settled since.
	doubtful bool
	beganAt  catalog.Engine
	openedAt time.Duration

	// id and seq distinguish this exchange and its records from others; sentTo is the version of the last
	// record, and recorded the channel that gets whether its replicas have it. versions is set once the request
	// was sent to engines of two versions.
	id       uint64
	seq      uint32
	sentTo   string
	versions bool
	recorded <-chan bool
}

// recordsOrigin reports whether the request begins a stream that can be resumed.
func (x *exchange) recordsOrigin() bool {
	return x.route.Kind == catalog.Streaming && x.route.Resumable && x.req.LastEvent == ""
}

// streamRecord returns the identity of the stream for its record.
func (x *exchange) streamRecord() origins.Stream {
	if x.stream.id == 0 {
		x.stream.id = origins.NewExchange()
	}
	s := origins.Stream{Account: x.accountName(), ID: x.req.ID, Exchange: x.stream.id, Life: defaultTimeout}
	if x.req.Timeout > 0 {
		s.Life = x.req.Timeout
	}
	if x.stream.resumes {
		s.ID = x.req.Resumes
	}
	return s
}

// recordBegin records the version to which the request is about to be sent.
func (x *exchange) recordBegin(e catalog.Engine) {
	switch {
	case x.stream.resumes && x.stream.version != "" && x.req.Resumes != "":
		x.f.Origins.Renew(x.streamRecord(), x.stream.service, x.stream.version)
	case x.recordsOrigin():
		x.f.Doubts.VerifyBegin(e)
		x.stream.seq++
		recorded := x.f.Origins.Begin(x.streamRecord(), x.stream.seq, e, x.f.Clock(), false)
		if x.stream.sentTo != "" && x.stream.sentTo != e.Version {
			x.stream.recorded, x.stream.versions = recorded, true
		}
		x.stream.sentTo = e.Version
	}
}

// beginStream holds the stream to the version of the engine that sends the first event, on a connection that was
// opened at openedAt. It returns false if a replica may keep the record of a send to an engine of another version:
// resumed there after this router has ended, the stream would go on at that one.
func (x *exchange) beginStream(e catalog.Engine, openedAt time.Duration) bool {
	if x.stream.resumes && x.stream.version != "" {
		return true
	}
	x.stream.service, x.stream.version = e.Service, e.Version
	if x.f.Doubts.InDoubtAt(e, openedAt) {
		x.stream.doubtful, x.stream.beganAt, x.stream.openedAt = true, e, openedAt
	}
	// The engine may have been in doubt when the request was sent, and not be for this connection.
	if x.recordsOrigin() && (x.stream.doubtful || !x.f.Origins.Known(x.streamRecord())) {
		x.stream.seq++
		x.stream.recorded = x.f.Origins.Begin(x.streamRecord(), x.stream.seq, e, openedAt, true)
	}
	if x.stream.recorded == nil {
		return true
	}
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case all := <-x.stream.recorded:
		return all || !x.stream.versions
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	return !x.stream.versions
}

// holdVersion reports whether it is known at which version the stream that has begun continues. It waits
// while the engine that began it is queried for its start.
func (x *exchange) holdVersion() bool {
	if !x.stream.doubtful {
		return x.stream.version != ""
	}
	e := x.stream.beganAt
	return x.awaitStart(e, func() bool {
		return !x.f.Doubts.InDoubtAt(e, x.stream.openedAt) || x.f.Origins.Known(x.streamRecord())
	})
}

// confirmVersion reports whether the response of an engine, on a connection that was opened at openedAt, is
// certainly of the version at which the stream continues. A request that begins a stream needs no certain
// version. While the engine is queried for its start, the request waits: another engine would have to be queried
// as well.
func (x *exchange) confirmVersion(e catalog.Engine, openedAt time.Duration) bool {
	if x.stream.version == "" {
		return true
	}
	x.f.Doubts.Verify(e)
	return x.awaitStart(e, func() bool { return !x.f.Doubts.InDoubtAt(e, openedAt) })
}

// awaitStart waits until known returns true, which proof that the engine was not restarted brings about. It
// returns false if there is none in time. A query that was in progress when the connection was opened proves
// nothing, so that the time is enough for two.
func (x *exchange) awaitStart(e catalog.Engine, known func() bool) bool {
	for waited := time.Duration(0); ; waited += doubtPoll {
		// An answer that comes after known was called ends the query, and known may begin one.
		querying := x.f.Doubts.Querying(e)
		if known() {
			return true
		}
		limit := doubtWait
		if querying || x.f.Doubts.Querying(e) {
			limit += 2 * queryTimeout
		}
		if waited >= limit || x.f.Doubts.Restarted(e) || !pause.For(x.r.Context(), doubtPoll) {
			return false
		}
	}
}

// findOrigin determines at which version the stream continues that the request resumes. If it is not
// known, the request is refused: the caller would get events that do not follow those it has.
func (x *exchange) findOrigin() *Refusal {
	if x.route.Kind != catalog.Streaming || x.req.LastEvent == "" {
		return nil
	}
	x.stream.resumes = true
	id := x.req.Resumes
	if len(id) > maxRequestID || id == x.req.ID {
		id = ""
	}
	found, err := x.f.Origins.Find(x.r.Context(), x.accountName(), id, x.services())
	if err != nil {
		x.f.Log.Warn("stream not resumed", "request", x.req.ID, "route", x.route.Name, "resumes", clip(x.req.Resumes), "after", clip(x.req.LastEvent), "reason", ReasonOriginUnknown, "cause", err)
		return notExecuted(ReasonOriginUnknown, retryLater)
	}
	x.stream.service, x.stream.version = found.Service, found.Version
	x.f.Log.Info("stream resumed by its caller", "request", x.req.ID, "route", x.route.Name, "resumes", clip(x.req.Resumes), "after", clip(x.req.LastEvent),
		"service", found.Service, "version", found.Version, "source", found.From, "age", found.Age)
	if !x.versionServes() {
		return notExecuted(ReasonVersionGone, retryLater)
	}
	return nil
}

// clip returns a value of a caller's header for a log line.
func clip(value string) string { return value[:min(len(value), maxRequestID)] }

// services returns the services to which the route sends requests.
func (x *exchange) services() []string {
	out := make([]string, 0, len(x.route.Backends))
	for _, b := range x.route.Backends {
		if b.Weight > 0 {
			out = append(out, b.Service)
		}
	}
	return out
}

// streamService returns the service at which the stream continues, unless the route does not use it any
// more.
func (x *exchange) streamService() []string {
	for _, service := range x.services() {
		if service == x.stream.service {
			return []string{service}
		}
	}
	return nil
}

// versionServes reports whether an engine takes requests at which the stream may continue.
func (x *exchange) versionServes() bool {
	if x.stream.version == "" {
		return true
	}
	x.snapshot = x.f.Snapshot()
	for _, service := range x.streamService() {
		for _, e := range x.snapshot.Engines.ForService(service) {
			if e.Version == x.stream.version && x.snapshot.TakesRequests(e) {
				return true
			}
		}
	}
	return false
}
