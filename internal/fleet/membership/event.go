package membership

// EventType is what happened to a member.
type EventType uint8

// The types of event.
const (
	EventJoined EventType = iota + 1
	EventSuspected
	EventRefuted
	EventLeaving
	EventDead
	EventForgotten
	// EventSelfRefuted means that this router had been suspected or declared
	// dead and raised its own incarnation.
	EventSelfRefuted
	// EventSelfLeaving means that this router learned that it is leaving.
	EventSelfLeaving
	// EventThawed means that this process stood still for a while.
	EventThawed
)

var eventNames = [...]string{
	"none", "joined", "suspected", "refuted", "leaving", "dead", "forgotten",
	"self-refuted", "self-leaving", "thawed",
}

// String implements fmt.Stringer.
func (t EventType) String() string {
	if int(t) < len(eventNames) {
		return eventNames[t]
	}
	return "unknown"
}

// Event is one change of the table.
type Event struct {
	Type   EventType
	Member Member
}

// maxPendingEvents bounds the events kept for a reader that does not drain
// them; the oldest are dropped.
const maxPendingEvents = 4096

func (d *Detector) emit(t EventType, m Member) {
	if len(d.events) == maxPendingEvents {
		d.events = d.events[1:]
	}
	d.events = append(d.events, Event{Type: t, Member: m})
}

// Events returns the events since the last call.
func (d *Detector) Events() []Event {
	events := d.events
	d.events = nil
	return events
}
