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

// registerMetrics adds the metrics of the router's components to its variables.
func (r *Router) registerMetrics() {
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

// serveAdmin serves the administration API if the settings contain an address for it.
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
	r.adminAddress = ln.Addr().String()
	r.log.Info("serving administration API", "admin", r.adminAddress, "tls", r.set.TLS.Cert != "")
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
			r.log.Error("administration listener failed", "cause", err)
		}
	})
	return nil
}

// adminReadTimeout bounds the time to read a request of an operator, including its body.
const adminReadTimeout = 30 * time.Second

// listenAdmin opens the listener of the administration API. It uses TLS if the settings contain a
// certificate, because operators' tokens must not be sent over a network in clear text. The
// certificate is the one for callers and is reloaded with it.
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

// adminHandler returns the handler of the metrics and the administration API.
func (r *Router) adminHandler() (http.Handler, error) {
	server, err := admin.New(admin.Options{
		Board:         r.board,
		Loads:         r.admission.Admitted,
		Chain:         config.NewChain(admin.WithUse(r.table, platform.UseAdmin), r.objects, time.Now),
		Claims:        r.claims,
		Table:         r.table,
		InForce:       r.activeConfig,
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

// activeConfig returns the version and the text of the active configuration, or version 0 without
// one.
func (r *Router) activeConfig() (uint64, config.Bundle, error) {
	current := r.configs.Active()
	if current == nil {
		return 0, config.Bundle{}, nil
	}
	return current.Version, current.Bundle, nil
}

// Admin returns the address of the administration API. It is empty if this router does not serve
// it.
func (r *Router) Admin() string { return r.adminAddress }
