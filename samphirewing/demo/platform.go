package demo

import (
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/platform"
	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
	"github.com/samphirewing/samphirewing/standin/runner"
)

// Platform is the deployment that runs on stand-ins of the users' platform.
const Platform = "platform"

// PlatformSystem runs daemons against stand-ins of the users' platform on
// loopback.
type PlatformSystem struct {
	Store   *metastore.Store
	Daemons []*platform.Daemon
	Runners []*runner.Runner
	// Operator publishes configurations.
	Operator *operator.Operator
	sink     events.Sink
}

// StartPlatform starts a system with the given number of daemons and waits
// until they are ready.
func StartPlatform(daemons int, sink events.Sink) (*PlatformSystem, error) {
	store, err := metastore.Start()
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &PlatformSystem{Store: store, Operator: operator.New(store), sink: sink}
	s.Operator.Publish(nil)
	if err := s.startRunners(); err != nil {
		s.Close()
		return nil, err
	}
	for n := range daemons {
		if _, err := s.StartDaemon(fmt.Sprintf("daemon-%d", n+1)); err != nil {
			s.Close()
			return nil, err
		}
	}
	return s, s.awaitReady()
}

func (s *PlatformSystem) startRunners() error {
	runnerOptions := []runner.Options{
		{ID: "engine-1", Service: operator.Engines, Zone: "a", Slots: 8, Events: 5, Delay: 20 * time.Millisecond},
		{ID: "engine-2", Service: operator.Engines, Zone: "b", Slots: 8, Events: 5, Delay: 20 * time.Millisecond},
		{ID: "orders-1", Service: operator.Orders, Zone: "a", Slots: 4, Delay: 5 * time.Millisecond},
		{ID: "orders-2", Service: operator.Orders, Zone: "b", Slots: 4, Delay: 5 * time.Millisecond},
	}
	for _, o := range runnerOptions {
		r, err := runner.Start(s.Store, o)
		if err != nil {
			return errors.Trace(err)
		}
		s.Runners = append(s.Runners, r)
	}
	return nil
}

// StartDaemon starts an additional daemon without waiting until it is ready.
func (s *PlatformSystem) StartDaemon(name string) (*platform.Daemon, error) {
	d, err := platform.Start(platform.Options{Events: s.sink, Settings: platform.Settings{
		Instance: instance.ID(name), FailureDomain: "a", Region: "r", IP: "127.0.0.1",
		FrontendAddress: loopbackAddress, ReadyAddress: loopbackAddress, DirectoryAddress: loopbackAddress, StoreAddress: s.Store.Address(),
		FirstStart: true, DrainGrace: 8 * time.Second, RetryRatio: 0.2, RetryAllowance: 50,
	}})
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.Daemons = append(s.Daemons, d)
	return d, nil
}

func (s *PlatformSystem) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, d := range s.Daemons {
		for !d.Ready() {
			if time.Now().After(deadline) {
				return errors.Errorf("daemon %s is not ready after %v", d.Settings().Instance, readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// WriteGuide prints the addresses and example commands.
func (s *PlatformSystem) WriteGuide(w io.Writer) {
	fmt.Fprintf(w, "samphirewing demo on stand-ins of the platform; store http://%s\n\n", s.Store.Address())
	for _, d := range s.Daemons {
		settings := d.Settings()
		fmt.Fprintf(w, "  %s  callers http://%s  directory http://%s  readiness http://%s\n", settings.Instance, settings.FrontendAddress, settings.DirectoryAddress, settings.ReadyAddress)
	}
	settings := s.Daemons[0].Settings()
	operator.WriteExamples(w, settings.DirectoryAddress, settings.FrontendAddress)
}

// Close kills the daemons and stops all stand-ins without a grace period.
func (s *PlatformSystem) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	for _, r := range s.Runners {
		r.Close()
	}
	s.Store.Close()
}
