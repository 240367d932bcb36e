package router

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
)

// publish collects the metrics of the parts.
func (r *Router) publish() {
	r.vars.Set("traffic", r.traffic.Vars())
	r.vars.Set("admission", r.admission.Vars())
	r.vars.Set("store", expvar.Func(func() any { return r.stats.Snapshot() }))
	r.vars.Set("gossip", expvar.Func(func() any { return r.gossip.Counters() }))
	r.vars.Set("control_bytes", expvar.Func(func() any {
		udp, tcp := r.ControlBytes()
		return map[string]int64{"udp": udp, "tcp": tcp}
	}))
	r.vars.Set("config_version", expvar.Func(func() any { return r.board.Snapshot().ConfigVersion }))
	r.vars.Set("routers_live", expvar.Func(func() any { return len(r.board.Snapshot().Live) }))
}

// serveAdmin listens for operators, if the settings name an address.
func (r *Router) serveAdmin() error {
	if r.set.AdminListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", r.set.AdminListen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(r.vars.String()))
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	r.goRun(func(ctx context.Context) {
		stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
		defer stop()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			r.log.Error("operators' listener failed", "cause", err)
		}
	})
	return nil
}
