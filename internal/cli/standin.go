package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"damaskrouter.example/damaskrouter/internal/store/platform"
	"github.com/integrii/flaggy"
)

// standinFlags are the flags of the commands that run stand-ins.
type standinFlags struct {
	listen   string
	store    string
	name     string
	site     string
	pool     string
	model    string
	version  string
	adapters []string
	base     string
	sites    string
	stepMS   int
}

func standinCommand() *command {
	f := &standinFlags{listen: "127.0.0.1:0", stepMS: 8}
	c := &command{sub: flaggy.NewSubcommand("standin")}
	c.sub.Description = "Run a stand-in for the platform's store, an engine or a plain service, for trials on one machine."
	runners := map[string]func(context.Context, *console, *standinFlags) error{
		"store": standinStore, "engine": standinEngine, "service": standinService,
	}
	subs := make(map[string]*flaggy.Subcommand)
	for _, kind := range []string{"store", "engine", "service"} {
		sub := flaggy.NewSubcommand(kind)
		sub.Description = "Run the stand-in " + kind + "."
		f.add(sub, kind)
		c.sub.AttachSubcommand(sub, 1)
		subs[kind] = sub
	}
	c.run = func(ctx context.Context, con *console) error {
		for kind, sub := range subs {
			if sub.Used {
				return runners[kind](ctx, con, f)
			}
		}
		return ErrUsage.New("say which stand-in to run: store, engine or service")
	}
	return c
}

func (f *standinFlags) add(sub *flaggy.Subcommand, kind string) {
	sub.String(&f.listen, "l", "listen", "The address to listen on.")
	if kind == "store" {
		sub.String(&f.base, "b", "base", "The base configuration to accept as the first version.")
		sub.String(&f.sites, "o", "overlays", "The folder with the sites' overlays.")
		return
	}
	sub.String(&f.store, "s", "store", "The address of the store, to be listed there.")
	sub.String(&f.name, "n", "name", "The name in the VM list.")
	sub.String(&f.site, "d", "site", "The data centre.")
	sub.String(&f.pool, "o", "pool", "The pool.")
	if kind == "engine" {
		sub.String(&f.model, "m", "model", "The model that is loaded.")
		sub.String(&f.version, "v", "model-version", "The version that is loaded.")
		sub.StringSlice(&f.adapters, "a", "adapter", "An adapter that is loaded; may be given several times.")
		sub.Int(&f.stepMS, "t", "step", "The time of one step, in milliseconds.")
	}
}

func standinStore(ctx context.Context, con *console, f *standinFlags) error {
	s := standin.NewStore()
	defer s.Close()
	return listenAndServe(ctx, con, f.listen, "store", s.Handler(), f.seed)
}

// seed stores the base configuration as the first version, if one is given.
func (f *standinFlags) seed(ctx context.Context, address string) error {
	if f.base == "" {
		return nil
	}
	b, err := config.ReadBundle(f.base, f.sites)
	if err != nil {
		return err
	}
	return standin.Seed(ctx, address, b)
}

func standinEngine(ctx context.Context, con *console, f *standinFlags) error {
	e := standin.NewEngine(standin.EngineOptions{
		Name: f.name, Model: f.model, Version: f.version, Adapters: f.adapters,
		StepTime: time.Duration(f.stepMS) * time.Millisecond,
	})
	defer e.Close()
	return listenAndServe(ctx, con, f.listen, "engine", e.Handler(), f.register(platform.KindEngine))
}

func standinService(ctx context.Context, con *console, f *standinFlags) error {
	s := standin.NewService(f.name)
	return listenAndServe(ctx, con, f.listen, "service", s.Handler(), f.register(platform.KindService))
}

// register returns a function that adds the stand-in to the store's VM list, if a
// store is given.
func (f *standinFlags) register(kind string) func(ctx context.Context, address string) error {
	return func(ctx context.Context, address string) error {
		if f.store == "" {
			return nil
		}
		return standin.Register(ctx, f.store, platform.VM{
			Name: f.name, Address: address, Site: f.site, Pool: f.pool, Kind: kind,
			State: platform.VMLive, Generation: 1,
		})
	}
}

func listenAndServe(ctx context.Context, con *console, listen, kind string, h http.Handler, onListen func(context.Context, string) error) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	con.log.Info("stand-in listening", "kind", kind, "address", ln.Addr().String())
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	served := make(chan error, 1)
	go func() { served <- srv.Serve(ln) }()
	if onListen != nil {
		if err := onListen(ctx, ln.Addr().String()); err != nil {
			return errors.Join(err, srv.Close())
		}
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
