// Command rig2 plays the cases of the review that no day of the bench can show. It starts the processes of a
// small deployment with the command of the deploy file, beside stand-ins for the store, engines and callers.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// scenario plays a case and reports whether its rule was broken. Without trouble it does the same without the
// disruption.
type scenario func(rec *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"lost-config": lostConfig,
	"same-id":     sameID,
	"deadly-cuts": deadlyAmongCuts,
	"held-end":    heldEnd,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 SCENARIO RECORD")
		return couldNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	broken, err := scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	case broken:
		rec.note("the rule was broken")
		return ruleBroken
	}
	rec.note("the rule held")
	return ruleHeld
}
