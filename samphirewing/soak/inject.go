package soak

import (
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

const (
	// stormInterval is the time between publications of a configuration storm.
	stormInterval = 60 * time.Millisecond
	// largeRoutes is the number of unused routes of a large configuration, of some 210
	// KB. minLargeGap and maxLargeGap bound the time between two of them, slowStoreRate
	// is the bandwidth of the links to the store meanwhile, in bytes per second.
	largeRoutes   = 1150
	minLargeGap   = 400 * time.Millisecond
	maxLargeGap   = 550 * time.Millisecond
	slowStoreRate = 10e6 / 8
	// drainServeTime is how long a leaving endpoint continues to serve. It
	// exceeds drainBound, so that late requests are observed.
	drainServeTime = drainBound + time.Second
	// lapseReturnDelay is the time from the store's return to that of the
	// lapsed entries. It lies within the 2 s for which daemons must wait for
	// them.
	lapseReturnDelay = time.Second
	// clockSetback is how far an endpoint's clock is set back on a restart.
	clockSetback = 5 * time.Second
	// maxLinkDelay bounds the delay of each chunk on a link.
	maxLinkDelay = 150 * time.Millisecond
	// slowPause is added to each pause of a slow endpoint.
	slowPause = 150 * time.Millisecond
	// episodeLength is the length of a short slow episode and of the time between
	// two, episodePause what it adds to each pause of a stream, which is then 2.5
	// times as long.
	episodeLength = 600 * time.Millisecond
	episodePause  = 3 * streamPause / 2
	// minLateWrite and maxLateWrite bound how late the store executes the write of
	// an endpoint. Most of these times are between drainBound and the endpoint's end.
	minLateWrite = drainBound - 300*time.Millisecond
	maxLateWrite = drainServeTime + 300*time.Millisecond
	// minBackoff and maxBackoff bound the time for which an endpoint asks for no
	// requests.
	minBackoff = time.Second
	maxBackoff = 4 * time.Second
	// readersObserved is the time in which the daemons that read the store for
	// others are told by what they transfer.
	readersObserved = time.Second
	// minRestoreAway and maxRestoreAway bound how long the store is away before it comes
	// back from a copy.
	minRestoreAway = 200 * time.Millisecond
	maxRestoreAway = 900 * time.Millisecond
	// staleRecordCount is the number of latest records that a listing lacks
	// after the store has dropped its history.
	staleRecordCount = 2
)

// claim gives one fault at a time the exclusive right to stop, replace or
// degrade its owner.
type claim struct{ held atomic.Bool }

// tryAcquire acquires the claim and returns false if another fault holds it.
func (c *claim) tryAcquire() bool { return c.held.CompareAndSwap(false, true) }

func (c *claim) release() { c.held.Store(false) }

// injector injects faults into an environment.
type injector struct {
	env *environment
	// storeMu guards storeFaults, which concurrent faults share.
	storeMu     sync.Mutex
	storeFaults metastore.Faults
	// poisoning is held while a prompt part crashes endpoints.
	poisoning claim
	// publishing is held while large configurations are published.
	publishing claim
	// rollingOut is held while an order is in progress, restoring while the store is
	// about to be restored.
	rollingOut claim
	restoring  claim
}

// inject injects one fault and returns when it is over.
func (in *injector) inject(f fault) error {
	env := in.env
	d := env.daemons[f.target%len(env.daemons)]
	e := env.endpoints[f.target%len(env.endpoints)]
	switch f.kind {
	case daemonTerm, daemonKill, daemonPause:
		return in.injectDaemonFault(f, d)
	case daemonTermWaiting:
		return in.stopWhileWaiting(f, d)
	case daemonHangup:
		defer env.history.beginSpan(f.kind, d.name)()
		if err := d.writeSettings(false); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP)
	case settingsBroken:
		defer env.history.beginSpan(f.kind, d.name)()
		if err := operator.ReplaceFile(d.settingsPath(), "\x00 not: [settings"); err != nil {
			return err
		}
		d.signal(syscall.SIGHUP)
		time.Sleep(f.duration)
		return d.writeSettings(false)
	case configPublish, configStorm:
		in.injectPublications(f)
	case configLarge:
		in.publishLarge(f)
	case linkDelay, linkReset, linkSilence, linkHoldUp, linkHoldDown, linkRefuse:
		in.injectLinkFault(f)
	case storeUnavailable, storeSilent, storeLosesAnswers, storeForgets, storeLapse:
		in.injectStoreFault(f)
	case endpointRejects, endpointLosesAnswers, endpointSlow, endpointEpisodes, endpointBackoff, endpointOddStatus:
		in.degradeEndpoint(f, e)
	case readersCut:
		in.cutReaders(f)
	case endpointLimit:
		f.duration += limitWindow + contactTimeout
		in.degradeEndpoint(f, e)
	case badVersion:
		return in.orderBadVersion(f)
	case versionJoins:
		return in.joinVersion(f, d)
	case storeRestored:
		in.restoreStore(f)
	case daemonsKill:
		return in.killDaemons(f)
	case poisonPart:
		in.poison(f)
	case poolRejects:
		in.degradePool(f, e.options.Service)
	default:
		return in.replaceEndpoint(f, e)
	}
	return nil
}

