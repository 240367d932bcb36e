package membership

import "time"

// Options are the timing and the limits of a Detector. Except for ContactDelay and Seeds, a
// zero field takes the value from DefaultOptions.
type Options struct {
	// Period is the time between two probes by this router.
	Period time.Duration
	// ProbeTimeout is how long to wait for a direct ack before indirect probes start.
	ProbeTimeout time.Duration
	// ProbeDeadline is how long to wait for any ack, counted from the first ping, before the
	// member is suspected.
	ProbeDeadline time.Duration
	// IndirectProbes is the number of members asked to ping on behalf of this router.
	IndirectProbes int
	// SuspicionTimeout is how long a suspect has to refute in a fleet of up to ten routers. In
	// larger fleets it grows with the logarithm of the size.
	SuspicionTimeout time.Duration
	// GossipInterval is the time between two rounds of gossip. A round takes place only while
	// updates are pending.
	GossipInterval time.Duration
	// GossipFanout is the number of members that a round of gossip is sent to.
	GossipFanout int
	// RetransmitFactor times ceil(log10(n+1)) is how often one router sends one update in a
	// fleet of n routers.
	RetransmitFactor int
	// SyncPeriod is the average time between two digests to a random member.
	SyncPeriod time.Duration
	// PageInterval is the minimum time between two pages of the table.
	PageInterval time.Duration
	// ContactPeriod is the time between two digests to an address from the seeds or the VM list
	// that belongs to no known live member.
	ContactPeriod time.Duration
	// ContactDelay is the time from the start to the first of these digests. It is zero for
	// routers that find others only by packets.
	ContactDelay time.Duration
	// DeadRetention is how long a dead instance is remembered.
	DeadRetention time.Duration
	// FreezeThreshold is the gap between two ticks after which the router assumes that its own
	// process was suspended, rather than that the others failed.
	FreezeThreshold time.Duration
	// Seeds are UDP addresses from the settings.
	Seeds []string
}

// DefaultOptions returns the options that the figures in README.md refer to.
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
