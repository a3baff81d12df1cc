package soak

import (
	"fmt"
	"syscall"
	"time"

	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

const (
	// joiningEndpoints is the number of endpoints of a version that joins.
	joiningEndpoints = 2
	// minJoined and maxJoined bound for how long they serve before they crash. The
	// other daemons list and admit them meanwhile.
	minJoined = 700 * time.Millisecond
	maxJoined = 3 * time.Second
)

// joinVersion lets endpoints of a new version join while a daemon stands still or is cut
// off from the other daemons, and crashes them as that daemon comes back, so that their
// streams are taken up there, too.
func (in *injector) joinVersion(f fault, d *daemon) error {
	if !d.tryAcquire() {
		return nil
	}
	// The span covers the return of the daemon.
	defer in.env.history.beginSpan(f.kind, d.name)()
	comeBack := func() { d.peers.setRefuse(false) }
	if f.target%2 == 0 {
		d.signal(syscall.SIGSTOP)
		comeBack = func() { d.signal(syscall.SIGCONT) }
	} else {
		d.peers.setRefuse(true)
		d.peers.reset()
	}
	defer d.release()
	var joined []*endpoint
	for n := range joiningEndpoints {
		version := fmt.Sprintf("joined-%d", f.target)
		joined = append(joined, &endpoint{options: runner.Options{
			ID: fmt.Sprintf("engine-%s-%d", version, n), Service: operator.Engines, Zone: zone(n), Slots: 8, Events: streamEvents, Delay: streamPause, Version: version, ShowVersion: true,
		}})
	}
	in.env.history.addEndpoints(joined)
	for _, e := range joined {
		// Their crash cuts streams at all daemons.
		defer in.env.history.beginSpan(f.kind, e.options.ID)()
		if err := in.env.startEndpoint(e, 0); err != nil {
			comeBack()
			return err
		}
	}
	time.Sleep(f.between(minJoined, maxJoined))
	for _, e := range joined {
		e.currentRunner().Close()
		e.link.reset()
	}
	comeBack()
	// Their entries expire later.
	time.Sleep(contactTimeout)
	for _, e := range joined {
		e.currentRunner().Unregister()
		e.link.close()
	}
	return nil
}

// addEndpoints adds endpoints whose arrivals are evidence.
func (h *history) addEndpoints(endpoints []*endpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addedEndpoints = append(h.addedEndpoints, endpoints...)
}
