// Command cases runs the scripts of an independent review: it starts daemons as
// processes, with stand-ins of the platform, the runners and the requesters.
//
//	cases NAME DIRECTORY
//
// It writes record.txt in the directory. The exit status is 1 if the rule was broken, 0
// if it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is what a case has sent, received and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// world is what a case runs in.
type world struct {
	record  *record
	network *network
	store   *store
	dir     string
	trouble bool
	daemons []*daemon
	runners []*runner
	// children are the runners that are processes of their own.
	children []*child
	version  int
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	reason string
}

var cases = map[string]func(*world) (verdict, error){}

func main() {
	if len(os.Args) == 3 && os.Args[1] == childRole {
		os.Exit(runChild(os.Args[2]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME DIRECTORY")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(c func(*world) (verdict, error), dir string) int {
	w, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	v, err := c(w)
	if err != nil {
		w.record.line("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if v.broken {
		w.record.line("BROKEN: %s", v.reason)
		fmt.Println("broken:", v.reason)
		return 1
	}
	w.record.line("held: %s", v.reason)
	fmt.Println("held:", v.reason)
	return 0
}

func newWorld(dir string) (*world, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{record: &record{started: time.Now(), file: file}, trouble: os.Getenv("TROUBLE") != "0"}
	if w.dir, err = os.MkdirTemp("", "case"); err != nil {
		return nil, err
	}
	if w.network, err = newNetwork(); err != nil {
		return nil, err
	}
	if w.store, err = startStore(w.network.ip(100)); err != nil {
		return nil, err
	}
	w.record.line("trouble: %v", w.trouble)
	return w, nil
}

func (w *world) close() {
	for _, d := range w.daemons {
		d.stop()
	}
	for _, c := range w.children {
		c.kill()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

func (w *world) addRunner(o runnerOptions) error {
	r, err := startRunner(w.network.ip(100), w.store, w.record, o)
	if err == nil {
		w.runners = append(w.runners, r)
	}
	return err
}

// addDaemon starts a daemon without waiting until it is ready.
func (w *world) addDaemon(s daemonSettings) (*daemon, error) {
	n := len(w.daemons) + 1
	d := &daemon{name: fmt.Sprintf("edge-%d", n), ip: w.network.ip(n), dir: w.dir, storeAddress: w.store.address(), settings: s}
	if s.linkMbps > 0 {
		address, err := startLink(w.network.ip(100), w.store.address(), s.linkMbps)
		if err != nil {
			return nil, err
		}
		d.storeAddress = address
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	w.record.line("%s starts", d.name)
	return d, nil
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	timeout, target     time.Duration
	attempts            int
	resumable           bool
}

// configure writes the next version of the configuration.
func (w *world) configure(routes []route, services []map[string]any) {
	w.version++
	var all []map[string]any
	for _, r := range routes {
		all = append(all, map[string]any{
			"Name": r.name, "Host": host, "PathPrefix": "/" + r.name + "/", "RouteType": r.kind, "TimeoutMs": r.timeout.Milliseconds(),
			"TargetLatencyMs": r.target.Milliseconds(), "Priority": 0, "Service": r.service, "MaxAttempts": r.attempts, "Resumable": r.resumable, "GapTargetMs": 300,
		})
	}
	w.store.put("keyed.op", "config", map[string]any{
		"Version": w.version, "Routes": all, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 1 << 20, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
		"Tenants": []map[string]any{{"Name": "counter", "ApiKeys": []string{apiKey}, "UncachedTokens": 200}},
	})
	w.record.line("configuration %d is written", w.version)
}
