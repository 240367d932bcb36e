// Package secret holds the keys and certificates of one running router: the
// fleet keys of gossip and of calls between routers, the keys of hints and
// resume tokens, and the certificates of TLS. Check replaces them in place
// from the files that they came from, so that a rotation neither restarts a
// process nor cuts a connection.
//
// The package starts nothing: its owner calls Check every few seconds.
package secret

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/secure/keys"
	"damaskrouter.example/damaskrouter/internal/serve/settings"
	"github.com/zeebo/errs"
)

// ErrKeys means that keys in the settings cannot be used, together or in place
// of those in use.
var ErrKeys = errs.Class("secret: keys")

// logInterval is the least time between two log lines about failed checks. A
// bad file fails every check until somebody mends it.
const logInterval = time.Minute

// Options configures a Store.
type Options struct {
	// Settings say where the keys and certificates are.
	Settings *settings.Settings
	// Log writes one warning with keys and values in turn; nil discards.
	Log func(message string, keyvals ...any)
	// Now replaces the clock in tests.
	Now func() time.Time
}

// Store holds the keys and certificates in use. It is safe for concurrent use.
type Store struct {
	opts    Options
	current atomic.Pointer[keySet]
	// callers and peers are nil where the settings name no certificate.
	callers, peers *keys.CertReloader

	reloads, failures atomic.Uint64

	mu     sync.Mutex
	logged time.Time
}

// Open reads everything that the settings name. Unlike Check it fails on
// anything that cannot be used, as there is nothing older to keep.
// Errors: ErrKeys, those of package keys and token.ErrKeys.
func Open(o Options) (*Store, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	s := &Store{opts: o}
	set := o.Settings
	current, err := newKeySet(settings.KeySet{Fleet: set.FleetKeys, Hint: set.HintKeys})
	if err != nil {
		return nil, err
	}
	s.current.Store(current)
	return s, s.openCerts()
}

func (s *Store) openCerts() (err error) {
	set := s.opts.Settings
	if set.TLS.Cert != "" {
		paths := keys.CertPaths{Cert: set.TLS.Cert, Key: set.TLS.Key}
		if s.callers, err = keys.OpenCerts(paths, s.opts.Now); err != nil {
			return err
		}
	}
	if set.PeerTLS.Cert == "" {
		return nil
	}
	paths := keys.CertPaths{Cert: set.PeerTLS.Cert, Key: set.PeerTLS.Key, CA: set.PeerTLS.CA, Router: set.Name}
	s.peers, err = keys.OpenCerts(paths, s.opts.Now)
	return err
}

// Check reads the files again and takes over what has changed. What cannot be
// used is counted, logged once in a while, and leaves the old in use; the next
// Check tries it again. The error joins what failed.
func (s *Store) Check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.checkKeys(), s.checkCert(s.callers), s.checkCert(s.peers))
	if err != nil {
		s.logFailure(err)
	}
	return err
}

func (s *Store) checkKeys() error {
	changed, err := s.reloadKeys()
	return s.count(changed, err)
}

func (s *Store) checkCert(r *keys.CertReloader) error {
	if r == nil {
		return nil
	}
	return s.count(r.Check())
}

func (s *Store) count(changed bool, err error) error {
	switch {
	case err != nil:
		s.failures.Add(1)
	case changed:
		s.reloads.Add(1)
	}
	return err
}

func (s *Store) reloadKeys() (changed bool, err error) {
	read, err := s.opts.Settings.ReadKeys()
	if err != nil {
		return false, err
	}
	next, err := newKeySet(read)
	if err != nil {
		return false, err
	}
	old := s.current.Load()
	if next.equal(old) {
		return false, nil
	}
	if err := next.mayFollow(old); err != nil {
		return false, err
	}
	s.current.Store(next)
	return true, nil
}

func (s *Store) logFailure(err error) {
	now := s.opts.Now()
	if !s.logged.IsZero() && now.Sub(s.logged) < logInterval {
		return
	}
	s.logged = now
	s.opts.Log("keys or certificates not reloaded; the old ones stay in use", "cause", err, "failures", s.failures.Load())
}
