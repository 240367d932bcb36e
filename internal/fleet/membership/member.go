package membership

import "github.com/zeebo/errs"

// Bounds of the descriptive fields, in bytes. They bound the size of a row and
// with it the number of rows that fit a packet.
const (
	MaxName    = 64
	MaxAddress = 64
	MaxSite    = 32
)

// ErrMember is returned for a description of a member that is not usable.
var ErrMember = errs.Class("membership: invalid member")

// State is what a router believes of another router.
type State uint8

// The states, in order of precedence: within one incarnation a state is only
// ever replaced by a later one of this list. Only the router itself can raise
// its incarnation.
const (
	StateAlive State = iota
	// StateSuspect means that probes failed; the router may still refute.
	StateSuspect
	// StateLeaving means that the router drains and takes no new work.
	StateLeaving
	// StateLeavingSuspect is a leaving router whose probes failed. It is kept
	// apart from StateSuspect so that a suspicion never hides the leaving, and
	// it is reported to readers as StateLeaving.
	StateLeavingSuspect
	// StateDead means that the instance is gone.
	StateDead

	stateCount
)

var stateNames = [stateCount]string{"alive", "suspect", "leaving", "leaving", "dead"}

// String implements fmt.Stringer.
func (s State) String() string {
	if s.Valid() {
		return stateNames[s]
	}
	return "invalid"
}

// Valid reports whether s is one of the declared states.
func (s State) Valid() bool { return s < stateCount }

// suspected reports whether a suspicion runs against a member in this state.
func (s State) suspected() bool { return s == StateSuspect || s == StateLeavingSuspect }

// settled is the state without the suspicion.
func (s State) settled() State {
	switch s {
	case StateSuspect:
		return StateAlive
	case StateLeavingSuspect:
		return StateLeaving
	default:
		return s
	}
}

// Member describes one instance of a router process.
//
// An instance is identified by ID, a random number drawn at start. Neither the
// name nor the address identifies it: a replaced VM may come back with both.
type Member struct {
	Name string
	// ID is the instance id, random and never 0.
	ID uint64
	// Address is the UDP and RPC address, "ip:port".
	Address string
	// HTTP is the address for callers, "ip:port".
	HTTP string
	Site string
	// Generation is the platform's generation of the VM, 0 if not known.
	Generation uint64
	// Link is the bandwidth of the VM's link, in megabits a second, 0 if not known.
	Link uint64
	// Incarnation is raised by the instance itself to refute a suspicion.
	Incarnation uint64
	State       State
	// ConfigVersion is the head of the configuration that the member has.
	ConfigVersion uint64
}

// supersedes reports whether the update u replaces what is held in m.
func (u Member) supersedes(m Member) bool {
	if u.Incarnation != m.Incarnation {
		return u.Incarnation > m.Incarnation
	}
	return u.State > m.State
}

// compact drops the descriptive fields where the receiver needs only the
// verdict: a suspicion or a death concerns an instance it already knows.
func (m Member) compact() Member {
	if !m.State.suspected() && m.State != StateDead {
		return m
	}
	return Member{ID: m.ID, Incarnation: m.Incarnation, State: m.State}
}

// described reports whether the update carries the descriptive fields.
func (m Member) described() bool { return m.Name != "" }

// encodedSize is an upper estimate of the encoded size in bytes, used to bound
// packets before they are encoded.
func (m Member) encodedSize() int {
	const fixed = 39
	return fixed + len(m.Name) + len(m.Address) + len(m.HTTP) + len(m.Site)
}

// Validate checks the bounds of the fields. Errors: ErrMember.
func (m Member) Validate() error {
	switch {
	case m.ID == 0:
		return ErrMember.New("instance id 0")
	case !m.State.Valid():
		return ErrMember.New("state %d", uint8(m.State))
	case len(m.Name) > MaxName:
		return ErrMember.New("name of %d B", len(m.Name))
	case len(m.Address) > MaxAddress || len(m.HTTP) > MaxAddress:
		return ErrMember.New("addresses of %d and %d B", len(m.Address), len(m.HTTP))
	case len(m.Site) > MaxSite:
		return ErrMember.New("site of %d B", len(m.Site))
	}
	return nil
}
