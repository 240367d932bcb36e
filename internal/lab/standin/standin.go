// Package standin creates the stand-ins of this repository: a store, engines
// and services that routers reach over their published protocols, on one
// machine, in tests and trials.
package standin

import (
	"context"
	"time"

	"damaskrouter.example/damaskrouter/internal/lab/standin/engine"
	"damaskrouter.example/damaskrouter/internal/lab/standin/service"
	"damaskrouter.example/damaskrouter/internal/store/config"
	api "damaskrouter.example/damaskrouter/internal/store/platform"
	"damaskrouter.example/damaskrouter/platform"
	"damaskrouter.example/damaskrouter/platform/standin"
	"github.com/zeebo/errs"
)

// ErrRegister is the class of failures to add a stand-in to the VM list.
var ErrRegister = errs.Class("standin: register")

// NewStore returns a stand-in for the platform's store.
func NewStore() *standin.Server { return standin.NewServer(standin.Options{}) }

// Seed writes a bundle as the first version of the configuration to the store at
// the address.
func Seed(ctx context.Context, address string, b config.Bundle) error {
	store := platform.NewStore(address, platform.Options{})
	_, err := config.NewChain(store, store.Objects(), time.Now).Accept(ctx, config.Change{
		Bundle: b, ChangeID: "standin-seed", Author: "standin", Comment: "first version",
	})
	return err
}

// EngineOptions configures a stand-in engine.
type EngineOptions struct {
	Name, Model, Version string
	Adapters             []string
	StepTime             time.Duration
	CacheTokens          int64
	PrefillPerMS         int
}

// NewEngine returns a stand-in engine.
func NewEngine(o EngineOptions) *engine.Engine {
	opts := engine.Defaults(o.Name, o.Model)
	opts.Version = o.Version
	opts.Adapters = o.Adapters
	opts.StepTime = o.StepTime
	if o.CacheTokens > 0 {
		opts.CacheTokens = o.CacheTokens
	}
	if o.PrefillPerMS > 0 {
		opts.PrefillPerMS = o.PrefillPerMS
	}
	return engine.New(opts)
}

// NewService returns a stand-in service.
func NewService(name string) *service.Service {
	return service.New(service.Options{Name: name})
}

const (
	// registerTimeout bounds Register.
	registerTimeout = 5 * time.Second
	// registerPause is the delay between two attempts.
	registerPause = 100 * time.Millisecond
)

// Register adds a VM to the list in the store at the address. It retries for up
// to five seconds, since a store that was started at the same time may not
// listen yet, and the fleet would stay without the stand-in. Errors: ErrRegister.
func Register(ctx context.Context, address string, vm api.VM) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	store := platform.NewStore(address, platform.Options{})
	for {
		err := api.PutVM(ctx, store, vm)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrRegister.Wrap(err)
		case <-time.After(registerPause):
		}
	}
}
