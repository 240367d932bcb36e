// Package standin puts the stand-ins of this repository together: a platform,
// engines and plain services that the router meets over their published
// protocols, on one machine, in tests and trials.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"damaskrouter.example/damaskrouter/internal/config"
	"damaskrouter.example/damaskrouter/internal/platform"
	"damaskrouter.example/damaskrouter/internal/standin/engine"
	standinplatform "damaskrouter.example/damaskrouter/internal/standin/platform"
	"damaskrouter.example/damaskrouter/internal/standin/service"
	"github.com/zeebo/errs"
)

// ErrRegister means that a stand-in could not be listed in the VM list.
var ErrRegister = errs.Class("standin: register")

// Platform is the stand-in platform.
type Platform struct{ *standinplatform.Server }

// NewPlatform returns a platform that lists VMs without lag.
func NewPlatform() *Platform {
	return &Platform{Server: standinplatform.NewServer(standinplatform.Options{})}
}

// Seed accepts a bundle as the first version of the configuration of the
// platform at the URL.
func Seed(ctx context.Context, platformURL string, b config.Bundle) error {
	table, objects, _, _ := platform.Open(platform.OpenOptions{
		TableURL: platformURL, ObjectsURL: platformURL, VMsURL: platformURL,
	})
	_, err := config.NewChain(table, objects, time.Now).Accept(ctx, config.Change{
		Bundle: b, ChangeID: "standin-seed", Author: "standin", Comment: "first version",
	})
	return err
}

// EngineOptions are the settings of a stand-in engine that trials vary.
type EngineOptions struct {
	Name, Model, Version string
	Adapters             []string
	StepTime             time.Duration
	CacheTokens          int64
	PrefillPerMS         int
	// OrderToken is the token that orders must carry; empty asks for none.
	OrderToken string
}

// NewEngine returns a stand-in engine.
func NewEngine(o EngineOptions) *engine.Engine {
	opts := engine.Defaults(o.Name, o.Model)
	opts.Version = o.Version
	opts.Adapters = o.Adapters
	opts.StepTime = o.StepTime
	opts.OrderToken = o.OrderToken
	if o.CacheTokens > 0 {
		opts.CacheTokens = o.CacheTokens
	}
	if o.PrefillPerMS > 0 {
		opts.PrefillPerMS = o.PrefillPerMS
	}
	return engine.New(opts)
}

// NewService returns a stand-in plain service.
func NewService(name string) *service.Service {
	return service.New(service.Options{Name: name})
}

const (
	// registerTimeout bounds Register.
	registerTimeout = 5 * time.Second
	// registerPause is the wait between two attempts.
	registerPause = 100 * time.Millisecond
)

// Register lists a VM at a stand-in platform. It waits a moment for a platform
// that was started at the same time and doesn't listen yet; otherwise the
// stand-in would end, and one sees a fleet without engines. Errors: ErrRegister.
func Register(ctx context.Context, platformURL string, vm platform.VM) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	for {
		err := register(ctx, platformURL, vm)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(registerPause):
		}
	}
}

func register(ctx context.Context, platformURL string, vm platform.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return ErrRegister.Wrap(err)
	}
	u := platformURL + "/v1/vms/" + url.PathEscape(vm.Name)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, u, bytes.NewReader(body))
	if err != nil {
		return ErrRegister.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return ErrRegister.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return ErrRegister.New("status %d", resp.StatusCode)
	}
	return nil
}
