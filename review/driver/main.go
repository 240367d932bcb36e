// Command driver runs the cases of the review: a small deployment of the project's routers on loopback
// addresses, with stand-ins for the platform, its store, the engines and the callers. It exits with 0 if the
// rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitFailed
)

// maxPrinted is the number of breaks that are printed; the record has all.
const maxPrinted = 5

// cases holds the cases by name; each registers itself. A case returns what broke the rule; none means that the
// rule held.
var cases = make(map[string]func(l *lab, trouble bool) (broken []string, err error))

func main() { os.Exit(runMain()) }

func runMain() int {
	name := flag.String("case", "", "name of the case")
	binary := flag.String("router", "target/damaskrouter", "the program of the deploy file")
	template := flag.String("template", "deploy/settings.yaml.tmpl", "the template of the settings")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Println("no such case:", *name)
		return exitFailed
	}
	broken, err := runCase(run, *binary, *template, *record)
	if err != nil {
		fmt.Println("the case could not run:", err)
		return exitFailed
	}
	for _, b := range broken[:min(len(broken), maxPrinted)] {
		fmt.Println("broken:", b)
	}
	if more := len(broken) - maxPrinted; more > 0 {
		fmt.Println("and", more, "more, see the record")
	}
	if len(broken) > 0 {
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func runCase(run func(*lab, bool) ([]string, error), binary, template, record string) ([]string, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	l, err := newLab(binary, template, dir, record)
	if err != nil {
		return nil, err
	}
	defer l.close()
	closeOnSignal(l)
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("trouble %t", trouble)
	broken, err := run(l, trouble)
	for _, b := range broken {
		l.note("broken: %s", b)
	}
	if err == nil && len(broken) == 0 {
		l.note("the rule held")
	}
	return broken, err
}

// closeOnSignal ends all processes if the driver is told to stop.
func closeOnSignal(l *lab) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		l.close()
		os.Exit(exitFailed)
	}()
}

const (
	startLimit = 20 * time.Second
	// settleTime is the time after the start before the first request: traffic starts 10 s after the machines.
	settleTime = 10 * time.Second
)

// startSmall starts engines of both services and the routers, and waits until they are ready.
func startSmall(l *lab, routers, models int) error {
	l.configure([]string{keyBranch})
	for i := range models {
		if _, err := l.startEngine(fmt.Sprintf("i-model-%d", i+1), serviceLLM); err != nil {
			return err
		}
	}
	for i := range 3 {
		if _, err := l.startEngine(fmt.Sprintf("i-portal-%d", i+1), serviceApp); err != nil {
			return err
		}
	}
	if err := l.startRouters(routers); err != nil {
		return err
	}
	return l.awaitReady(startLimit)
}

// errNotServed means that the deployment did not serve as it must for the case to tell anything.
var errNotServed = errors.New("requests were not served")