func (in *injector) injectDaemonFault(f fault, d *daemon) error {
	if !d.tryAcquire() {
		return nil
	}
	defer in.env.history.beginSpan(f.kind, d.name)()
	switch f.kind {
	case daemonTerm:
		killed, err := d.terminate()
		if killed {
			in.env.history.addOverdueStop(d.name)
		}
		return err
	case daemonKill:
		return d.kill()
	}
	d.signal(syscall.SIGSTOP)
	time.Sleep(f.duration)
	d.signal(syscall.SIGCONT)
	d.release()
	return nil
}

func (in *injector) injectPublications(f fault) {
	defer in.env.history.beginSpan(f.kind, "")()
	n := 1
	if f.kind == configStorm {
		n = 2 + f.target%8
	}
	for range n {
		in.env.publish(0)
		time.Sleep(stormInterval)
	}
}

// publishLarge publishes two large configurations, the second while daemons still read
// the first. The links to the store are slow, but for those of the daemons that read it
// for others. Nothing else is published until a daemon that has missed the second one
// would be late.
func (in *injector) publishLarge(f fault) {
	if !in.publishing.tryAcquire() {
		return
	}
	defer in.publishing.release()
	defer in.env.history.beginSpan(f.kind, "")()
	readers := in.env.storeReaders()
	for _, d := range in.env.daemons {
		if !slices.Contains(readers, d) {
			d.store.setRate(slowStoreRate)
			defer d.store.setRate(0)
		}
	}
	in.env.publish(largeRoutes)
	time.Sleep(f.between(minLargeGap, maxLargeGap))
	in.env.publish(largeRoutes)
	time.Sleep(applyBound + time.Second)
}

// links returns all links and, at the same index, the scope of their faults.
func (env *environment) links() (all []*link, scopes []string) {
	for _, d := range env.daemons {
		all = append(all, d.store, d.peers, d.callers)
		scopes = append(scopes, d.name, d.name, d.name)
	}
	for _, e := range env.endpoints {
		all, scopes = append(all, e.link), append(scopes, e.options.ID)
	}
	return all, scopes
}

func (in *injector) injectLinkFault(f fault) {
	links, scopes := in.env.links()
	n := f.target % len(links)
	l := links[n]
	defer in.env.history.beginSpan(f.kind, scopes[n])()
	switch f.kind {
	case linkReset:
		l.reset()
	case linkSilence:
		l.silence()
		// Requests sent on silenced connections may wait until they time out.
		time.Sleep(contactTimeout)
	case linkDelay:
		l.setDelay(min(f.duration/10, maxLinkDelay))
		time.Sleep(f.duration)
		l.setDelay(0)
	case linkHoldUp:
		l.setHeld(toTarget, true)
		time.Sleep(f.duration)
		l.setHeld(toTarget, false)
	case linkHoldDown:
		l.setHeld(fromTarget, true)
		time.Sleep(f.duration)
		l.setHeld(fromTarget, false)
	case linkRefuse:
		l.setRefuse(true)
		l.reset()
		time.Sleep(f.duration)
		l.setRefuse(false)
	}
}

