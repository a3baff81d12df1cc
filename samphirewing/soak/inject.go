package soak

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

const (
	// stormGap is the time between the configurations of a storm.
	stormGap = 60 * time.Millisecond
	// lingering is how long a leaving endpoint goes on serving.
	lingering = drainBound + time.Second
	// lapseBack is when lapsed entries return after the store has: within the
	// two seconds in which they must be waited for.
	lapseBack = time.Second
	// clockBack is how far an endpoint's clock is set back for a restart.
	clockBack = 5 * time.Second
	// delayMost is the most that a link delays each of its chunks.
	delayMost = 150 * time.Millisecond
	// slowBy is added to each pause of a slow endpoint.
	slowBy = 150 * time.Millisecond
	// forgotten is how many of the newest records a listing lacks after the
	// store has dropped its history.
	forgotten = 2
)

// claim is held by the one fault that stops, replaces or degrades something.
type claim struct{ held atomic.Bool }

// take claims, unless another fault has the claim.
func (c *claim) take() bool { return c.held.CompareAndSwap(false, true) }

// release gives the claim back.
func (c *claim) release() { c.held.Store(false) }

// injector brings faults about.
type injector struct {
	world *world
	// storeMu guards the store's switches, which faults share.
	storeMu sync.Mutex
	store   metastore.Faults
}

// inject brings one fault about and returns when it is over.
func (in *injector) inject(f fault) error {
	w := in.world
	d := w.daemons[f.target%len(w.daemons)]
	e := w.endpoints[f.target%len(w.endpoints)]
	switch f.kind {
	case daemonTerm, daemonKill, daemonPause:
		return in.process(f, d)
	case daemonHangup:
		defer w.history.begin(f.kind, d.name)()
		if err := d.writeSettings(false); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP)
	case settingsBroken:
		defer w.history.begin(f.kind, d.name)()
		if err := operator.ReplaceFile(d.settingsPath(), "\x00 not: [settings"); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP)
		time.Sleep(f.length)
		return d.writeSettings(false)
	case configPublish, configStorm:
		in.publish(f)
	case linkDelay, linkReset, linkSilence, linkHoldUp, linkHoldDown, linkRefuse:
		in.link(f)
	case storeAway, storeSilent, storeLoses, storeForgets, storeLapse:
		in.storeFault(f)
	case endpointRejects, endpointLoses, endpointSlow:
		in.degrade(f, e)
	case poolRejects:
		in.degradePool(f, e.options.Service)
	default:
		return in.endpoint(f, e)
	}
	return nil
}

func (in *injector) process(f fault, d *daemon) error {
	if !d.take() {
		return nil
	}
	defer in.world.history.begin(f.kind, d.name)()
	switch f.kind {
	case daemonTerm:
		killed, err := d.terminate()
		if killed {
			in.world.history.overstayed(d.name)
		}
		return err
	case daemonKill:
		return d.kill()
	}
	d.signal(syscall.SIGSTOP)
	time.Sleep(f.length)
	d.signal(syscall.SIGCONT)
	d.release()
	return nil
}

func (in *injector) publish(f fault) {
	defer in.world.history.begin(f.kind, "")()
	n := 1
	if f.kind == configStorm {
		n = 2 + f.target%8
	}
	for range n {
		in.world.publish()
		time.Sleep(stormGap)
	}
}

// links returns all links with the scope that their faults have.
func (w *world) links() (all []*link, scopes []string) {
	for _, d := range w.daemons {
		all = append(all, d.store, d.peers, d.callers)
		scopes = append(scopes, d.name, d.name, d.name)
	}
	for _, e := range w.endpoints {
		all, scopes = append(all, e.link), append(scopes, e.options.ID)
	}
	return all, scopes
}

func (in *injector) link(f fault) {
	links, scopes := in.world.links()
	n := f.target % len(links)
	l := links[n]
	defer in.world.history.begin(f.kind, scopes[n])()
	switch f.kind {
	case linkReset:
		l.reset()
	case linkSilence:
		l.silence()
		// What was sent before may be waited for until it times out.
		time.Sleep(contact)
	case linkDelay:
		l.setDelay(min(f.length/10, delayMost))
		time.Sleep(f.length)
		l.setDelay(0)
	case linkHoldUp:
		l.hold(towardsTarget, true)
		time.Sleep(f.length)
		l.hold(towardsTarget, false)
	case linkHoldDown:
		l.hold(fromTarget, true)
		time.Sleep(f.length)
		l.hold(fromTarget, false)
	case linkRefuse:
		l.setRefuse(true)
		l.reset()
		time.Sleep(f.length)
		l.setRefuse(false)
	}
}

