// Command standin plays the cases of the review: it starts the daemons as
// separate processes, with stand-ins for the platform's store, the runners and
// the callers, and judges what these have seen.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the names of cases to what they do. Each returns the number of
// violations that it has seen.
var cases = map[string]func(e *env) (violations int, err error){
	"bad-status":  playBadStatus,
	"store-cut":   playStoreCut,
	"long-prompt": playLongPrompt,
	"late-beat":   playLateBeat,
	"torn-head":   playTornHead,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	e, err := newEnv(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	violations, err := cases[name](e)
	switch {
	case err != nil:
		e.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case violations > 0:
		e.log("result: broken, %d violations", violations)
		fmt.Printf("%s: broken, %d violations\n", name, violations)
		return exitBroken
	}
	e.log("result: held")
	fmt.Printf("%s: held\n", name)
	return exitHeld
}
