package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/platform/standin"
)

// Settings of a small deployment, as the users' sheets state them.
const (
	heartbeat     = 1200 * time.Millisecond
	restartDelay  = 300 * time.Millisecond
	memoryLimitMB = 284
	revokeBound   = 5 * time.Second
	host          = "office.example"
	region        = "region-1"
	zone          = "zone-a"
	serviceLLM    = "model"
	serviceApp    = "portal"
	keyOffice     = "key-office-1"
	keyBranch     = "key-branch-1"
)

// lab is a small deployment on loopback addresses: the project's routers as processes, and stand-ins for
// the platform, its store, the engines and the callers.
type lab struct {
	binary, template, dir string
	started               time.Time
	record                *os.File
	recordMu              sync.Mutex

	store     *standin.Server
	storeAddr string
	port      int
	routers   []*router
	engines   []*engine
	version   int
	stop      chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup
	// ownSources makes each router connect to engines from an address of its own, as on machines of their own,
	// so that a link between a router and an engine can be cut.
	ownSources bool
}

// router is one router process.
type router struct {
	lab      *lab
	name, ip string
	// source is the address from which the router connects to engines if lab.ownSources is set. At the address
	// of its listeners, the kernel might use one of their ports.
	source      string
	settings    string
	limitMemory bool
	mu          sync.Mutex
	cmd         *exec.Cmd
	closing     bool
	memoryEnds  int
	peakMB      int
	starts      int
}

func newLab(binary, template, dir, recordFile string) (*lab, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	l := &lab{binary: binary, template: template, dir: dir, started: time.Now(), record: f, stop: make(chan struct{}), version: 7}
	l.store = standin.NewServer(standin.Options{})
	l.store.StateEra(4)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.storeAddr = ln.Addr().String()
	go func() { _ = l.store.Serve(ln) }()
	return l, nil
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.recordMu.Lock()
	defer l.recordMu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%9.3f "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

// at returns a time as it stands in the record.
func (l *lab) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(l.started).Seconds()) }

