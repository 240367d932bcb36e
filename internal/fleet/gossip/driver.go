// Package gossip carries the messages of package membership over UDP.
//
// It holds the packet format, its authentication by a fleet key, the
// protection against replay, byte counters, and the driver that runs one
// membership state on one socket. Besides, it offers unreliable datagrams
// between routers under the same authentication.
package gossip

import (
	crand "crypto/rand"
	"encoding/binary"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"damaskrouter.example/damaskrouter/internal/fleet/membership"
	"damaskrouter.example/damaskrouter/internal/store/platform"
)

// tickInterval is how often the detector looks at its timers.
const tickInterval = 50 * time.Millisecond

// Bounds of the driver's queues.
const (
	receiveQueue = 256
	commandQueue = 256
)

// Config is what a Driver needs.
type Config struct {
	// Listen is the UDP address to bind, "ip:port".
	Listen string
	// Self describes this router. An Address that is empty becomes the bound
	// address, and an ID of 0 a random one.
	Self    membership.Member
	Options membership.Options
	Keys    Keys
	Log     Logger
}

// received is one packet from the socket.
type received struct {
	from string
	data []byte
}

// Driver runs an Endpoint on a UDP socket. One goroutine owns the endpoint;
// the methods hand it their work and are safe for concurrent use. Callbacks
// run on that goroutine: they must not block, but may call the methods other
// than Close.
type Driver struct {
	conn     *net.UDPConn
	end      *Endpoint
	started  time.Time
	packets  chan received
	commands chan func()
	stop     chan struct{}
	stopOnce sync.Once
	// ended is closed when the owner has ended.
	ended   chan struct{}
	running sync.WaitGroup
	self    membership.Member
	// links are the exchanges of members with other routers, by address; the owner's.
	links map[string]*membership.RosterLink

	snapshot atomic.Pointer[[]membership.Member]
	revision uint64
	onChange []func([]membership.Member)
	onItem   []func(membership.Item)
	onEvent  []func(membership.Event)
}

// Listen binds the socket and starts the driver. Errors: ErrConfig, ErrKeys,
// membership.ErrMember.
func Listen(cfg Config) (*Driver, error) {
	addr, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil {
		return nil, ErrConfig.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, ErrConfig.Wrap(err)
	}
	d, err := newDriver(cfg, conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	d.running.Add(2)
	go d.read()
	go d.run()
	return d, nil
}

func newDriver(cfg Config, conn *net.UDPConn) (*Driver, error) {
	self := cfg.Self
	if self.Address == "" {
		self.Address = conn.LocalAddr().String()
	}
	if self.ID == 0 {
		self.ID = randomID()
	}
	rng := rand.New(rand.NewSource(int64(randomID())))
	end, err := NewEndpoint(self, cfg.Options, cfg.Keys, rng, cfg.Log)
	if err != nil {
		return nil, err
	}
	d := &Driver{
		conn:     conn,
		end:      end,
		started:  time.Now(),
		packets:  make(chan received, receiveQueue),
		commands: make(chan func(), commandQueue),
		stop:     make(chan struct{}),
		ended:    make(chan struct{}),
		self:     self,
		links:    make(map[string]*membership.RosterLink),
	}
	d.publish()
	return d, nil
}

func randomID() uint64 {
	var buf [8]byte
	for {
		// crypto/rand.Read never returns an error; it ends the process.
		_, _ = crand.Read(buf[:])
		if id := binary.BigEndian.Uint64(buf[:]); id != 0 {
			return id
		}
	}
}

// read moves packets from the socket to the owner. The buffer is one byte
// larger than a packet may be, so that a longer one is seen to be.
func (d *Driver) read() {
	defer d.running.Done()
	buf := make([]byte, MaxPacket+1)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if d.stopping() {
				return
			}
			continue
		}
		sender := netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
		select {
		case d.packets <- received{sender, append([]byte(nil), buf[:n]...)}:
		default:
			d.end.counters.update(func(c *Counters) { c.Dropped++ })
		}
	}
}

func (d *Driver) stopping() bool {
	select {
	case <-d.stop:
		return true
	default:
		return false
	}
}

// run owns the endpoint.
func (d *Driver) run() {
	defer d.running.Done()
	defer close(d.ended)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			d.transmit(d.end.Depart())
			_ = d.conn.Close()
			return
		case p := <-d.packets:
			d.transmit(d.end.Receive(d.now(), p.from, p.data))
		case <-ticker.C:
			d.transmit(d.end.Tick(d.now()))
		case command := <-d.commands:
			command()
		}
		d.notify()
	}
}

func (d *Driver) now() time.Duration { return time.Since(d.started) }

func (d *Driver) transmit(packets []Packet) {
	for _, p := range packets {
		to, err := netip.ParseAddrPort(p.To)
		if err == nil {
			_, err = d.conn.WriteToUDPAddrPort(p.Data, to)
		}
		if err != nil {
			// The packet counts as lost: the protocol repeats what matters.
			d.end.counters.update(func(c *Counters) { c.Unsent++ })
		}
	}
}

