package suspects

import (
	"slices"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/decide/rendezvous"
)

// Source holds the suspects. *Set implements it.
type Source interface {
	View() *quarantine.View
	// Clear discards what is held against a suspect, and returns false if nothing is.
	Clear(quarantine.Key) bool
	// Prove records an answer; see Set.Prove.
	Prove(Answer)
}

// Answer is an answer of an engine that speaks for a request and for the parts of its prompt: it has gone
// on for longer than quarantine.Outlives, or is complete.
type Answer struct {
	// Content is the Hash of the request's content, and Request its fingerprint; nil if it is no suspect.
	Content  uint64
	Request  *quarantine.Fingerprint
	Parts    []quarantine.Part
	Began    time.Duration
	Complete bool
}

// None is a Source without suspects.
type None struct{}

var noView = &quarantine.View{}

// View implements Source.
func (None) View() *quarantine.View { return noView }

// Clear implements Source.
func (None) Clear(quarantine.Key) bool { return false }

// Prove implements Source.
func (None) Prove(Answer) {}

// Tracker follows one request, through its attempts at engines, as a possible cause of their ends.
// The zero value is that of a request whose content is not known yet, against which nothing is held.
// It is not safe for concurrent use.
type Tracker struct {
	source  Source
	content quarantine.Content
	route   string
	// fingerprint is nil until it is needed.
	fingerprint *quarantine.Fingerprint
	// status is what is held against the request, by the view that was used last.
	status quarantine.Status
	view   *quarantine.View
	// cutBy holds the starts of engines whose connections broke during this request, and completed is set once
	// one has completed it.
	cutBy     []quarantine.EngineStart
	completed *atomic.Bool
	// prompt returns the IDs of the parts of the prompt that may crash engines; nil for no prompt. service
	// is the service for which parts and restriction were determined, and restrictionView the view by which
	// restriction was.
	prompt          func() []string
	service         string
	parts           []quarantine.Part
	restriction     Restriction
	restrictionView *quarantine.View
}

// NewTracker returns a Tracker of a request. The route is for operators only; prompt returns the IDs of
// the parts of its prompt that may crash engines whatever else the request holds, and is nil for a request
// without a prompt.
func NewTracker(source Source, content quarantine.Content, route string, prompt func() []string) Tracker {
	return Tracker{source: source, content: content, route: route, prompt: prompt}
}

// Restriction is what is held against the parts of a request's prompt at a service.
type Restriction struct {
	// Refused is the part because of which the request must not be sent to engines of the service.
	Refused quarantine.Part
	// Suspect is the part because of which it may be sent to one of them only.
	Suspect quarantine.Part
}

// Parts returns the parts of the prompt at a service.
func (t *Tracker) Parts(service string) []quarantine.Part {
	if t.prompt == nil {
		return nil
	}
	if t.service != service || t.parts == nil {
		t.service, t.restrictionView = service, nil
		t.parts = quarantine.NewParts(service, t.prompt())
	}
	return t.parts
}

// Restriction returns what is held against the parts of the prompt at a service.
func (t *Tracker) Restriction(service string) Restriction {
	if t.source == nil || t.prompt == nil {
		return Restriction{}
	}
	view := t.source.View()
	if !view.Restricts() {
		return Restriction{}
	}
	parts := t.Parts(service)
	if t.restrictionView != view {
		t.restriction, t.restrictionView = newRestriction(view, parts, t.content.Account), view
	}
	return t.restriction
}

// newRestriction determines what is held against the parts of a request of an account. Of several
// suspected parts the one under which most engines ended counts. A part in quarantine is tried, like a
// suspected one, if another part, which the request lacks, may be to blame in its place, and if only
// requests of another account have shown it to crash engines.
func newRestriction(view *quarantine.View, parts []quarantine.Part, account string) Restriction {
	var out Restriction
	most := 0
	for _, p := range parts {
		status := view.Part(p)
		if !status.Quarantined && !status.Suspected {
			continue
		}
		certain := !slices.ContainsFunc(status.With, func(other quarantine.Part) bool { return !slices.Contains(parts, other) })
		if status.Quarantined && certain && (status.Account == quarantine.AnyAccount || status.Account == account) {
			out.Refused = p
			return out
		}
		if n := len(status.Ends); n > most || n == most && p.String() < out.Suspect.String() {
			out.Suspect, most = p, n
		}
	}
	return out
}

