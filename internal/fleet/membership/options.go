package membership

import "time"

// Options are the timing and the bounds of a Detector. A zero field takes the
// value of DefaultOptions.
type Options struct {
	// Period is the time between two probes by one router.
	Period time.Duration
	// ProbeTimeout is the wait for a direct ack before others are asked.
	ProbeTimeout time.Duration
	// ProbeDeadline is the wait for any ack, counted from the first ping,
	// before the member is suspected.
	ProbeDeadline time.Duration
	// IndirectProbes is the number of members asked to ping on our behalf.
	IndirectProbes int
	// SuspicionTimeout is the time to refute at up to ten routers; it grows
	// with the logarithm of the fleet.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip while there are
	// updates to spread. Without any, none is sent.
	GossipInterval time.Duration
	// GossipFanout is the number of members a round of gossip goes to.
	GossipFanout int
	// RetransmitFactor is multiplied by ceil(log10(n+1)) to bound how often
	// one update is sent by one router.
	RetransmitFactor int
	// SyncPeriod is the time between two digests to a random member.
	SyncPeriod time.Duration
	// PageInterval is the least time between two pages of the table.
	PageInterval time.Duration
	// ContactPeriod is the time between two contacts with an address of the
	// seeds or the VM list that belongs to no known live member.
	ContactPeriod time.Duration
	// ContactDelay is how long after the start the first of these is made. Zero is for
	// routers that find others by packets only.
	ContactDelay time.Duration
	// DeadRetention is how long a dead instance is remembered.
	DeadRetention time.Duration
	// FreezeThreshold is the gap between two ticks after which the process
	// takes itself, not the others, to have stood still.
	FreezeThreshold time.Duration
	// Seeds are UDP addresses from the settings.
	Seeds []string
}

// DefaultOptions returns the options that the figures in README.md are for.
func DefaultOptions() Options {
	return Options{
		Period:           time.Second,
		ProbeTimeout:     300 * time.Millisecond,
		ProbeDeadline:    700 * time.Millisecond,
		IndirectProbes:   2,
		SuspicionTimeout: 1200 * time.Millisecond,
		GossipInterval:   200 * time.Millisecond,
		GossipFanout:     2,
		RetransmitFactor: 4,
		SyncPeriod:       10 * time.Second,
		PageInterval:     250 * time.Millisecond,
		ContactPeriod:    5 * time.Second,
		DeadRetention:    5 * time.Minute,
		FreezeThreshold:  500 * time.Millisecond,
	}
}

func (o Options) withDefaults() Options {
	def := DefaultOptions()
	for _, f := range []struct{ field, value *time.Duration }{
		{&o.Period, &def.Period},
		{&o.ProbeTimeout, &def.ProbeTimeout},
		{&o.ProbeDeadline, &def.ProbeDeadline},
		{&o.SuspicionTimeout, &def.SuspicionTimeout},
		{&o.GossipInterval, &def.GossipInterval},
		{&o.SyncPeriod, &def.SyncPeriod},
		{&o.PageInterval, &def.PageInterval},
		{&o.ContactPeriod, &def.ContactPeriod},
		{&o.DeadRetention, &def.DeadRetention},
		{&o.FreezeThreshold, &def.FreezeThreshold},
	} {
		if *f.field == 0 {
			*f.field = *f.value
		}
	}
	if o.IndirectProbes == 0 {
		o.IndirectProbes = def.IndirectProbes
	}
	if o.GossipFanout == 0 {
		o.GossipFanout = def.GossipFanout
	}
	if o.RetransmitFactor == 0 {
		o.RetransmitFactor = def.RetransmitFactor
	}
	return o
}
