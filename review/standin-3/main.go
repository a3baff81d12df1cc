// Command review-standin-3 plays the cases of the third review: a store, runners and
// clients as stand-ins, and the project's daemons as processes.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// environment is what a case runs in.
type environment struct {
	root, dir string
	// trouble is false if the case is played without its disruption.
	trouble bool
	store   *store
	record  *record
	runners []*runner
	daemons []*daemon
}

// outcome is what a case has found.
type outcome struct {
	broken  bool
	summary string
}

var cases = map[string]func(*environment) (outcome, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 4 && os.Args[1] == runnerProcess {
		fmt.Fprintln(os.Stderr, runRunnerProcess(os.Args[2], os.Args[3]))
		return exitNotRun
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-3 CASE FOLDER, in the repository's root; TROUBLE=0 leaves the disruption out")
		return exitNotRun
	}
	// The bound of a case is 120 s.
	time.AfterFunc(115*time.Second, func() {
		fmt.Println("not run: no end after 115 s")
		os.Exit(exitNotRun)
	})
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		os.Exit(exitNotRun)
	}()
	found, err := play(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		return exitNotRun
	case found.broken:
		fmt.Println("broken:", found.summary)
		return exitBroken
	}
	fmt.Println("held:", found.summary)
	return exitHeld
}

func play(run func(*environment) (outcome, error), folder string) (found outcome, err error) {
	e := &environment{trouble: os.Getenv("TROUBLE") != "0"}
	if e.root, err = os.Getwd(); err != nil {
		return found, err
	}
	if e.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return found, err
	}
	keep := os.Getenv("KEEP") != ""
	defer func() {
		if !keep {
			os.RemoveAll(e.dir)
		} else {
			fmt.Println("kept", e.dir)
		}
	}()
	if e.record, err = newRecord(filepath.Join(folder, "record.txt")); err != nil {
		return found, err
	}
	if e.store, err = startStore(); err != nil {
		return found, err
	}
	defer e.close()
	found, err = run(e)
	e.record.note("%+v %v", found, err)
	return found, err
}

func (e *environment) close() {
	for _, d := range e.daemons {
		d.kill()
	}
}

// route is a route of the configuration.
func route(name, kind, service string, attempts int, resumable bool, timeout time.Duration) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "RouteType": kind, "TimeoutMs": timeout.Milliseconds(),
		"TargetLatencyMs": 500, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Resumable": resumable, "GapTargetMs": 300,
	}
}

// publish writes the operator's configuration.
func (e *environment) publish(version int, routes ...map[string]any) {
	value, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": "engines", "HealthPath": "/healthz", "MaxConnections": 300, "Protocol": "h1", "Engine": map[string]any{"Slots": 11, "KvCapacity": 444000, "KvBytes": 131072, "Stride": 9}},
			map[string]any{"Name": "orders", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1"},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "shop", "ApiKeys": []string{apiKey}, "Unit": "tokens", "UncachedTokens": 200}},
	})
	e.store.put("keyed.op", "config", value)
}

// addRunner starts a runner at a free port.
func (e *environment) addRunner(id, service, version string, respond responder) (*runner, error) {
	run, err := startRunner(e.store, e.record, "127.0.0.1:0", id, service, version, respond)
	if err == nil {
		e.runners = append(e.runners, run)
	}
	return run, err
}
