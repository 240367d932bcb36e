package forward

import (
	"net/http"

	"damaskrouter.example/damaskrouter/internal/base/engineconn"
	"damaskrouter.example/damaskrouter/internal/decide/quarantine"
	"damaskrouter.example/damaskrouter/internal/edge/catalog"
)

// refusedPart returns the part of the prompt because of which no service of the route may execute the
// request; zero for none.
func (x *exchange) refusedPart() quarantine.Part {
	var refused quarantine.Part
	for _, service := range x.services() {
		if refused = x.tracker.Restriction(service).Refused; refused == (quarantine.Part{}) {
			return refused
		}
	}
	return refused
}

// recordProgress is called when a part of a stream has arrived. An answer that has gone on for long
// enough speaks for the parts of the prompt, unless the engine has ended meanwhile and what arrives was
// on its way.
func (x *exchange) recordProgress(e catalog.Engine, response *engineconn.Response) {
	if x.outlived || !x.provesParts() || x.answeredFor() < quarantine.Outlives || !response.Open() {
		return
	}
	x.outlived = true
	x.tracker.RecordAnswer(e.Service, x.answeredAt, false)
}

// recordCompletion records that an engine has completed the request.
func (x *exchange) recordCompletion(e catalog.Engine, status int) {
	if status < http.StatusMultipleChoices && x.provesParts() {
		x.tracker.RecordAnswer(e.Service, x.answeredAt, true)
	}
	x.tracker.RecordCompletion()
}

// provesParts reports whether the answer in progress is one to the whole request: an engine that resumes
// a stream may not do what crashes others.
func (x *exchange) provesParts() bool { return x.answeredAt > 0 && !x.stream.resumes && !x.resumed }