// startRouters starts n routers, all of which are seeds.
func (l *lab) startRouters(n int) error {
	area, network := 20+rand.IntN(sourceArea-20), rand.IntN(256)
	for i := range n {
		l.routers = append(l.routers, &router{
			lab: l, name: fmt.Sprintf("front-a-%d", i+1),
			ip: fmt.Sprintf("127.%d.%d.%d", area, network, i+1), source: fmt.Sprintf("127.%d.%d.%d", area+sourceArea, network, i+1),
		})
	}
	if err := l.choosePorts(); err != nil {
		return err
	}
	for _, r := range l.routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// sourceArea, added to the second number of a router's address, yields the address from which it connects to
// engines.
const sourceArea = 100

// portsOfRouter is the number of consecutive ports of a router.
const portsOfRouter = 10

// metricsPort is the one of the deploy file.
const metricsPort = 9190

// choosePorts finds ports that are free at the addresses of all routers.
func (l *lab) choosePorts() error {
	for range 100 {
		l.port = 20000 + portsOfRouter*rand.IntN(1000)
		if l.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (l *lab) portsFree() bool {
	for _, r := range l.routers {
		ports := []int{metricsPort}
		for p := range portsOfRouter {
			ports = append(ports, l.port+p)
		}
		for _, p := range ports {
			ln, err := net.Listen("tcp4", net.JoinHostPort(r.ip, strconv.Itoa(p)))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

func (r *router) address(offset int) string {
	return net.JoinHostPort(r.ip, strconv.Itoa(r.lab.port+offset))
}

// Offsets of the ports of a router.
const (
	portFront = iota
	portReady
	portDirectory
	portControl
	portRange
)

var placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)

// writeSettings renders the template of the deploy file as the platform does.
func (r *router) writeSettings() error {
	var seeds []string
	for _, other := range r.lab.routers[:min(3, len(r.lab.routers))] {
		seeds = append(seeds, other.address(portControl))
	}
	values := map[string]any{
		"node": r.name, "zone": zone, "region": region, "ip": r.ip, "seeds": seeds, "bootstrap": r.starts == 0,
		"heartbeatMs": heartbeat.Milliseconds(), "portRange": []int{r.lab.port + portRange, r.lab.port + portsOfRouter - 1},
		"listen.front": r.address(portFront), "listen.ready": r.address(portReady), "listen.directory": r.address(portDirectory), "listen.control": r.address(portControl),
		"limits.cpuShare": 0.4, "limits.memoryMb": memoryLimitMB, "limits.maxFds": 4100, "limits.linkMbps": 1000.0,
		"bounds.drainMs": 2000, "bounds.graceS": 8, "bounds.configMs": 2000, "bounds.revokeMs": revokeBound.Milliseconds(), "bounds.retryRatio": 0.2,
		"bounds.retryWindowS": 10, "bounds.retrySlack": 58, "bounds.ttl_max_s": 5, "bounds.evacMs": "", "bounds.coldOver": "", "bounds.coldSlack": "",
		"platform.address": r.lab.storeAddr,
	}
	template, err := os.ReadFile(r.lab.template)
	if err != nil {
		return err
	}
	var missing []string
	text := placeholder.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, ok := values[parts[1]]
		if !ok {
			missing = append(missing, parts[1])
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		out, _ := json.Marshal(value)
		return string(out)
	})
	if len(missing) > 0 {
		return fmt.Errorf("template names unknown values: %v", missing)
	}
	if r.lab.ownSources {
		text = strings.Replace(text, "\nlisten:\n", fmt.Sprintf("\nlisten:\n  engine_source: %q\n", r.source), 1)
	}
	r.settings = filepath.Join(r.lab.dir, r.name+".yaml")
	return os.WriteFile(r.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file. The platform renders the settings at every start.
func (r *router) start() error {
	if err := r.writeSettings(); err != nil {
		return err
	}
	r.starts++
	log, err := os.OpenFile(filepath.Join(r.lab.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(r.lab.binary, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.lab.dir, "LANG=C", "DAMASKROUTER_SETTINGS=" + r.settings}
	cmd.Stdout, cmd.Stderr = log, log
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return nil
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd = cmd
	r.lab.note("router %s started, pid %d", r.name, cmd.Process.Pid)
	r.lab.wg.Go(func() { r.supervise(cmd) })
	return nil
}

// supervise restarts the process after a short delay if it ends, as the platform does.
func (r *router) supervise(cmd *exec.Cmd) {
	ended := make(chan struct{})
	go r.watchMemory(cmd, ended)
	err := cmd.Wait()
	r.lab.note("router %s ended: %v", r.name, err)
	close(ended)
	select {
	case <-r.lab.stop:
	case <-time.After(restartDelay):
		// A failed start shows as a router that is not ready.
		_ = r.start()
	}
}

// watchMemory kills a process that exceeds its memory, as the platform does.
func (r *router) watchMemory(cmd *exec.Cmd, ended <-chan struct{}) {
	statm := fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid)
	for {
		select {
		case <-ended:
			return
		case <-time.After(10 * time.Millisecond):
		}
		data, err := os.ReadFile(statm)
		fields := strings.Fields(string(data))
		if err != nil || len(fields) < 2 {
			continue
		}
		pages, _ := strconv.Atoi(fields[1])
		used := pages * os.Getpagesize() >> 20
		r.mu.Lock()
		r.peakMB = max(r.peakMB, used)
		r.mu.Unlock()
		if r.limitMemory && used > memoryLimitMB {
			r.lab.note("platform kills router %s: %d MB of %d MB", r.name, used, memoryLimitMB)
			r.mu.Lock()
			r.memoryEnds++
			r.mu.Unlock()
			_ = cmd.Process.Kill()
			return
		}
	}
}

// signal sends a signal to the running process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lab.note("router %s gets %v", r.name, s)
	_ = r.cmd.Process.Signal(s)
}

// ready asks the router as the platform does.
func (r *router) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.address(portReady) + "/damaskrouter/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready.
func (l *lab) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, r := range l.routers {
		for !r.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("router %s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// route is a route of the configuration.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	TimeoutMS   int    `json:"timeoutMs"`
	ObjectiveMS int    `json:"targetLatencyMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	Attempts    int    `json:"attempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapAimMS    int    `json:"gapAimMs,omitempty"`
}

var routes = []route{
	{Name: "r-summary", Host: host, Prefix: "/summary/", Kind: "streaming", TimeoutMS: 4000, ObjectiveMS: 400, Service: serviceLLM, Attempts: 2, Sticky: true, Resumable: true, GapAimMS: 250},
	{Name: "r-receipt", Host: host, Prefix: "/receipt/", Kind: "non_idempotent", TimeoutMS: 1500, ObjectiveMS: 150, Priority: 2, Service: serviceApp, Attempts: 1},
	{Name: "r-status", Host: host, Prefix: "/status/", Kind: "idempotent", TimeoutMS: 1000, ObjectiveMS: 150, Priority: 2, Service: serviceApp, Attempts: 2},
}

// configure writes the next version of the configuration and returns when the store has acknowledged it.
// keys are those of the second account.
func (l *lab) configure(keys []string) time.Time {
	l.version += 3
	l.store.Put("op", "config", map[string]any{
		"version": l.version, "routes": routes,
		"services": []map[string]any{
			{"name": serviceLLM, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 64, "kvTokens": 396444}},
			{"name": serviceApp, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "office", "apiKeys": []string{keyOffice}, "priority": 1}, {"name": "branch", "apiKeys": append([]string{"key-branch-0"}, keys...), "priority": 1},
		},
	})
	acknowledged := time.Now()
	l.note("operator: configuration %d acknowledged, keys of branch besides key-branch-0: %v", l.version, keys)
	return acknowledged
}

// close ends all processes.
func (l *lab) close() { l.closeOnce.Do(l.closeAll) }

func (l *lab) closeAll() {
	close(l.stop)
	for _, r := range l.routers {
		r.mu.Lock()
		r.closing = true
		if r.cmd != nil {
			_ = r.cmd.Process.Signal(syscall.SIGCONT)
			_ = r.cmd.Process.Kill()
		}
		r.mu.Unlock()
	}
	l.wg.Wait()
	for _, e := range l.engines {
		e.close()
	}
	l.store.Close()
	_ = l.record.Close()
}

// setStoreDown makes the store answer every call with 503, or serve again.
func setStoreDown(l *lab, down bool) {
	l.store.SetFaults(standin.Faults{Down: down})
	l.note("store: down %t", down)
}
