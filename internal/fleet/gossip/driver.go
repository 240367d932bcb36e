// Package gossip carries the messages of package membership over UDP.
//
// It contains the packet format, authentication by a fleet key, replay protection, byte
// counters, and a driver that runs one membership detector on one socket. It also provides
// unreliable datagrams between routers under the same authentication.
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

// tickInterval is the time between two ticks of the detector.
const tickInterval = 50 * time.Millisecond

// Lengths of the driver's queues.
const (
	receiveQueue = 256
	commandQueue = 256
)

// Config configures a Driver.
type Config struct {
	// Listen is the UDP address to bind, "ip:port".
	Listen string
	// Self describes this router. An empty Address is replaced by the bound address, and an ID
	// of 0 by a random one.
	Self    membership.Member
	Options membership.Options
	Keys    Keys
	Log     Logger
}

// received is a packet read from the socket.
type received struct {
	from string
	data []byte
}

// Driver runs an Endpoint on a UDP socket. One goroutine owns the endpoint. The methods pass
// their work to it and are safe for concurrent use. Callbacks run on the owner goroutine, so
// they must not block and must not call Close or the roster methods.
type Driver struct {
	conn     *net.UDPConn
	endpoint *Endpoint
	started  time.Time
	packets  chan received
	commands chan func()
	stop     chan struct{}
	stopOnce sync.Once
	// exited is closed when the owner goroutine has returned.
	exited chan struct{}
	wg     sync.WaitGroup
	self   membership.Member
	// links holds the state of the roster exchanges by address. Only the owner goroutine uses
	// it.
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
	d.wg.Add(2)
	go d.readPackets()
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
	endpoint, err := NewEndpoint(self, cfg.Options, cfg.Keys, rng, cfg.Log)
	if err != nil {
		return nil, err
	}
	d := &Driver{
		conn:     conn,
		endpoint: endpoint,
		started:  time.Now(),
		packets:  make(chan received, receiveQueue),
		commands: make(chan func(), commandQueue),
		stop:     make(chan struct{}),
		exited:   make(chan struct{}),
		self:     self,
		links:    make(map[string]*membership.RosterLink),
	}
	d.publishSnapshot()
	return d, nil
}

func randomID() uint64 {
	var buf [8]byte
	for {
		// crypto/rand.Read never returns an error. It terminates the process instead.
		_, _ = crand.Read(buf[:])
		if id := binary.BigEndian.Uint64(buf[:]); id != 0 {
			return id
		}
	}
}

// readPackets passes packets from the socket to the owner goroutine. Its buffer is one byte
// larger than the maximum packet, so that longer packets are detected.
func (d *Driver) readPackets() {
	defer d.wg.Done()
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
			d.endpoint.counters.update(func(c *Counters) { c.Dropped++ })
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

// run is the owner goroutine of the endpoint.
func (d *Driver) run() {
	defer d.wg.Done()
	defer close(d.exited)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.stop:
			d.transmit(d.endpoint.Depart())
			_ = d.conn.Close()
			return
		case p := <-d.packets:
			d.transmit(d.endpoint.Receive(d.now(), p.from, p.data))
		case <-ticker.C:
			d.transmit(d.endpoint.Tick(d.now()))
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
			// This is like a packet lost in the network: the detector sends its messages
			// repeatedly, and delivery of datagrams is not guaranteed.
			d.endpoint.counters.update(func(c *Counters) { c.Unsent++ })
		}
	}
}

// notify invokes the callbacks for events and items. If the members changed, it publishes a new
// snapshot and invokes the callbacks for changes.
func (d *Driver) notify() {
	detector := d.endpoint.Detector()
	for _, event := range detector.Events() {
		for _, f := range d.onEvent {
			f(event)
		}
	}
	for _, item := range detector.UpdatedItems() {
		for _, f := range d.onItem {
			f(item)
		}
	}
	if detector.Revision() == d.revision {
		return
	}
	d.publishSnapshot()
	for _, f := range d.onChange {
		f(d.Snapshot())
	}
}

func (d *Driver) publishSnapshot() {
	detector := d.endpoint.Detector()
	d.revision = detector.Revision()
	list := detector.Snapshot()
	d.snapshot.Store(&list)
}

// enqueue passes work to the owner goroutine. Errors: ErrBusy.
func (d *Driver) enqueue(command func()) error {
	select {
	case d.commands <- command:
		return nil
	default:
		return ErrBusy.New("%d commands queued", commandQueue)
	}
}