// notify publishes what changed and calls the callbacks.
func (d *Driver) notify() {
	det := d.end.Detector()
	for _, event := range det.Events() {
		for _, f := range d.onEvent {
			f(event)
		}
	}
	for _, item := range det.UpdatedItems() {
		for _, f := range d.onItem {
			f(item)
		}
	}
	if det.Revision() == d.revision {
		return
	}
	d.publish()
	for _, f := range d.onChange {
		f(d.Snapshot())
	}
}

func (d *Driver) publish() {
	det := d.end.Detector()
	d.revision = det.Revision()
	list := det.Snapshot()
	d.snapshot.Store(&list)
}

// enqueue hands work to the owner. Errors: ErrBusy.
func (d *Driver) enqueue(command func()) error {
	select {
	case d.commands <- command:
		return nil
	default:
		return ErrBusy.New("%d commands wait", commandQueue)
	}
}

// Self returns this router's description as it was at the start.
func (d *Driver) Self() membership.Member { return d.self }

// Snapshot returns all known members as of the last change; see
// membership.Detector.Snapshot. The slice must not be modified.
func (d *Driver) Snapshot() []membership.Member { return *d.snapshot.Load() }

// Counters returns the traffic so far.
func (d *Driver) Counters() Counters { return d.end.Counters() }

// OnChange adds a callback for each change of the snapshot, and calls it with
// the present one. Errors: ErrBusy.
func (d *Driver) OnChange(f func([]membership.Member)) error {
	return d.enqueue(func() {
		d.onChange = append(d.onChange, f)
		f(d.Snapshot())
	})
}

// OnItem adds a callback for each newer item, and calls it with those already
// known. Errors: ErrBusy.
func (d *Driver) OnItem(f func(membership.Item)) error {
	return d.enqueue(func() {
		d.onItem = append(d.onItem, f)
		for _, item := range d.end.Detector().Items() {
			f(item)
		}
	})
}

// OnEvent adds a callback for each event. Errors: ErrBusy.
func (d *Driver) OnEvent(f func(membership.Event)) error {
	return d.enqueue(func() { d.onEvent = append(d.onEvent, f) })
}

// OnDatagram sets the handler of a channel. It holds from when it returns.
func (d *Driver) OnDatagram(channel uint8, handle DatagramHandler) {
	d.end.OnDatagram(channel, handle)
}

// SendTo sends a datagram of at most MaxDatagram bytes to a member. It may be
// lost. Errors: ErrTooLarge, ErrUnknownMember, ErrBusy.
func (d *Driver) SendTo(id uint64, channel uint8, payload []byte) error {
	if len(payload) > MaxDatagram {
		return ErrTooLarge.New("%d B", len(payload))
	}
	if !d.reachable(id) {
		return ErrUnknownMember.New("%x", id)
	}
	payload = append([]byte(nil), payload...)
	return d.enqueue(func() {
		packets, err := d.end.Datagram(id, channel, payload)
		if err != nil {
			// The member died since the check; a datagram may be lost.
			return
		}
		d.transmit(packets)
	})
}

func (d *Driver) reachable(id uint64) bool {
	for _, m := range d.Snapshot() {
		if m.ID == id {
			return m.State != membership.StateDead
		}
	}
	return false
}

// Broadcast spreads an item to all members; see membership.Detector.Broadcast.
// An item beyond membership.MaxItems is logged and dropped. Errors:
// membership.ErrItem, ErrBusy.
func (d *Driver) Broadcast(item membership.Item) error {
	if err := item.Validate(); err != nil {
		return err
	}
	return d.enqueue(func() {
		if err := d.end.Detector().Broadcast(item); err != nil {
			d.end.log("item refused", "kind", item.Kind, "key", item.Key, "error", err)
		}
	})
}

// SetConfigVersion records the configuration head of this router.
// Errors: ErrBusy.
func (d *Driver) SetConfigVersion(version uint64) error {
	return d.enqueue(func() { d.end.Detector().SetConfigVersion(version) })
}

// ObserveVMs hands over the platform's VM list. Errors: ErrBusy.
func (d *Driver) ObserveVMs(vms []platform.VM) error {
	return d.enqueue(func() { d.end.Detector().ObserveVMs(vms) })
}

// SetKeys replaces the keys, for a rotation. Errors: ErrKeys, ErrBusy.
func (d *Driver) SetKeys(keys Keys) error {
	if err := keys.Validate(); err != nil {
		return err
	}
	return d.enqueue(func() { _ = d.end.SetKeys(keys) })
}

// SetSeeds replaces the addresses to contact that belong to no known live member. Errors: ErrBusy.
func (d *Driver) SetSeeds(seeds []string) error {
	return d.enqueue(func() { d.end.Detector().SetSeeds(seeds) })
}

// Leave marks this router as leaving; it is still probed and still answers.
// Errors: ErrBusy.
func (d *Driver) Leave() error {
	return d.enqueue(func() { d.end.Detector().Leave() })
}

// Close announces the exit, closes the socket and waits for the goroutines.
func (d *Driver) Close() {
	d.stopOnce.Do(func() { close(d.stop) })
	d.running.Wait()
}
