package router

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"time"

	"damaskrouter.example/damaskrouter/internal/base/pause"
	"damaskrouter.example/damaskrouter/internal/secure/secret"
)

// secretInterval is how often the files of keys and certificates are looked
// at. Each step of a rotation is in force after this time.
const secretInterval = 5 * time.Second

func (r *Router) openSecrets() (err error) {
	r.secrets, err = secret.Open(secret.Options{
		Settings: r.set,
		Log:      func(message string, keyvals ...any) { r.log.Warn(message, keyvals...) },
	})
	if err != nil {
		return err
	}
	r.vars.Set("secrets", expvar.Func(func() any { return r.secrets.Status() }))
	r.vars.Set("peer", expvar.Func(func() any { return r.counters.Snapshot() }))
	return nil
}

// watchSecrets looks at the files until ctx ends.
func (r *Router) watchSecrets(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, secretInterval)
		_ = r.ReloadSecrets()
	}
}

// ReloadSecrets takes over changed keys and certificates without cutting a
// connection of this fleet. After an error, which is logged and counted, the
// old ones stay in use.
func (r *Router) ReloadSecrets() error {
	err := r.secrets.Check()
	// The keys are handed over at each check, changed or not: the queue to
	// gossip may have been full the last time.
	if setErr := r.gossip.SetKeys(r.secrets.Gossip()); setErr != nil {
		r.log.Warn("fleet keys not passed to membership; tried again", "cause", setErr)
	}
	r.calls.Sweep()
	return err
}

// callerListener puts TLS on the callers' listener if there is a certificate.
func (r *Router) callerListener(ln net.Listener) net.Listener {
	config := r.secrets.CallerTLS()
	if config == nil {
		r.log.Warn("callers are served without TLS")
		return ln
	}
	return tls.NewListener(ln, config)
}