// switchStore changes the store's switches, beside what other faults set.
func (in *injector) switchStore(change func(*metastore.Faults)) {
	in.storeMu.Lock()
	defer in.storeMu.Unlock()
	change(&in.store)
	in.world.store.SetFaults(in.store)
}

func (in *injector) storeFault(f fault) {
	w := in.world
	defer w.history.begin(f.kind, "")()
	set := func(on bool) {
		in.switchStore(func(s *metastore.Faults) {
			switch f.kind {
			case storeAway, storeLapse:
				s.Unavailable = on
			case storeSilent:
				s.Silent = on
			case storeLoses:
				s.LoseAnswers = on
			}
		})
	}
	if f.kind == storeForgets {
		in.forget(f.length)
		return
	}
	set(true)
	if f.kind == storeLapse {
		in.lapse(f.length, set)
		return
	}
	time.Sleep(f.length)
	set(false)
}

// forget keeps news from the daemons while changes are made, drops the history,
// and then lists a state from before those changes.
func (in *injector) forget(length time.Duration) {
	in.switchStore(func(s *metastore.Faults) { s.Deaf = true })
	for range forgotten {
		in.world.publish()
		time.Sleep(stormGap)
	}
	in.world.store.Compact(operator.Topic)
	in.world.store.Compact(runner.TopicEntries)
	in.switchStore(func(s *metastore.Faults) { s.Deaf, s.StaleRecords = false, forgotten+1 })
	time.Sleep(length)
	in.switchStore(func(s *metastore.Faults) { s.StaleRecords = 0 })
}

// lapse drops the entries of half of the endpoints while the store is away.
func (in *injector) lapse(length time.Duration, set func(bool)) {
	var lapsed []*endpoint
	for _, e := range in.world.endpoints[:len(in.world.endpoints)/2] {
		if e.take() {
			lapsed = append(lapsed, e)
			e.current().Unregister()
		}
	}
	time.Sleep(length)
	set(false)
	time.Sleep(lapseBack)
	for _, e := range lapsed {
		e.current().Register("ready")
		e.release()
	}
}

func (in *injector) degrade(f fault, e *endpoint) {
	if !e.take() {
		return
	}
	defer e.release()
	defer in.world.history.begin(f.kind, e.options.ID)()
	switch r := e.current(); f.kind {
	case endpointRejects, poolRejects:
		r.SetFaults(runner.Faults{Reject: true})
	case endpointLoses:
		r.SetFaults(runner.Faults{LoseAnswers: true})
	default:
		r.SetFaults(runner.Faults{Slow: slowBy})
	}
	time.Sleep(f.length)
	e.current().SetFaults(runner.Faults{})
}

// degradePool degrades all endpoints of a pool, for long enough to use a retry
// budget up.
func (in *injector) degradePool(f fault, pool string) {
	f.length += budgetWindow / 2
	var degrading sync.WaitGroup
	for _, e := range in.world.endpoints {
		if e.options.Service == pool {
			degrading.Go(func() { in.degrade(f, e) })
		}
	}
	degrading.Wait()
}

// endpoint replaces an endpoint by its next life.
func (in *injector) endpoint(f fault, e *endpoint) error {
	if !e.take() {
		return nil
	}
	defer e.release()
	w := in.world
	defer w.history.begin(f.kind, e.options.ID)()
	old, offset := e.current(), time.Duration(0)
	switch f.kind {
	case endpointDrain:
		old.Register("draining")
		e.mu.Lock()
		life := len(e.lives)
		e.mu.Unlock()
		w.history.leave(leaving{endpoint: e.options.ID, life: life, at: time.Now()})
		time.Sleep(lingering)
		old.Unregister()
	case endpointClock:
		offset = -clockBack
	}
	old.Close()
	if f.kind != endpointDrain {
		e.link.reset()
	}
	time.Sleep(f.length)
	return w.startEndpoint(e, offset)
}