// Status returns what is currently held against the request.
func (t *Tracker) Status() quarantine.Status {
	if t.source == nil {
		return quarantine.Status{}
	}
	view := t.source.View()
	if view == t.view {
		return t.status
	}
	t.view = view
	if t.fingerprint != nil {
		t.status = view.Status(t.content.Hint(), *t.fingerprint)
	} else {
		t.status, t.fingerprint = view.Find(t.content)
	}
	return t.status
}

// RecordCut records that the connection to a start of an engine broke.
func (t *Tracker) RecordCut(start quarantine.EngineStart) { t.cutBy = append(t.cutBy, start) }

// Suspect returns the request as a suspect, and a flag that is set once an engine has completed the
// request.
func (t *Tracker) Suspect() (quarantine.Suspect, *atomic.Bool) {
	if t.fingerprint == nil {
		f := t.content.Fingerprint()
		t.fingerprint = &f
	}
	if t.completed == nil {
		t.completed = new(atomic.Bool)
	}
	return quarantine.Suspect{
		Fingerprint: *t.fingerprint, Hint: t.content.Hint(), Account: t.content.Account, Route: t.route,
	}, t.completed
}

// maxChanceCuts is the number of engines that may end under a request before it is treated as their
// likely cause. An engine that ends for another reason ends under many requests, which another
// engine serves; few of them meet a second one.
const maxChanceCuts = 1

// LikelyCause reports whether more engines than maxChanceCuts have ended, or may have ended, under
// the request, or under a part of its prompt that was not answered lately. The router then no longer
// retries it by itself, and isolates it.
func (t *Tracker) LikelyCause() bool {
	return t.requestIsLikelyCause() || t.partIsLikelyCause()
}

func (t *Tracker) requestIsLikelyCause() bool {
	return t.Status().EndsWithout(t.cutBy)+len(t.cutBy) > maxChanceCuts
}

func (t *Tracker) partIsLikelyCause() bool {
	if t.source == nil || t.service == "" {
		return false
	}
	view := t.source.View()
	if !view.HasParts() {
		return false
	}
	return slices.ContainsFunc(t.Parts(t.service), func(p quarantine.Part) bool {
		status := view.Part(p)
		if status.Suspected || status.Quarantined {
			return true
		}
		return len(status.Ends) > 0 && !status.AnsweredLately && status.EndsWithout(t.cutBy)+len(t.cutBy) > maxChanceCuts
	})
}

// RecordCompletion records that an engine has completed the request, which shows that the request
// crashes no engines.
func (t *Tracker) RecordCompletion() {
	if t.completed != nil {
		t.completed.Store(true)
	}
	if len(t.Status().Ends) > 0 {
		t.source.Clear(quarantine.Key{Fingerprint: *t.fingerprint})
	}
}

// RecordAnswer records that an engine of a service has been answering the request, from a time on, for
// so long that neither the request nor a part of its prompt can have ended it, or, with complete, to the
// end. It must be called before RecordCompletion.
func (t *Tracker) RecordAnswer(service string, began time.Duration, complete bool) {
	if t.source == nil {
		return
	}
	a := Answer{Content: t.content.Hash(), Parts: t.Parts(service), Began: began, Complete: complete}
	if len(t.Status().Ends) > 0 {
		a.Request = t.fingerprint
	}
	t.source.Prove(a)
}

// ContentHash returns the Hash of the request's content.
func (t *Tracker) ContentHash() uint64 { return t.content.Hash() }

// IsolationKey returns the key by which the engines of a service for the request are ranked if it, or
// a part of its prompt, is the likely cause of the end of others, and zero otherwise. All routers send
// such requests, or all with that part, to the same engine, so that attempts at the same time end one
// engine, and different ones to different engines, so that the next end tells them apart.
func (t *Tracker) IsolationKey(service string) uint64 {
	if p := t.Restriction(service).Suspect; p != (quarantine.Part{}) {
		return max(rendezvous.ID(p.String()), 1)
	}
	if !t.requestIsLikelyCause() {
		return 0
	}
	request, _ := t.Suspect()
	return max(rendezvous.ID(string(request.Fingerprint[:])), 1)
}

// Fingerprint returns the fingerprint for the log, or an empty string if it was not needed.
func (t *Tracker) Fingerprint() string {
	if t.fingerprint == nil {
		return ""
	}
	return t.fingerprint.String()
}
