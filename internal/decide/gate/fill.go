package gate

import (
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// ErrEngineLoad means that what an engine states about its load can't be true.
var ErrEngineLoad = errs.Class("engine load")

// EngineLoad is what an engine states about its load in a response.
type EngineLoad struct{ Running, Waiting, Slots int }

// maxStatedLoad bounds each figure of a statement.
const maxStatedLoad = 1 << 20

// ParseEngineLoad reads a statement: requests running, requests waiting and slots, separated by commas.
// Further figures are ignored. stated is false if there is no statement. Errors: ErrEngineLoad.
func ParseEngineLoad(text string) (load EngineLoad, stated bool, err error) {
	if text == "" {
		return EngineLoad{}, false, nil
	}
	fields := strings.Split(text, ",")
	figures := []*int{&load.Running, &load.Waiting, &load.Slots}
	if len(fields) < len(figures) {
		return EngineLoad{}, false, ErrEngineLoad.New("%q", text)
	}
	for i, figure := range figures {
		n, err := strconv.Atoi(strings.TrimSpace(fields[i]))
		if err != nil || n < 0 || n > maxStatedLoad {
			return EngineLoad{}, false, ErrEngineLoad.New("%q", text)
		}
		*figure = n
	}
	return load, load.Slots > 0, nil
}

// full reports whether the engine has no free slot, or gets one only as the response is sent.
func (l EngineLoad) full() bool { return l.Running+l.Waiting >= l.Slots }

// Steps of Fill: a free slot while requests wait at the gate raises the limit by riseStep, and more than
// maxWaitingShare of the slots waiting at the engine lowers it by fallStep.
const (
	riseStep        = 0.25
	fallStep        = 0.5
	maxWaitingShare = 0.5
)

// Fill determines how many requests beyond its slots may be at an engine, so that its slots are busy
// although a request holds its permit for longer than its slot: on the way to the engine and back, and
// until the release reaches the gate. The zero value is ready to use. It is not safe for concurrent use.
//
// Load pattern: more short requests than the engine can serve. If one takes 30 ms at the engine and as
// long on its way, as many permits as slots keep half of the slots busy.
type Fill struct{ extra float64 }

// Observe records what an engine stated in a response. queued means that requests wait at the gate.
func (f *Fill) Observe(load EngineLoad, queued bool) {
	switch {
	case float64(load.Waiting) > maxWaitingShare*float64(load.Slots):
		f.extra = max(f.extra-fallStep, 0)
	case queued && !load.full():
		f.extra = min(f.extra+riseStep, float64(load.Slots))
	}
}

// Limit returns how many requests may be at the engine, given the number without statements and the most
// that are allowed.
func (f *Fill) Limit(places, most int) int {
	return max(places, min(places+int(f.extra), most))
}
