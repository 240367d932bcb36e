package feed

import (
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/edge/health"
)

// loadLifetime is how long a load report of another router counts. Pulls arrive several times a
// second. If three are missed, the router is considered dead and its requests ended.
const loadLifetime = 1500 * time.Millisecond

// parentName stands for the router that reports the loads of the rest of the fleet.
const parentName = "parent"

// Loads combines the loads of this router with those reported by others. It is safe for concurrent
// use.
type Loads struct {
	// own returns the current loads of this router in a map that the caller may modify.
	own func() map[string]EngineLoad
	// OnLeaving is called with the announcements in each report of another router and the name of
	// that router, or parentName; nil for nothing. It must be set before the first report.
	OnLeaving func(starts []catalog.LeavingStart, from string)
	// OwnAccounts returns the rates to report of this router's requests, in a map that the caller may
	// modify; nil for none. It must be set before the first report.
	OwnAccounts func() AccountRates

	mu sync.Mutex
	// leavingChangedAt is the time of the last new announcement.
	leavingChangedAt time.Duration
	children         map[string]*receivedReport
	parent           receivedReport
	// others is read for each request, without the mutex.
	others atomic.Pointer[othersLoads]
}

// othersLoads is the sum of the loads of all other routers.
type othersLoads struct {
	engines  map[string]EngineLoad
	accounts AccountRates
	// at is when it was computed.
	at time.Duration
}

// NewLoads returns a Loads. own is called for each report and must return a new map.
func NewLoads(own func() map[string]EngineLoad) *Loads {
	l := &Loads{own: own, children: make(map[string]*receivedReport)}
	l.others.Store(&othersLoads{})
	return l
}

// FromChild applies the report of a router that pulls from this one. It returns false if a full
// report is needed.
func (l *Loads) FromChild(from string, report LoadReport, now time.Duration) bool {
	l.notifyLeaving(report, from)
	l.mu.Lock()
	defer l.mu.Unlock()
	child := l.children[from]
	if child == nil {
		child = &receivedReport{}
		l.children[from] = child
	}
	ok := child.apply(report, now)
	l.refresh(now)
	return ok
}

// FromParent applies the report of the parent on the rest of the fleet. It returns false if a full
// report is needed.
func (l *Loads) FromParent(report LoadReport, now time.Duration) bool {
	l.notifyLeaving(report, parentName)
	l.mu.Lock()
	defer l.mu.Unlock()
	ok := l.parent.apply(report, now)
	l.refresh(now)
	return ok
}

// notifyLeaving passes on the announcements in a report. They hold whether or not its loads apply.
func (l *Loads) notifyLeaving(report LoadReport, from string) {
	if l.OnLeaving == nil {
		return
	}
	var starts []catalog.LeavingStart
	for id, load := range report.Engines {
		starts = append(starts, load.starts(id)...)
	}
	if len(starts) > 0 {
		l.OnLeaving(starts, from)
	}
}

// LeavingChanged records that an announcement became known at now, so that the next reports to other
// routers are not delayed.
func (l *Loads) LeavingChanged(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leavingChangedAt = now
}

// LeavingChangedAt returns the time of the last new announcement.
func (l *Loads) LeavingChangedAt() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leavingChangedAt
}

// RemoveChild drops the report of a child.
func (l *Loads) RemoveChild(from string, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.children, from)
	l.refresh(now)
}

// ClearParent drops the report of the parent. Its loads count until the report of the next parent
// arrives or they expire: without them all engines would seem to have little to do.
func (l *Loads) ClearParent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.parent = receivedReport{}
}

// Expire drops the loads of others at now if no report has arrived for loadLifetime. Reports drop the
// expired ones as they arrive, but a router whose last neighbor has ended gets none.
func (l *Loads) Expire(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.others.Load().at > loadLifetime {
		l.refresh(now)
	}
}

// Subtree returns the load of this router and its descendants.
func (l *Loads) Subtree(now time.Duration) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum("", now, false)
}

// WithoutChild returns the load of the whole fleet except what one child reported.
func (l *Loads) WithoutChild(child string, now time.Duration) LoadReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum(child, now, true)
}

// EngineCount returns the approximate number of engines in a report.
func (l *Loads) EngineCount() int {
	return len(l.others.Load().engines)
}

// Others returns the last known load of all other routers by engine ID. The map must not be
// modified.
func (l *Loads) Others() map[string]EngineLoad {
	return l.others.Load().engines
}

// OtherAccounts returns the last known rates of all other routers. The map must not be modified.
func (l *Loads) OtherAccounts() AccountRates {
	return l.others.Load().accounts
}

// OthersAge returns the time at now since Others last changed.
func (l *Loads) OthersAge(now time.Duration) time.Duration {
	return now - l.others.Load().at
}

func (l *Loads) sum(exceptChild string, now time.Duration, withParent bool) LoadReport {
	out := LoadReport{Engines: l.own()}
	if l.OwnAccounts != nil {
		out.Accounts = l.OwnAccounts()
	}
	l.addOthers(&out, exceptChild, now, withParent)
	l.dropUnneededLimits(&out)
	out.round()
	return out
}

// MinRejections is the decayed number of rejections of an engine below which none are known.
const MinRejections = 1.0 / 8

// dropUnneededLimits removes what engines have accepted from a report, except for engines of which
// rejections are known: only in relation to these does it matter.
func (l *Loads) dropUnneededLimits(out *LoadReport) {
	others := l.others.Load().engines
	for id, load := range out.Engines {
		if load.Accepted > 0 && load.Rejected < MinRejections && others[id].Rejected < MinRejections {
			load.SetLimits(health.Evidence{})
			out.Engines[id] = load
		}
	}
}

func (l *Loads) addOthers(out *LoadReport, exceptChild string, now time.Duration, withParent bool) {
	for name, child := range l.children {
		switch {
		case now-child.receivedAt > loadLifetime:
			delete(l.children, name)
		case name != exceptChild:
			out.add(child.report, now-child.receivedAt)
		}
	}
	if withParent && now-l.parent.receivedAt <= loadLifetime {
		out.add(l.parent.report, now-l.parent.receivedAt)
	}
}

func (l *Loads) refresh(now time.Duration) {
	out := LoadReport{Engines: make(map[string]EngineLoad)}
	l.addOthers(&out, "", now, true)
	l.others.Store(&othersLoads{engines: out.Engines, accounts: out.Accounts, at: now})
}
