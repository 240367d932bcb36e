package forward

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
	"damaskrouter.example/damaskrouter/internal/fleet/suspects"
	"github.com/stretchr/testify/require"
)

// fakeSuspects is a table without other routers.
type fakeSuspects struct{ table *quarantine.Table }

func (s fakeSuspects) View() *quarantine.View { return s.table.View() }

func (s fakeSuspects) Clear(k quarantine.Key) bool {
	_, ok := s.table.Clear(k, time.Hour)
	return ok
}

func (s fakeSuspects) Prove(suspects.Answer) {}

// newSuspectExchange returns an exchange whose request is held responsible for the end of engines.
func newSuspectExchange(engines ...string) (*exchange, fakeSuspects) {
	suspects := fakeSuspects{quarantine.NewTable(quarantine.DefaultLimits())}
	x := &exchange{
		f: New(Options{Suspects: suspects, Clock: func() time.Duration { return time.Hour }}),
		r: httptest.NewRequest("POST", "/a", strings.NewReader("body")), body: []byte("body"),
		route: &catalog.Route{Kind: catalog.Idempotent, Attempts: 5},
	}
	x.r.RequestURI = "/a"
	x.trackSuspicion()
	for _, e := range engines {
		request, _ := x.tracker.Suspect()
		suspects.table.RecordEnd(quarantine.End{Engine: e, At: time.Hour}, []quarantine.Cut{{Request: request}}, time.Hour)
	}
	x.trackSuspicion()
	return x, suspects
}

// Guards against a router that repeats a request until it has ended an engine with each attempt of
// the route.
func TestRouterDoesNotRetryAfterSecondCut(t *testing.T) {
	for _, test := range []struct {
		ended, cut []string
		retries    bool
	}{
		{nil, nil, true},
		{nil, []string{"e1"}, true},
		{[]string{"e1"}, []string{"e1"}, true},
		{nil, []string{"e1", "e2"}, false},
		{[]string{"e1"}, []string{"e2"}, false},
		{[]string{"e1", "e2"}, []string{"e2"}, false},
	} {
		x, _ := newSuspectExchange(test.ended...)
		x.executed = len(test.cut)
		for _, e := range test.cut {
			x.tracker.RecordCut(quarantine.EngineStart{ID: e})
		}
		result := x.retryIfAllowed(maybeExecuted(502, ReasonNoAnswer))
		require.Equal(t, test.retries, result.action == actionTryNext, "%+v", test)
	}
}

// Guards against an answer that promises that a request has not run although an earlier attempt may
// have run it.
func TestRefusedSuspectThatMayHaveRunGetsItsLastResult(t *testing.T) {
	x, _ := newSuspectExchange("e1", "e2", "e3", "e4", "e5")
	last := maybeExecuted(502, ReasonNoAnswer)
	require.Equal(t, ReasonQuarantined, x.suspicionRefusal(x.checkSuspicion(), last).Reason)
	x.executed = 1
	require.Equal(t, last, x.suspicionRefusal(x.checkSuspicion(), last))
}

// Guards against a request that stays suspect although an engine has completed it.
func TestCompletionClearsSuspect(t *testing.T) {
	x, suspects := newSuspectExchange("e1", "e2")
	require.Nil(t, x.checkSuspicion())
	require.NotZero(t, x.tracker.IsolationKey("svc"))
	x.tracker.RecordCompletion()
	require.Empty(t, suspects.table.Entries())
}

// Guards against requests of other accounts, paths or bodies that are refused with a suspect.
func TestOtherRequestsAreNotRefused(t *testing.T) {
	var engines []string
	for i := range 5 {
		engines = append(engines, fmt.Sprint("e", i))
	}
	x, suspects := newSuspectExchange(engines...)
	require.Equal(t, ReasonQuarantined, x.checkSuspicion().Reason)
	for name, change := range map[string]func(*exchange){
		"account": func(x *exchange) { x.account = &catalog.Account{Name: "other"} },
		"path":    func(x *exchange) { x.r.RequestURI = "/a?b" },
		"body":    func(x *exchange) { x.body = []byte("ydob") },
		"host":    func(x *exchange) { x.r.Host = "other" },
	} {
		other, _ := newSuspectExchange()
		other.f = New(Options{Suspects: suspects, Clock: func() time.Duration { return time.Hour }})
		change(other)
		other.trackSuspicion()
		require.Nil(t, other.checkSuspicion(), name)
		require.Zero(t, other.tracker.IsolationKey("svc"), name)
	}
}