// Self returns the description of this router at the start.
func (d *Driver) Self() membership.Member { return d.self }

// Snapshot returns all known members as of the last change; see membership.Detector.Snapshot.
// The slice must not be modified.
func (d *Driver) Snapshot() []membership.Member { return *d.snapshot.Load() }

// Counters returns the traffic since the start.
func (d *Driver) Counters() Counters { return d.endpoint.Counters() }

// OnChange adds a callback for changes of the snapshot, and calls it once with the current one.
// Errors: ErrBusy.
func (d *Driver) OnChange(f func([]membership.Member)) error {
	return d.enqueue(func() {
		d.onChange = append(d.onChange, f)
		f(d.Snapshot())
	})
}

// OnItem adds a callback for new item versions, and calls it for each item already known.
// Errors: ErrBusy.
func (d *Driver) OnItem(f func(membership.Item)) error {
	return d.enqueue(func() {
		d.onItem = append(d.onItem, f)
		for _, item := range d.endpoint.Detector().Items() {
			f(item)
		}
	})
}

// OnEvent adds a callback for events. Errors: ErrBusy.
func (d *Driver) OnEvent(f func(membership.Event)) error {
	return d.enqueue(func() { d.onEvent = append(d.onEvent, f) })
}

// OnDatagram sets the handler of a channel. It applies to all packets processed after it
// returns.
func (d *Driver) OnDatagram(channel uint8, handle DatagramHandler) {
	d.endpoint.OnDatagram(channel, handle)
}

// SendTo sends a datagram of at most MaxDatagram bytes to a member. Delivery is not guaranteed.
// Errors: ErrTooLarge, ErrUnknownMember, ErrBusy.
func (d *Driver) SendTo(id uint64, channel uint8, payload []byte) error {
	if len(payload) > MaxDatagram {
		return ErrTooLarge.New("%d B", len(payload))
	}
	if !d.isLive(id) {
		return ErrUnknownMember.New("%x", id)
	}
	payload = append([]byte(nil), payload...)
	return d.enqueue(func() {
		packets, err := d.endpoint.Datagram(id, channel, payload)
		if err != nil {
			// The member died after the check. Datagrams may be lost.
			return
		}
		d.transmit(packets)
	})
}

func (d *Driver) isLive(id uint64) bool {
	for _, m := range d.Snapshot() {
		if m.ID == id {
			return m.State != membership.StateDead
		}
	}
	return false
}

// Broadcast spreads an item to all members; see membership.Detector.Broadcast. An item beyond
// membership.MaxItems is logged and dropped. Errors: membership.ErrItem, ErrBusy.
func (d *Driver) Broadcast(item membership.Item) error {
	if err := item.Validate(); err != nil {
		return err
	}
	return d.enqueue(func() {
		if err := d.endpoint.Detector().Broadcast(item); err != nil {
			d.endpoint.log("item rejected", "kind", item.Kind, "key", item.Key, "error", err)
		}
	})
}

// SetConfigVersion records the newest configuration version of this router. Errors: ErrBusy.
func (d *Driver) SetConfigVersion(version uint64) error {
	return d.enqueue(func() { d.endpoint.Detector().SetConfigVersion(version) })
}

// ObserveVMs passes the current VM list of the platform to the detector. Errors: ErrBusy.
func (d *Driver) ObserveVMs(vms []platform.VM) error {
	return d.enqueue(func() { d.endpoint.Detector().ObserveVMs(vms) })
}

// SetKeys replaces the keys during a key rotation. Errors: ErrKeys, ErrBusy.
func (d *Driver) SetKeys(keys Keys) error {
	if err := keys.Validate(); err != nil {
		return err
	}
	return d.enqueue(func() { _ = d.endpoint.SetKeys(keys) })
}

// SetSeeds replaces the seed addresses. The detector sends digests to those that belong to no
// known live member. Errors: ErrBusy.
func (d *Driver) SetSeeds(seeds []string) error {
	return d.enqueue(func() { d.endpoint.Detector().SetSeeds(seeds) })
}

// Leave marks this router as leaving. It is still probed and still replies. Errors: ErrBusy.
func (d *Driver) Leave() error {
	return d.enqueue(func() { d.endpoint.Detector().Leave() })
}

// Close announces the exit, closes the socket and waits for the goroutines to return.
func (d *Driver) Close() {
	d.stopOnce.Do(func() { close(d.stop) })
	d.wg.Wait()
}
