package forward

import (
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"github.com/zeebo/errs"
)

// Errors within an exchange.
var (
	errCallerLeft    = errs.Class("caller disconnected")
	errEngineRefused = errs.Class("engine refused")
)

// logAttempt logs why an attempt failed, and counts malformed responses.
func (x *exchange) logAttempt(e catalog.Engine, err error, waited time.Duration) {
	x.f.stats.recordMalformed(err)
	now := x.f.Clock()
	x.f.Log.Warn("attempt failed", "request", x.req.ID, "route", x.route.Name, "engine", e.ID,
		"address", e.Address, "attempt", x.sends, "waited", waited, "left", x.remaining(), "fingerprint", x.tracker.Fingerprint(),
		"parts", clipParts(x.req.SuspectParts()), "answered", x.answeredFor(), "engine_leaving", x.reply.Leaving, "engine_retry_after", x.reply.RetryAfter, "engines_revision", x.snapshot.Engines.Upto, "engines_age", x.snapshot.EnginesAge(now), "cause", err)
}

// logResumption logs and counts a stream that goes on at another engine within its response.
func (x *exchange) logResumption(from, to catalog.Engine, lastID string) {
	x.f.stats.recordResumption(from.Version == to.Version)
	x.f.Log.Info("stream resumed", "request", x.req.ID, "route", x.route.Name, "after", lastID,
		"from", from.ID, "from_version", from.Version, "to", to.ID, "to_version", to.Version)
}

// logNoResumption logs a stream that does not go on within its response.
func (x *exchange) logNoResumption(from catalog.Engine, lastID string, reason Reason) {
	x.f.Log.Warn("stream not resumed", "request", x.req.ID, "route", x.route.Name, "after", lastID,
		"from", from.ID, "version", x.stream.version, "reason", reason, "engines", x.snapshot.Engines.Versions()[x.stream.service])
}

// servedLogsPerSecond limits the log lines about successful requests. Failures are always logged,
// within the limit of the log itself.
const servedLogsPerSecond = 50

// log logs the outcome of a request, with the versions and ages of the state by which it was
// routed.
func (x *exchange) log(took time.Duration) {
	ok := x.outcome == ""
	if ok && !x.f.servedLogLimiter.Allow() {
		return
	}
	now := x.f.Clock()
	route, version := "", uint64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.snapshot.Config != nil {
		version = x.snapshot.Config.Version
	}
	fields := []any{
		"request", x.req.ID, "route", route, "status", x.status, "engine", x.engine, "fetch_from", x.fetchFrom,
		"asks", x.deniedPermits, "predicted_wait", x.predictedWait, "late", x.late, "sends", x.sends, "executed", x.executed, "took", took, "first_byte", x.firstByte,
		"config", version, "engines_revision", x.snapshot.Engines.Upto, "settings", x.f.Settings(),
		"engine_leaving", x.reply.Leaving,
	}
	if x.engineVersion != "" {
		fields = append(fields, "engine_version", x.engineVersion)
	}
	if x.unowned {
		fields = append(fields, "unowned", true)
	}
	if x.noMemory {
		need := x.need()
		fields = append(fields, "no_memory", true, "need", need.Prompt()+need.Output)
	}
	if x.account != nil {
		fields = append(fields, "account", x.account.Name)
	}
	if x.askedOf != "" && x.share < 1 {
		fields = append(fields, "within_share", x.share, "beyond_share", x.beyond)
	}
	if x.req.LastEvent != "" {
		fields = append(fields, "last_event", clip(x.req.LastEvent), "resumes", clip(x.req.Resumes))
	}
	if x.connectionEnd != "" {
		fields = append(fields, "connection_end", x.connectionEnd)
	}
	if x.events > 0 {
		fields = append(fields, "events", x.events)
	}
	if x.via != "" {
		fields = append(fields, "via", x.via)
	}
	if x.pausedFor > 0 {
		fields = append(fields, "all_paused_for", x.pausedFor)
	}
	fields = append(fields, x.snapshot.AgeFields(now)...)
	if sites := x.snapshot.Evacuations.Sites(); len(sites) > 0 {
		fields = append(fields, "evacuated", sites)
	}
	if ok {
		x.f.Log.Info("request served", fields...)
		return
	}
	if x.outcome == ReasonPartQuarantined {
		fields = append(fields, "part", x.refusedPart())
	}
	x.f.Log.Warn("request not served", append(fields, "reason", x.outcome, "fingerprint", x.tracker.Fingerprint(), "parts", clipParts(x.req.SuspectParts()), "answered", x.answeredFor())...)
}

const (
	// maxLoggedParts limits the prompt parts listed in a log line, and maxLoggedPartID the length of
	// their IDs, which callers choose, in bytes.
	maxLoggedParts  = 8
	maxLoggedPartID = 32
)

// clipParts returns the first prompt parts for a log line.
func clipParts(ids []string) []string {
	out := make([]string, 0, maxLoggedParts)
	for _, id := range ids[:min(len(ids), maxLoggedParts)] {
		out = append(out, id[:min(len(id), maxLoggedPartID)])
	}
	return out
}

// hashMod maps a key uniformly to the range from 0 to total-1.
func hashMod(key string, total int) int {
	if total <= 0 {
		return 0
	}
	return int(rendezvous.ID(key) % uint64(total))
}
