// Package secret manages the keys and certificates of a running router: the
// fleet keys for gossip and for calls between routers, the keys for hints and
// resume tokens, and the TLS certificates. Check reloads them from their files,
// so that a rotation needs no restart and closes no connection.
//
// The package starts no goroutines: its user calls Check every few seconds.
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

// ErrKeys means that the keys in the settings conflict with each other or cannot
// replace the active keys.
var ErrKeys = errs.Class("secret: keys")

// failureLogInterval is the minimum time between two log lines about failed
// checks, since an invalid file fails every check until it is corrected.
const failureLogInterval = time.Minute

// Options configures a Store.
type Options struct {
	// Settings hold the initial keys and the paths of the files.
	Settings *settings.Settings
	// Log logs a warning with alternating keys and values; nil discards it.
	Log func(message string, keyvals ...any)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Store holds the active keys and certificates. It is safe for concurrent use.
type Store struct {
	opts    Options
	current atomic.Pointer[keySet]
	// callerCerts and peerCerts are nil if the settings name no certificate.
	callerCerts, peerCerts *keys.CertReloader

	reloads, failures atomic.Uint64

	mu         sync.Mutex
	lastLogged time.Time
}

// Open loads the keys and certificates that the settings name and fails if any
// of them is invalid. Errors: ErrKeys, token.ErrKeys, those of keys.OpenCerts.
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
		if s.callerCerts, err = keys.OpenCerts(paths, s.opts.Now); err != nil {
			return err
		}
	}
	if set.PeerTLS.Cert == "" {
		return nil
	}
	paths := keys.CertPaths{Cert: set.PeerTLS.Cert, Key: set.PeerTLS.Key, CA: set.PeerTLS.CA, Router: set.Name}
	s.peerCerts, err = keys.OpenCerts(paths, s.opts.Now)
	return err
}

// Check reloads the files that have changed. If a set of keys or a certificate
// is invalid, the previous one stays in use and the next Check tries again. The
// failure is counted and is logged at most once per failureLogInterval. The
// returned error joins all failures.
func (s *Store) Check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := errors.Join(s.checkKeys(), s.checkCert(s.callerCerts), s.checkCert(s.peerCerts))
	if err != nil {
		s.logFailure(err)
	}
	return err
}

func (s *Store) checkKeys() error {
	changed, err := s.reloadKeys()
	return s.countResult(changed, err)
}

func (s *Store) checkCert(r *keys.CertReloader) error {
	if r == nil {
		return nil
	}
	return s.countResult(r.Check())
}

func (s *Store) countResult(changed bool, err error) error {
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
	if err := next.validateReplacement(old); err != nil {
		return false, err
	}
	s.current.Store(next)
	return true, nil
}

func (s *Store) logFailure(err error) {
	now := s.opts.Now()
	if !s.lastLogged.IsZero() && now.Sub(s.lastLogged) < failureLogInterval {
		return
	}
	s.lastLogged = now
	s.opts.Log("cannot reload keys or certificates; keeping the previous ones", "cause", err, "failures", s.failures.Load())
}
