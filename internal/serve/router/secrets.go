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

// secretPollPeriod is the time between two checks of the key and certificate files. Each step of a
// rotation takes effect within this time.
const secretPollPeriod = 5 * time.Second

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

// pollSecrets checks the key and certificate files until ctx ends.
func (r *Router) pollSecrets(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, secretPollPeriod)
		_ = r.ReloadSecrets()
	}
}

// ReloadSecrets applies changed keys and certificates without closing connections between routers
// that share a fleet key. After an error, which is logged and counted, the previous ones stay in
// use.
func (r *Router) ReloadSecrets() error {
	err := r.secrets.Check()
	// The keys are passed on at each check, changed or not, because the queue to gossip may have
	// been full the last time.
	if setErr := r.gossip.SetKeys(r.secrets.GossipKeys()); setErr != nil {
		r.log.Warn("fleet keys not passed to membership; retrying later", "cause", setErr)
	}
	r.peerServer.Sweep()
	return err
}

// callerListener adds TLS to the listener for callers if there is a certificate.
func (r *Router) callerListener(ln net.Listener) net.Listener {
	config := r.secrets.CallerTLS()
	if config == nil {
		r.log.Warn("serving callers without TLS")
		return ln
	}
	return tls.NewListener(ln, config)
}