// storeReaders returns the daemons that read the store for others, at most half of
// all. It observes them for readersObserved.
func (env *environment) storeReaders() (readers []*daemon) {
	before, transferred, busiest := make([]int64, len(env.daemons)), make([]int64, len(env.daemons)), int64(0)
	for i, d := range env.daemons {
		before[i] = d.store.transferredBytes()
	}
	time.Sleep(readersObserved)
	for i, d := range env.daemons {
		transferred[i] = d.store.transferredBytes() - before[i]
		busiest = max(busiest, transferred[i])
	}
	for i, d := range env.daemons {
		if transferred[i] > busiest/2 && len(readers) < len(env.daemons)/2 {
			readers = append(readers, d)
		}
	}
	return readers
}

// cutReaders cuts the daemons that read the store for others off from it, and
// publishes a configuration that the others must learn of.
func (in *injector) cutReaders(f fault) {
	for _, d := range in.env.storeReaders() {
		defer in.env.history.beginSpan(f.kind, d.name)()
		for _, direction := range []int{toTarget, fromTarget} {
			d.store.setHeld(direction, true)
			defer d.store.setHeld(direction, false)
		}
	}
	in.env.publish(0)
	time.Sleep(max(f.duration, contactTimeout))
}

// changeStoreFaults changes the store's injected faults and preserves those set
// by other faults.
func (in *injector) changeStoreFaults(change func(*metastore.Faults)) {
	in.storeMu.Lock()
	defer in.storeMu.Unlock()
	change(&in.storeFaults)
	in.env.store.SetFaults(in.storeFaults)
}

func (in *injector) injectStoreFault(f fault) {
	env := in.env
	defer env.history.beginSpan(f.kind, "")()
	set := func(on bool) {
		in.changeStoreFaults(func(s *metastore.Faults) {
			switch f.kind {
			case storeUnavailable, storeLapse:
				s.Unavailable = on
			case storeSilent:
				s.Silent = on
			case storeLosesAnswers:
				s.LoseAnswers = on
			}
		})
	}
	if f.kind == storeForgets {
		in.dropStoreHistory(f.duration)
		return
	}
	set(true)
	if f.kind == storeLapse {
		in.lapseEntries(f.duration, set)
		return
	}
	time.Sleep(f.duration)
	set(false)
}

// dropStoreHistory withholds updates from the daemons while configurations are
// published, compacts the history, and then makes listings return a state from
// before those publications.
func (in *injector) dropStoreHistory(length time.Duration) {
	in.changeStoreFaults(func(s *metastore.Faults) { s.HideRecords = true })
	for range staleRecordCount {
		in.env.publish(0)
		time.Sleep(stormInterval)
	}
	in.env.store.Compact(operator.ConfigTopic)
	in.env.store.Compact(runner.TopicEntries)
	in.changeStoreFaults(func(s *metastore.Faults) { s.HideRecords, s.StaleRecords = false, staleRecordCount+1 })
	time.Sleep(length)
	in.changeStoreFaults(func(s *metastore.Faults) { s.StaleRecords = 0 })
}

// restoreStore takes a copy of the store, and later brings the store back from it after a
// short absence. What the operator and the endpoints have written since is written again.
// The verdict of an order would be lost with it, so that none is in progress.
func (in *injector) restoreStore(f fault) {
	if !in.restoring.tryAcquire() {
		return
	}
	defer in.restoring.release()
	if !in.rollingOut.tryAcquire() {
		return
	}
	defer in.rollingOut.release()
	env := in.env
	copied := env.store.Copy()
	time.Sleep(f.duration)
	defer env.history.beginSpan(f.kind, "")()
	in.changeStoreFaults(func(s *metastore.Faults) { s.Unavailable = true })
	time.Sleep(f.between(minRestoreAway, maxRestoreAway))
	env.store.Restore(copied)
	in.changeStoreFaults(func(s *metastore.Faults) { s.Unavailable = false })
	env.operator.Rewrite()
	for _, e := range env.allEndpoints() {
		e.currentRunner().Rewrite()
	}
}

