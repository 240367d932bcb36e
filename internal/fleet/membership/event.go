package membership

// EventType is the type of a membership event.
type EventType uint8

// The event types.
const (
	EventJoined EventType = iota + 1
	EventSuspected
	EventRefuted
	EventLeaving
	EventDead
	EventForgotten
	// EventSelfRefuted means that this router was suspected or declared dead and raised its
	// incarnation.
	EventSelfRefuted
	// EventSelfLeaving means that this router was marked as leaving, by itself or by others.
	EventSelfLeaving
	// EventThawed means that this process resumed after it was suspended.
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

// Event is one change of the member table.
type Event struct {
	Type   EventType
	Member Member
}

// maxPendingEvents bounds the events kept until the next call of Events. Beyond it the oldest
// are dropped.
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
