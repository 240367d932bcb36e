package config

// MaxRejections is the maximum number of rejected offers that a Follower keeps.
const MaxRejections = 32

// Active is the active configuration of a router. It is immutable.
type Active struct {
	Version   uint64
	Hash      Hash
	Bundle    Bundle
	Effective *Effective
}

// Rejection is an offered version that was not activated.
type Rejection struct {
	Version uint64
	// Hash is the hash that was offered, Actual the hash of the bundle itself.
	Hash, Actual Hash
	// Cause is the reason for the rejection.
	Cause error
}

// Follower decides which version is active at one router. Offers come from the
// store and from peers, in any order, and may be repeated or damaged. The active
// version never decreases.
//
// A Follower does no I/O. It is not safe for concurrent use; only the goroutine
// that owns the control state may use it.
type Follower struct {
	site       string
	active     *Active
	rejections []Rejection
}

// NewFollower returns a follower for a router at the site. It has no active
// configuration; a router must not serve before its first version.
func NewFollower(site string) *Follower {
	return &Follower{site: site}
}

// Active returns the active configuration, or nil before the first version.
func (f *Follower) Active() *Active { return f.active }

// Rejections returns the last rejected offers, oldest first, at most
// MaxRejections.
func (f *Follower) Rejections() []Rejection { return f.rejections }

// ShouldFetch reports whether the version should be fetched: it is newer than the
// active one, and its undamaged content has not been rejected before.
func (f *Follower) ShouldFetch(version uint64, hash Hash) bool {
	return version > f.version() && f.findRejection(version, hash, hash) == nil
}

// Offer activates the bundle if its version is newer than the active one, and
// reports whether it did. An older or equal version is not an error.
//
// Errors: *ForkError for other content under the active version;
// *RejectedError for a bundle that does not match its hash or can't be used at
// this site. After an error, the active configuration is unchanged.
func (f *Follower) Offer(version uint64, hash Hash, b Bundle) (applied bool, err error) {
	// A router that was partitioned still offers the last version it received.
	// If its peers applied that version, an accepted change would disappear
	// from some routers.
	if version < f.version() {
		return false, nil
	}
	if f.active != nil && version == f.version() {
		return false, f.checkFork(hash)
	}
	actual := b.Hash()
	if previous := f.findRejection(version, hash, actual); previous != nil {
		return false, previous.asError()
	}
	next, err := f.build(version, hash, actual, b)
	if err != nil {
		return false, f.reject(Rejection{Version: version, Hash: hash, Actual: actual, Cause: err})
	}
	f.active = next
	return true, nil
}

func (f *Follower) version() uint64 {
	if f.active == nil {
		return 0
	}
	return f.active.Version
}

func (f *Follower) checkFork(hash Hash) error {
	if hash == f.active.Hash {
		return nil
	}
	return &ForkError{Version: f.active.Version, InForce: f.active.Hash, Offered: hash}
}

// build checks the offer and builds the complete configuration, so that no part
// of the configuration becomes active unless all of it is usable.
func (f *Follower) build(version uint64, hash, actual Hash, b Bundle) (*Active, error) {
	if version == 0 {
		return nil, ErrCorrupt.New("versions start at 1")
	}
	if actual != hash {
		return nil, ErrCorrupt.New("bundle has hash %s, not %s", actual, hash)
	}
	parsed, err := b.Parse()
	if err != nil {
		return nil, err
	}
	effective, err := NewEffective(parsed.Document, parsed.Overlays, f.site)
	if err != nil {
		return nil, err
	}
	return &Active{Version: version, Hash: hash, Bundle: b, Effective: effective}, nil
}

// findRejection returns the recorded rejection of an offer, or nil. The lookup
// includes the actual hash of the bundle, because the rejection of a peer's
// damaged copy must not block an intact copy.
func (f *Follower) findRejection(version uint64, hash, actual Hash) *Rejection {
	for i := range f.rejections {
		r := &f.rejections[i]
		if r.Version == version && r.Hash == hash && r.Actual == actual {
			return r
		}
	}
	return nil
}

func (f *Follower) reject(r Rejection) error {
	if len(f.rejections) == MaxRejections {
		f.rejections = f.rejections[1:]
	}
	f.rejections = append(f.rejections, r)
	return r.asError()
}

func (r *Rejection) asError() error {
	return &RejectedError{Version: r.Version, Hash: r.Hash, Cause: r.Cause}
}
