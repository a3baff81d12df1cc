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
	// grace is the time between SIGTERM and SIGKILL, as on the users' platform.
	grace = 8 * time.Second
	// retryRatio and retryAllowance are the retry budget; the allowance is
	// smaller than on the users' platform, as there is less load.
	retryRatio     = 0.2
	retryAllowance = 10
	// restartPause is the time between the end of a process and its restart.
	restartPause = 200 * time.Millisecond
)

// daemon is one daemon in a process of its own, behind links.
type daemon struct {
	name, ip, dir string
	program       []string
	// store, peers and callers are the links to the store, from other daemons
	// and from callers.
	store, peers, callers *link

	claim
	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	// life counts starts.
	life int
}

func (w *world) startDaemon(n int) (*daemon, error) {
	d := &daemon{name: fmt.Sprintf("daemon-%d", n+1), ip: w.ip(n + 1), dir: w.options.Dir, program: w.options.Program}
	for _, l := range []struct {
		link   **link
		target string
	}{
		{&d.store, w.store.Address()},
		{&d.peers, d.port(operator.FirstPort)},
		{&d.callers, d.port(operator.FrontendPort)},
	} {
		var err error
		if *l.link, err = newLink(w.ip(0), l.target); err != nil {
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
		Name: d.name, IP: d.ip, Zone: "a", StoreAddress: d.store.address(), FirstStart: first,
		GraceSeconds: grace.Seconds(), RetryRatio: retryRatio, RetryAllowance: retryAllowance,
	})
}

// start starts the process; its output goes to a file for each life.
func (d *daemon) start(first bool) error {
	if err := d.writeSettings(first); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	output, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("%s-%d.log", d.name, d.life)))
	if err != nil {
		return errors.Trace(err)
	}
	args := append(d.program[1:len(d.program):len(d.program)], "--settings", d.settingsPath(), "--peer-advertise", d.peers.address())
	command := exec.Command(d.program[0], args...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		output.Close()
		return errors.Annotatef(err, "start %s; --program must name the daemon", d.program[0])
	}
	exited := make(chan struct{})
	d.command, d.exited = command, exited
	go func() {
		// The exit status of a killed process says nothing.
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it still runs.
func (d *daemon) signal(s syscall.Signal) (exited chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
	default:
		// A process that ends meanwhile needs no signal.
		_ = d.command.Process.Signal(s)
	}
	return d.exited
}

// terminate stops the process as planned work does and starts it again. It
// returns whether the process had to be killed.
func (d *daemon) terminate() (killed bool, err error) {
	exited := d.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		killed = true
		<-d.signal(syscall.SIGKILL)
	}
	return killed, d.restart()
}

// kill ends the process like a crash and starts it again.
func (d *daemon) kill() error {
	<-d.signal(syscall.SIGKILL)
	return d.restart()
}

func (d *daemon) restart() error {
	time.Sleep(restartPause)
	defer d.release()
	return d.start(false)
}

// lifeNow returns which life the process is in.
func (d *daemon) lifeNow() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.life
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
