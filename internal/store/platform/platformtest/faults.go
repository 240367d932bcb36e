package platformtest

import (
	"context"

	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// write makes a call that has an effect, with its fault injected.
func (f *Fake) write(ctx context.Context, c Call, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return platform.ErrUnavailable.Wrap(err)
	}
	c = f.begin(ctx, c)
	// ctx ended while the hook simulated a slow store, after the request had
	// been sent.
	if err := ctx.Err(); err != nil {
		return f.end(c, platform.ErrOutcomeUnknown.Wrap(err))
	}
	return f.end(c, f.faultyWrite(c.Fault, effect))
}

func (f *Fake) faultyWrite(fault Fault, effect func() error) error {
	switch fault {
	case Down:
		return platform.ErrUnavailable.New("%s", fault)
	case LoseBeforeEffect:
		return platform.ErrOutcomeUnknown.New("%s", fault)
	case LoseReplyAfterEffect:
		_ = effect()
		return platform.ErrOutcomeUnknown.New("%s", fault)
	case LateEffect:
		f.delay(func() { _ = effect() })
		return platform.ErrOutcomeUnknown.New("%s", fault)
	case Duplicate:
		_ = effect()
		return effect()
	default:
		return effect()
	}
}

// read makes a call without effect, with its fault injected.
func (f *Fake) read(ctx context.Context, c Call, get func() error) error {
	if err := ctx.Err(); err != nil {
		return platform.ErrUnavailable.Wrap(err)
	}
	c = f.begin(ctx, c)
	if err := ctx.Err(); err != nil {
		return f.end(c, platform.ErrUnavailable.Wrap(err))
	}
	switch c.Fault {
	case Down, LoseBeforeEffect, LoseReplyAfterEffect:
		return f.end(c, platform.ErrUnavailable.New("%s", c.Fault))
	default:
		return f.end(c, get())
	}
}

// begin numbers a call, selects its fault and runs the Before hook.
func (f *Fake) begin(ctx context.Context, c Call) Call {
	f.mu.Lock()
	f.calls++
	c.N = f.calls
	c.Fault = f.nextFault(c.Op)
	hook := f.before
	f.mu.Unlock()
	// The hook runs without the lock, so that it may call the Fake.
	if hook != nil {
		hook(ctx, c)
	}
	return c
}

// nextFault removes and returns the next scripted fault. The caller must hold
// f.mu.
func (f *Fake) nextFault(op Op) Fault {
	if f.down {
		return Down
	}
	queue := f.script[op]
	if len(queue) == 0 {
		return None
	}
	f.script[op] = queue[1:]
	return queue[0]
}

// end records a call and runs the After hook.
func (f *Fake) end(c Call, err error) error {
	c.Err = err
	f.mu.Lock()
	f.history = append(f.history, c)
	hook := f.after
	f.mu.Unlock()
	if hook != nil {
		hook(c)
	}
	return err
}

// delay queues a write for DeliverLate.
func (f *Fake) delay(write func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayed = append(f.delayed, write)
}
