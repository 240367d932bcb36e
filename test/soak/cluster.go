package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// Bounds in the routers' settings, which the checks enforce.
const (
	revokeBound = 5 * time.Second
	drainBound  = 2 * time.Second
	stopTime    = 4 * time.Second
)

// cluster is the store, engines and routers of one run.
type cluster struct {
	dir     string
	binary  string
	store   *platformtest.Store
	version int64

	// unexpectedExits describes the processes that exited without a signal from the test.
	unexpectedExits []string

	// seed is the address of the first router, which all routers have as their seed.
	seed string
	// initialEngines is the number of engines that exist before the routers start.
	initialEngines int
	// storeMu is held while the store may lack what it has acknowledged, or must not.
	storeMu sync.Mutex
	// evacuated is the site that stays evacuated until the end; empty for none.
	evacuated string

	mu sync.Mutex
	// engineVersion is the version of the software of engines that are added.
	engineVersion string
	// crashes holds the times at which engines ended, by the body of the request that ended them.
	crashes      map[string][]time.Time
	disturbances []*disturbance
	closed       bool
	engines      []*engine
	routers      []*router
	port         int
}

// engine is an engine behind a proxy.
type engine struct {
	*platformtest.Engine
	proxy *proxy
	// drainedAt is the time at which the store marked the engine as draining or removed its entry;
	// zero while it serves.
	drainedAt time.Time
	// addedAt is the time at which the engine was registered.
	addedAt time.Time
	// startMu is held while the engine must not be restarted in place.
	startMu sync.Mutex
}

// sites are the sites of engines, which are assigned to them in turn.
var sites = []string{"x", "y"}

// router is one router process with two proxies of its own, one to the store and one
// for calls from other routers.
type router struct {
	name, ip string
	store    *proxy
	peers    *peerLink
	settings string
	// advertised is the address at which other routers reach this one.
	advertised string
	// source is the address from which this router connects to engines. At its own address, the kernel
	// might use one of its listening ports.
	source string
	// restartMu serializes restarts, so that two fault series never start the router
	// twice.
	restartMu sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has exited.
	exited chan struct{}
	// stopping is set when the process is expected to exit.
	stopping bool
}

const settingsText = `name: %s
site: x
listen: {callers: "%s:%d", ready: "%s:%d", directory: "%s:%d", control: "%s:%d", ports: [%d, %d], advertise: "%s", engine_source: "%s"}
seeds: ["%s:1"]
fleet_key: 0123456789abcdef0123
store: "%s"
limits: {memory_mb: 256, max_files: 1000, link_mbps: 100, cpu_share: 1}
bounds: {revoke_ms: %d, beat_ms: 1200, config_ms: 2000, drain_ms: 2000, stop_s: %d, retry_ratio: 1, retry_slack: %d, retry_window_s: 10, max_ttl_s: 5}
`

// advertisedOffset, added to the second number of a router's address, yields the
// address of its proxy, and sourceOffset that of its connections to engines.
const (
	advertisedOffset = 1
	sourceOffset     = 2
)

// newCluster starts a store with a configuration, engines and routers. Routers listen
// at 127.0.NETWORK.1 and up, so that runs with different networks can run side by side.
// Other routers reach them through proxies at 127.1.NETWORK.1 and up.
func newCluster(dir, binary string, network, routers, engines int) (*cluster, error) {
	cl := &cluster{
		dir: dir, binary: binary, store: platformtest.NewStore(), engineVersion: versionName(0), crashes: make(map[string][]time.Time), seed: fmt.Sprintf("127.%d.%d.1", advertisedOffset, network),
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	cl.port = ln.Addr().(*net.TCPAddr).Port
	if err := ln.Close(); err != nil {
		return nil, err
	}
	if cl.port > 65000 {
		cl.port -= 100
	}
	cl.configure(nil)
	cl.initialEngines = engines
	for i := range engines {
		cl.addEngine(sites[i%len(sites)])
	}
	for i := range routers {
		if err := cl.addRouter(i, network); err != nil {
			return nil, err
		}
	}
	return cl, nil
}

func (cl *cluster) configure(moreKeys []string) {
	cl.version++
	cl.store.PutConfig(cl.version, moreKeys)
}

func (cl *cluster) addEngine(site string) *engine {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	e := &engine{Engine: platformtest.NewEngine(fmt.Sprintf("engine-%d", len(cl.engines))), addedAt: time.Now()}
	e.Site, e.Version, e.Born = site, cl.engineVersion, time.Now().UnixMilli()
	e.Stream(platformtest.StreamEvents, eventPause)
	if len(cl.engines) >= cl.initialEngines {
		e.ColdFor = platformtest.ColdStart
	}
	e.proxy = newProxy(e.Address())
	cl.letCrash(e)
	cl.engines = append(cl.engines, e)
	cl.store.PutEngine(e.Engine, e.proxy.address(), "ready")
	return e
}

// markDraining records that the store has marked an engine as draining or removed its
// entry. drainBound counts from the first time.
func (cl *cluster) markDraining(e *engine) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if e.drainedAt.IsZero() {
		e.drainedAt = time.Now()
	}
}

