package membership

import "github.com/zeebo/errs"

// Limits of the descriptive fields, in bytes. They bound the size of a row and therefore the
// number of rows that fit into a packet.
const (
	MaxName    = 64
	MaxAddress = 64
	MaxSite    = 32
)

// ErrMember is returned for an invalid member description.
var ErrMember = errs.Class("membership: invalid member")

// State is the state of a router as seen by another router.
type State uint8

// The states, in order of precedence: within one incarnation a state is only replaced by a
// later one of this list. Only the router itself can raise its incarnation.
const (
	StateAlive State = iota
	// StateSuspect means that probes failed. The router can still refute the suspicion.
	StateSuspect
	// StateLeaving means that the router is draining and takes no new work.
	StateLeaving
	// StateLeavingSuspect is a leaving router whose probes failed. It is separate from
	// StateSuspect so that a suspicion does not hide that the router is leaving. Snapshot
	// reports it as StateLeaving.
	StateLeavingSuspect
	// StateDead means that the instance no longer exists.
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

// suspected reports whether s is a suspected state.
func (s State) suspected() bool { return s == StateSuspect || s == StateLeavingSuspect }

// withoutSuspicion returns the state that remains of s when the suspicion is removed.
func (s State) withoutSuspicion() State {
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
// An instance is identified by ID, a random number chosen at start. Neither name nor address
// identifies it: a replacement VM can reuse both.
type Member struct {
	Name string
	// ID is the instance ID, random and never 0.
	ID uint64
	// Address is the UDP and RPC address, "ip:port".
	Address string
	// HTTP is the address for callers, "ip:port".
	HTTP string
	Site string
	// Generation is the VM generation assigned by the platform, 0 if unknown.
	Generation uint64
	// Link is the bandwidth of the VM's network link in megabits per second, 0 if unknown.
	Link uint64
	// Incarnation is raised only by the instance itself, to refute a suspicion.
	Incarnation uint64
	State       State
	// ConfigVersion is the newest configuration version that the member has.
	ConfigVersion uint64
}

// supersedes reports whether the update u replaces m.
func (u Member) supersedes(m Member) bool {
	if u.Incarnation != m.Incarnation {
		return u.Incarnation > m.Incarnation
	}
	return u.State > m.State
}

// compact drops the descriptive fields of a suspected or dead member. The receiver needs only
// the state, because it already knows the instance.
func (m Member) compact() Member {
	if !m.State.suspected() && m.State != StateDead {
		return m
	}
	return Member{ID: m.ID, Incarnation: m.Incarnation, State: m.State}
}

// hasDescription reports whether the descriptive fields are set.
func (m Member) hasDescription() bool { return m.Name != "" }

// encodedSize returns an upper bound of the encoded size in bytes. It limits packets before
// they are encoded.
func (m Member) encodedSize() int {
	const fixed = 39
	return fixed + len(m.Name) + len(m.Address) + len(m.HTTP) + len(m.Site)
}

// Validate checks the ID, the state and the lengths of the fields. Errors: ErrMember.
func (m Member) Validate() error {
	switch {
	case m.ID == 0:
		return ErrMember.New("instance ID is 0")
	case !m.State.Valid():
		return ErrMember.New("unknown state %d", uint8(m.State))
	case len(m.Name) > MaxName:
		return ErrMember.New("name of %d B too long", len(m.Name))
	case len(m.Address) > MaxAddress || len(m.HTTP) > MaxAddress:
		return ErrMember.New("address of %d B or HTTP address of %d B too long", len(m.Address), len(m.HTTP))
	case len(m.Site) > MaxSite:
		return ErrMember.New("site of %d B too long", len(m.Site))
	}
	return nil
}
