package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"damaskrouter.example/damaskrouter/platform/platformtest"
)

// sheet holds what the sheet of a deployment says.
type sheet struct {
	// linkMbps is the bandwidth of a machine's own link.
	linkMbps int
	// config, drain, revoke and stable are the bounds for changes, for draining, for keys that are taken away, and the
	// time after which a machine is in touch.
	config, drain, revoke, stable time.Duration
	retrySlack                    int
}

var (
	// smallSheet is that of sed-basvuru, armorSheet that of armor-survey, grownSheet that of armor-survey-grown for machines with the slowest link.
	smallSheet = sheet{linkMbps: 1000, config: 2 * time.Second, drain: 2 * time.Second, revoke: 5 * time.Second, stable: 3 * time.Second, retrySlack: 58}
	armorSheet = sheet{linkMbps: 1000, config: 2 * time.Second, drain: 2 * time.Second, revoke: 5 * time.Second, stable: 3 * time.Second, retrySlack: 56}
	grownSheet = sheet{linkMbps: 10, config: 3 * time.Second, drain: 3 * time.Second, revoke: 5 * time.Second, stable: 4 * time.Second, retrySlack: 218}
)

// settingsText is what the platform renders from the settings template for one machine.
const settingsText = `name: %q
site: %q
region: "region"
listen:
  callers: "%s:%d"
  ready: "%s:%d"
  directory: "%s:%d"
  control: "%s:%d"
  metrics: "%s:%d"
  ports: [%d,%d]
seeds: [%s]
first_start: true
fleet_key: "0123456789abcdef0123456789abcdef"
store: %q
limits:
  memory_mb: 284
  max_files: 4100
  link_mbps: %d
  cpu_share: 0.4
bounds:
  revoke_ms: %d
  config_ms: %d
  drain_ms: %d
  evacuate_ms: 
  cold_over: 
  cold_slack: 
  beat_ms: 1200
  stop_s: 8
  retry_ratio: 0.2
  retry_slack: %d
  retry_window_s: 10
  max_ttl_s: 5
`

// machine is a machine of the deployment with one process of the project.
type machine struct {
	name, ip, settings string
	// store carries the machine's connections to the store, and callers those of callers to the machine.
	store, callers *proxy

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// fleet is a deployment: a store, engines and machines.
type fleet struct {
	sheet
	rec      *record
	dir      string
	port     int
	store    *platformtest.Store
	machines []*machine
}

// newFleet starts a store with a configuration and the processes of n machines, and waits until all are ready.
func newFleet(rec *record, sheet sheet, n int, config any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{sheet: sheet, rec: rec, dir: dir, store: platformtest.NewStore()}
	f.closeOnSignal()
	f.putConfig(config)
	if err := f.open(n); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// open starts the processes of n machines.
func (f *fleet) open(n int) (err error) {
	if f.port, err = freePorts(n); err != nil {
		return err
	}
	for i := range n {
		m := &machine{name: fmt.Sprintf("front-%c-1", 'a'+i), ip: machineIP(i), settings: filepath.Join(f.dir, fmt.Sprintf("m%d.yaml", i))}
		f.machines = append(f.machines, m)
		own := newLink(float64(f.linkMbps))
		if m.store, err = newProxy("127.0.0.1:0", f.store.Address(), nil, own); err != nil {
			return err
		}
		if m.callers, err = newProxy("127.0.0.1:0", fmt.Sprintf("%s:%d", m.ip, f.port), own, nil); err != nil {
			return err
		}
	}
	for i, m := range f.machines {
		if err := f.writeSettings(m, fmt.Sprintf("zone-%c", 'a'+i)); err != nil {
			return err
		}
		if err := f.start(m); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// freePorts returns the first of a range of ports that are free at the addresses of n machines.
func freePorts(n int) (int, error) {
	for range 100 {
		if first := 20000 + rand.IntN(10000); portsFree(first, n) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func portsFree(first, n int) bool {
	for i := range n {
		for port := first; port <= first+lastPort; port++ {
			ln, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", machineIP(i), port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// machineIP returns the address of the i-th machine.
func machineIP(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// Offsets of the ports of a machine.
const (
	readyPort, directoryPort, controlPort, metricsPort, firstPort, lastPort = 1, 2, 3, 4, 5, 20
)

func (f *fleet) writeSettings(m *machine, site string) error {
	var seeds []string
	for _, s := range f.machines[:min(len(f.machines), 3)] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, f.port+controlPort)))
	}
	text := fmt.Sprintf(settingsText, m.name, site, m.ip, f.port, m.ip, f.port+readyPort, m.ip, f.port+directoryPort, m.ip, f.port+controlPort,
		m.ip, f.port+metricsPort, f.port+firstPort, f.port+lastPort, strings.Join(seeds, ","), m.store.address(),
		f.linkMbps, f.revoke.Milliseconds(), f.config.Milliseconds(), f.drain.Milliseconds(), f.retrySlack)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/damaskrouter", "edge")
	cmd.Env = append(os.Environ(), "DAMASKROUTER_SETTINGS="+m.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd, m.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(m.exited)
	return log.Close()
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// awaitReady waits until all machines say that they are ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(10 * time.Second)
	for _, m := range f.machines {
		for !ready(fmt.Sprintf("http://%s:%d/damaskrouter/readyz", m.ip, f.port+readyPort)) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// putConfig writes a configuration. The write is acknowledged when the call returns.
func (f *fleet) putConfig(config any) { f.store.Put("op", "config", config) }

// maxTime is how long a case may take.
const maxTime = 118 * time.Second

// closeOnSignal ends all processes and the case on a signal, or when it takes too long.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		f.close()
		os.Exit(couldNotRun)
	}()
}

// close ends all processes that were started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		m.signal(syscall.SIGCONT)
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	for _, m := range f.machines {
		m.store.close()
		m.callers.close()
	}
	f.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
