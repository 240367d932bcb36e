package config

// MaxRejections bounds the rejected offers that a Follower remembers.
const MaxRejections = 32

// InForce is the configuration that a router acts on. It is immutable.
type InForce struct {
	Version   uint64
	Hash      Hash
	Bundle    Bundle
	Effective *Effective
}

// Rejection is an offer that was not put in force.
type Rejection struct {
	Version uint64
	// Hash is the hash that was offered, Actual that of the bundle.
	Hash, Actual Hash
	// Cause says why.
	Cause error
}

// Follower decides which version is in force at one router. Offers come from
// the store and from peers, in any order, repeated and damaged; the version in
// force only ever rises.
//
// It does no input or output and is not safe for concurrent use: it belongs
// to the thread that owns the control state.
type Follower struct {
	site       string
	current    *InForce
	rejections []Rejection
}

// NewFollower returns a follower for a router at the site. It has nothing in
// force: a router must not serve before its first version.
func NewFollower(site string) *Follower {
	return &Follower{site: site}
}

// InForce returns the configuration in force, or nil before the first.
func (f *Follower) InForce() *InForce { return f.current }

// Rejections returns the remembered rejected offers, oldest first.
func (f *Follower) Rejections() []Rejection { return f.rejections }

// Wants reports whether the version is worth fetching: newer than what is in
// force, and not one whose true content has been rejected already.
func (f *Follower) Wants(version uint64, hash Hash) bool {
	return version > f.version() && f.rejection(version, hash, hash) == nil
}

// Offer puts the bundle in force if its version is newer, and says whether it
// did. An older or equal version is no error.
//
// Errors: *ForkError for other content under the version in force;
// *RejectedError for a bundle that does not match its hash or cannot be used
// at this site. What was in force stays so.
func (f *Follower) Offer(version uint64, hash Hash, b Bundle) (applied bool, err error) {
	// What goes wrong otherwise: a router that was cut off still offers the
	// version it knows, and a neighbour that has gone on falls back to it. One
	// would see an accepted change disappear from some routers.
	if version < f.version() {
		return false, nil
	}
	if f.current != nil && version == f.version() {
		return false, f.checkFork(hash)
	}
	actual := b.Hash()
	if known := f.rejection(version, hash, actual); known != nil {
		return false, known.err()
	}
	next, err := f.compile(version, hash, actual, b)
	if err != nil {
		return false, f.reject(Rejection{Version: version, Hash: hash, Actual: actual, Cause: err})
	}
	f.current = next
	return true, nil
}

func (f *Follower) version() uint64 {
	if f.current == nil {
		return 0
	}
	return f.current.Version
}

func (f *Follower) checkFork(hash Hash) error {
	if hash == f.current.Hash {
		return nil
	}
	return &ForkError{Version: f.current.Version, InForce: f.current.Hash, Offered: hash}
}

// compile prepares the whole configuration before any of it is in force.
func (f *Follower) compile(version uint64, hash, actual Hash, b Bundle) (*InForce, error) {
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
	return &InForce{Version: version, Hash: hash, Bundle: b, Effective: effective}, nil
}

// rejection finds a remembered offer. The bundle's own hash is part of what is
// remembered: a peer's damaged copy must not shut out the sound one.
func (f *Follower) rejection(version uint64, hash, actual Hash) *Rejection {
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
	return r.err()
}

func (r *Rejection) err() error {
	return &RejectedError{Version: r.Version, Hash: r.Hash, Cause: r.Cause}
}