// killDaemons kills all daemons at once, but for those that another fault stops.
func (in *injector) killDaemons(f fault) error {
	defer in.env.history.beginSpan(f.kind, "")()
	var killing sync.WaitGroup
	errs := make(chan error, len(in.env.daemons))
	for _, d := range in.env.daemons {
		if d.tryAcquire() {
			killing.Go(func() { errs <- d.kill() })
		}
	}
	killing.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// lapseEntries removes the entries of half of the endpoints while the store is
// unavailable.
func (in *injector) lapseEntries(length time.Duration, set func(bool)) {
	var lapsed []*endpoint
	for _, e := range in.env.endpoints[:len(in.env.endpoints)/2] {
		if e.tryAcquire() {
			lapsed = append(lapsed, e)
			e.currentRunner().Unregister()
		}
	}
	time.Sleep(length)
	set(false)
	time.Sleep(lapseReturnDelay)
	for _, e := range lapsed {
		e.currentRunner().Register("ready")
		e.release()
	}
}

func (in *injector) degradeEndpoint(f fault, e *endpoint) {
	if !e.tryAcquire() {
		return
	}
	defer e.release()
	defer in.env.history.beginSpan(f.kind, e.options.ID)()
	switch r := e.currentRunner(); f.kind {
	case endpointRejects, poolRejects:
		r.SetFaults(runner.Faults{Reject: true})
	case endpointLosesAnswers:
		r.SetFaults(runner.Faults{LoseAnswers: true})
	case endpointBackoff:
		r.SetFaults(runner.Faults{Reject: true, Backoff: f.between(minBackoff, maxBackoff)})
	case endpointOddStatus:
		r.SetFaults(runner.Faults{OddStatus: true})
	case endpointLimit:
		r.SetFaults(runner.Faults{RateLimit: float64(1+f.target%12) / 2})
	case endpointEpisodes:
		for end := time.Now().Add(f.duration); time.Now().Before(end); time.Sleep(episodeLength) {
			r.SetFaults(runner.Faults{ExtraDelay: episodePause})
			time.Sleep(episodeLength)
			r.SetFaults(runner.Faults{})
		}
		return
	default:
		r.SetFaults(runner.Faults{ExtraDelay: slowPause})
	}
	time.Sleep(f.duration)
	e.currentRunner().SetFaults(runner.Faults{})
}

// degradePool degrades all endpoints of a pool, for long enough to exhaust a
// retry budget.
func (in *injector) degradePool(f fault, pool string) {
	f.duration += budgetWindow / 2
	var degrading sync.WaitGroup
	for _, e := range in.env.endpoints {
		if e.options.Service == pool {
			degrading.Go(func() { in.degradeEndpoint(f, e) })
		}
	}
	degrading.Wait()
}

// replaceEndpoint stops an endpoint as the fault demands and starts its next
// incarnation.
func (in *injector) replaceEndpoint(f fault, e *endpoint) error {
	if !e.tryAcquire() {
		return nil
	}
	defer e.release()
	env := in.env
	defer env.history.beginSpan(f.kind, e.options.ID)()
	old, offset := e.currentRunner(), time.Duration(0)
	switch f.kind {
	case endpointDrain, endpointLateWrite:
		if f.kind == endpointLateWrite {
			old.RegisterLate("ready", f.between(minLateWrite, maxLateWrite))
		}
		old.Register("draining")
		e.mu.Lock()
		incarnation := len(e.incarnations)
		e.mu.Unlock()
		env.history.addDrainNotice(drainNotice{endpoint: e.options.ID, incarnation: incarnation, at: time.Now()})
		time.Sleep(drainServeTime)
		old.Unregister()
	case endpointLeaves:
		old.SetFaults(runner.Faults{Leaving: true})
		time.Sleep(drainServeTime)
	case endpointClock:
		offset = -clockSetback
	case endpointUpgrade:
		e.options.Version = otherVersion(e.options.Version)
	case endpointUnframed:
		leaves := f.target%2 == 0
		old.SetFaults(runner.Faults{Unframed: true})
		time.Sleep(f.duration)
		old.SetFaults(runner.Faults{Unframed: true, Leaving: leaves})
		time.Sleep(f.between(0, drainBound))
	}
	old.Close()
	if f.kind != endpointDrain && f.kind != endpointLateWrite && f.kind != endpointUnframed {
		e.link.reset()
	}
	time.Sleep(f.duration)
	return env.startEndpoint(e, offset)
}
