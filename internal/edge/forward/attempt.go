package forward

import "damaskrouter.example/damaskrouter/internal/base/engineconn"

// attempt is a request at one engine, from the selection of the engine until end.
type attempt struct {
	engines *Balancer
	choice  Choice
	// response is nil until the engine has responded.
	response *engineconn.Response
	// executing is set if the engine may be executing the request.
	executing, ended bool
}

func (x *exchange) newAttempt(choice Choice) *attempt {
	return &attempt{engines: x.f.Engines, choice: choice}
}

// end closes a response that was not read completely with its connection, on which most engines stop
// the execution, and ends the count of the request at the engine. It may be called more than once.
func (a *attempt) end() {
	if a.ended {
		return
	}
	a.ended = true
	complete := false
	if a.response != nil {
		complete = a.response.Complete()
		a.response.Close()
	}
	if a.executing && !complete {
		a.engines.Abandon(a.choice)
	}
	a.engines.Done(a.choice)
}
