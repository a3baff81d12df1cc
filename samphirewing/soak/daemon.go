package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/standin/operator"
)

const (
	// stopGrace is the time between SIGTERM and SIGKILL, as on the users'
	// platform.
	stopGrace = 8 * time.Second
	// retryRatio and retryAllowance define the retry budget. The allowance is
	// smaller than on the users' platform because the load is lower.
	retryRatio     = 0.2
	retryAllowance = 10
	// trafficPrice makes the cost of leaving the failure domain follow the load; links
	// between the zones are as fast as within them.
	trafficPrice = "1000"
	// restartPause is the time between a process's exit and its restart.
	restartPause = 200 * time.Millisecond
)

// daemon is one daemon that runs as a separate process behind links.
type daemon struct {
	number        int
	name, ip, dir string
	program       []string
	// store is the link to the store, peers the link from other daemons and
	// callers the link from callers.
	store, peers, callers *link

	claim
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// incarnation counts the starts of the process, from 1.
	incarnation int
}

func (env *environment) startDaemon(n int) (*daemon, error) {
	d := &daemon{number: n, name: fmt.Sprintf("daemon-%d", n+1), ip: env.loopbackIP(n + 1), dir: env.options.Dir, program: env.options.Program}
	for _, l := range []struct {
		link   **link
		target string
	}{
		{&d.store, env.store.Address()},
		{&d.peers, d.port(operator.FirstPort)},
		{&d.callers, d.port(operator.FrontendPort)},
	} {
		var err error
		if *l.link, err = newLink(env.loopbackIP(0), l.target); err != nil {
			return nil, err
		}
	}
	if err := d.start(true); err != nil {
		d.closeLinks()
		return nil, err
	}
	return d, nil
}

func (d *daemon) port(port int) string { return net.JoinHostPort(d.ip, fmt.Sprint(port)) }

func (d *daemon) settingsPath() string { return filepath.Join(d.dir, d.name+".yaml") }

func (d *daemon) writeSettings(first bool) error {
	return operator.WriteSettings(d.settingsPath(), operator.DaemonSettings{
		Name: d.name, IP: d.ip, Zone: zone(d.number), StoreAddress: d.store.address(), FirstStart: first,
		GraceSeconds: stopGrace.Seconds(), RetryRatio: retryRatio, RetryAllowance: retryAllowance,
	})
}

// start starts the process. Each incarnation writes its output to a file of its
// own.
func (d *daemon) start(first bool) error {
	if err := d.writeSettings(first); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.incarnation++
	output, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", d.name, d.incarnation)))
	if err != nil {
		return errors.Trace(err)
	}
	args := append(d.program[1:len(d.program):len(d.program)], "--settings", d.settingsPath(), "--peer-advertise", d.peers.address(), "--domain-traffic-price", trafficPrice)
	command := exec.Command(d.program[0], args...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		output.Close()
		return errors.Annotatef(err, "start %s; --program must name the daemon", d.program[0])
	}
	exited := make(chan struct{})
	d.command, d.exited = command, exited
	go func() {
		// The exit status of a killed process carries no information.
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it still runs, and returns the
// channel that is closed on its exit.
func (d *daemon) signal(s syscall.Signal) (exited chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
	default:
		// An error means that the process has just exited.
		_ = d.command.Process.Signal(s)
	}
	return d.exited
}

// terminate restarts the process as planned work does: SIGTERM first, and
// SIGKILL after stopGrace. It returns whether SIGKILL was needed.
func (d *daemon) terminate() (killed bool, err error) {
	exited := d.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(stopGrace):
		killed = true
		<-d.signal(syscall.SIGKILL)
	}
	return killed, d.restart()
}

// kill ends the process with SIGKILL, like a crash, and restarts it.
func (d *daemon) kill() error {
	<-d.signal(syscall.SIGKILL)
	return d.restart()
}

func (d *daemon) restart() error {
	time.Sleep(restartPause)
	defer d.release()
	return d.start(false)
}

func (d *daemon) currentIncarnation() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.incarnation
}

func (d *daemon) close() {
	<-d.signal(syscall.SIGKILL)
	d.closeLinks()
}

func (d *daemon) closeLinks() {
	for _, l := range []*link{d.store, d.peers, d.callers} {
		l.close()
	}
}
