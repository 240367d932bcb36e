package router

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"expvar"
	"net"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/operate/admin"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// publish collects the metrics of the parts.
func (r *Router) publish() {
	r.vars.Set("traffic", r.traffic.Vars())
	r.vars.Set("admission", r.admission.Vars())
	r.vars.Set("claim_sweep", expvar.Func(func() any { return r.sweeper.Counts() }))
	r.vars.Set("store", expvar.Func(func() any { return r.stats.Snapshot() }))
	r.vars.Set("gossip", expvar.Func(func() any { return r.gossip.Counters() }))
	r.vars.Set("control_bytes", expvar.Func(func() any {
		udp, tcp := r.ControlBytes()
		return map[string]int64{"udp": udp, "tcp": tcp}
	}))
	r.vars.Set("upstream_bytes", expvar.Func(func() any { return r.upstream.Traffic() }))
	r.vars.Set("config_version", expvar.Func(func() any { return r.board.Snapshot().ConfigVersion }))
	r.vars.Set("routers_live", expvar.Func(func() any { return len(r.board.Snapshot().Live) }))
}

// serveAdmin listens for operators, if the settings name an address.
func (r *Router) serveAdmin() error {
	if r.set.AdminListen == "" {
		return nil
	}
	handler, err := r.adminHandler()
	if err != nil {
		return err
	}
	ln, err := r.listenAdmin()
	if err != nil {
		return err
	}
	r.admin = ln.Addr().String()
	r.log.Info("serving operators", "admin", r.admin, "tls", r.set.TLS.Cert != "")
	srv := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       adminReadTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          r.log.StandardLog(),
	}
	r.goRun(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("operators' listener failed", "cause", err)
		}
	})
	return nil
}

// adminReadTimeout bounds how slowly a call's body may come.
const adminReadTimeout = 30 * time.Second

// listenAdmin listens with TLS if the settings name a certificate: operators'
// tokens must not cross a network in clear. The certificate is the callers' own
// and follows its reloads.
func (r *Router) listenAdmin() (net.Listener, error) {
	ln, err := net.Listen("tcp", r.set.AdminListen)
	if err != nil {
		return nil, err
	}
	config := r.secrets.CallerTLS()
	if config == nil {
		return ln, nil
	}
	return tls.NewListener(ln, config), nil
}

// adminHandler serves the metrics and the administration API.
func (r *Router) adminHandler() (http.Handler, error) {
	server, err := admin.New(admin.Options{
		Board:         r.board,
		Loads:         r.admission.Admitted,
		Chain:         config.NewChain(admin.Charged(r.table, platform.UseAdmin), r.objects, time.Now),
		Claims:        r.claims,
		Table:         r.table,
		InForce:       r.inForce,
		Accepted:      r.configs.AnnounceAccepted,
		BootstrapHash: r.set.AdminTokenHash,
		Log:           r.log,
		Now:           time.Now,
		Rand:          rand.Reader,
	})
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(r.vars.String()))
	})
	mux.Handle("/", server.Handler())
	return mux, nil
}

// inForce is the configuration in force here, with its text.
func (r *Router) inForce() (uint64, config.Bundle, error) {
	current := r.configs.InForceNow()
	if current == nil {
		return 0, config.Bundle{}, nil
	}
	return current.Version, current.Bundle, nil
}

// Admin is where operators connect; empty if this router serves none.
func (r *Router) Admin() string { return r.admin }