// serving returns the engines that are neither draining nor removed.
func (cl *cluster) serving() []*engine {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	var out []*engine
	for _, e := range cl.engines {
		if e.drainedAt.IsZero() {
			out = append(out, e)
		}
	}
	return out
}

// pickServing returns a random serving engine. It waits until there is one, since all may have
// crashed.
func (cl *cluster) pickServing(rng *rand.Rand) *engine {
	for {
		if engines := cl.serving(); len(engines) > 0 {
			return pick(rng, engines)
		}
		time.Sleep(replaceTime / 10)
	}
}

func (cl *cluster) addRouter(i, network int) error {
	r := &router{name: fmt.Sprintf("router-%d", i), ip: fmt.Sprintf("127.0.%d.%d", network, i+1), store: newProxy(cl.store.Address())}
	advertised := fmt.Sprintf("127.%d.%d.%d", advertisedOffset, network, i+1)
	peers, err := newPeerLink(fmt.Sprintf("%s:%d", advertised, cl.port+4), fmt.Sprintf("%s:%d", r.ip, cl.port+4))
	if err != nil {
		return err
	}
	r.peers = peers
	r.settings = filepath.Join(cl.dir, r.name+".yaml")
	r.advertised = advertised
	r.source = fmt.Sprintf("127.%d.%d.%d", sourceOffset, network, i+1)
	if err := r.writeSettings(cl.settingsFor(r, defaultSlack), 0, 0); err != nil {
		return err
	}
	cl.routers = append(cl.routers, r)
	return cl.start(r)
}

func (cl *cluster) address(r *router) string { return fmt.Sprintf("%s:%d", r.ip, cl.port) }

// restartDelay is the time after which the platform restarts a process that exited by
// itself.
const restartDelay = 200 * time.Millisecond

// start starts the router's process, which appends its log to a file in the run's
// directory. A process that exits by itself is restarted, as the platform does.
func (cl *cluster) start(r *router) error {
	log, err := os.OpenFile(filepath.Join(cl.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(cl.binary, "edge", "--settings", r.settings)
	cmd.Stdout, cmd.Stderr = log, log
	r.mu.Lock()
	defer r.mu.Unlock()
	if cl.isClosed() {
		return log.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd, r.exited, r.stopping = cmd, make(chan struct{}), false
	go cl.supervise(r, cmd, r.exited)
	return log.Close()
}

func (cl *cluster) supervise(r *router, cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	r.mu.Lock()
	expected := r.stopping
	r.mu.Unlock()
	// The goroutine that waits for exited may start the next process at once.
	close(exited)
	if expected {
		return
	}
	cl.mu.Lock()
	cl.unexpectedExits = append(cl.unexpectedExits, fmt.Sprintf("%s: %v", r.name, err))
	cl.mu.Unlock()
	defer cl.disturb(r.name)()
	time.Sleep(restartDelay)
	r.mu.Lock()
	replaced := r.cmd != cmd || r.stopping
	r.mu.Unlock()
	if replaced {
		return
	}
	// A failed start is detected as a router that serves no requests.
	_ = cl.start(r)
}

// exits returns the unexpected exits with their exit states.
func (cl *cluster) exits() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return slices.Clone(cl.unexpectedExits)
}

// expectExit marks the process as expected to exit.
func (r *router) expectExit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// signal sends a signal to the router's process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// The process may have exited already.
	_ = r.cmd.Process.Signal(s)
}

// wait waits for the process to exit and kills it after limit. inTime reports whether
// it exited by itself.
func (r *router) wait(limit time.Duration) (inTime bool) {
	r.mu.Lock()
	cmd, exited := r.cmd, r.exited
	r.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
	}
	_ = cmd.Process.Kill()
	<-exited
	return false
}

func (cl *cluster) isClosed() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.closed
}

// close stops everything that the cluster started.
func (cl *cluster) close() {
	cl.mu.Lock()
	cl.closed = true
	cl.mu.Unlock()
	for _, r := range cl.routers {
		r.expectExit()
		r.signal(syscall.SIGCONT)
		r.signal(syscall.SIGKILL)
		r.wait(time.Second)
		r.store.close()
		r.peers.close()
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, e := range cl.engines {
		e.proxy.close()
		e.Close()
	}
	cl.store.Close()
}

// duration returns a uniformly distributed duration in [low, high).
func duration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
