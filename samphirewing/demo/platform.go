package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/platform"
	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/runner"
)

// Platform is the deployment that runs on stand-ins of the users' platform.
const Platform = "platform"

// The names that the platform demo uses.
const (
	PlatformHost = "demo.example"
	PlatformKey  = "demo-key"

	platformEngines  = "engines"
	platformServices = "orders"
	// platformTopic and platformDocument are where the operator's configuration
	// stands.
	platformTopic    = "keyed.op"
	platformDocument = "config"
)

// PlatformSystem is daemons on stand-ins of the users' platform, on loopback.
type PlatformSystem struct {
	Store   *metastore.Store
	Daemons []*platform.Daemon
	Runners []*runner.Runner
	version int
	events  events.Sink
}

// StartPlatform starts a system and waits until its daemons are ready.
func StartPlatform(daemons int, sink events.Sink) (*PlatformSystem, error) {
	store, err := metastore.Start()
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &PlatformSystem{Store: store, events: sink}
	s.Configure(nil)
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
	all := []runner.Options{
		{ID: "engine-1", Service: platformEngines, Zone: "a", Slots: 8, Events: 5, Pause: 20 * time.Millisecond},
		{ID: "engine-2", Service: platformEngines, Zone: "b", Slots: 8, Events: 5, Pause: 20 * time.Millisecond},
		{ID: "orders-1", Service: platformServices, Zone: "a", Slots: 4, Pause: 5 * time.Millisecond},
		{ID: "orders-2", Service: platformServices, Zone: "b", Slots: 4, Pause: 5 * time.Millisecond},
	}
	for _, o := range all {
		r, err := runner.Start(s.Store, o)
		if err != nil {
			return errors.Trace(err)
		}
		s.Runners = append(s.Runners, r)
	}
	return nil
}

// Configure writes the next version of the configuration; change may adjust
// its document.
func (s *PlatformSystem) Configure(change func(document map[string]any)) {
	s.version++
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"Name": name, "Host": PlatformHost, "PathPrefix": "/" + name + "/", "RouteType": kind, "TimeoutMs": 8000,
			"TargetLatencyMs": 500, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Resumable": resumable, "GapTargetMs": 300,
		}
	}
	document := map[string]any{
		"Version": s.version,
		"Routes": []any{
			route("draft", "streaming", platformEngines, 2, true), route("suggest", "streaming", platformEngines, 1, false),
			route("confirm", "non_idempotent", platformServices, 1, false), route("lookup", "idempotent", platformServices, 2, false),
		},
		"Services": []any{
			map[string]any{"Name": platformEngines, "Engine": map[string]any{"Slots": 8, "KvCapacity": 400000, "Stride": 5}},
			map[string]any{"Name": platformServices},
		},
		"Limits":  map[string]any{"MaxBodyBytes": 1 << 20},
		"Tenants": []any{map[string]any{"Name": "shop", "ApiKeys": []string{PlatformKey}, "UncachedTokens": 200}},
	}
	if change != nil {
		change(document)
	}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	s.Store.Put(platformTopic, platformDocument, text)
}

// StartDaemon starts one more daemon.
func (s *PlatformSystem) StartDaemon(name string) (*platform.Daemon, error) {
	d, err := platform.Start(platform.Options{Events: s.events, Settings: platform.Settings{
		Instance: instance.ID(name), FailureDomain: "a", Region: "r", IP: "127.0.0.1",
		FrontendAddress: loopback, ReadyAddress: loopback, DirectoryAddress: loopback, StoreAddress: s.Store.Address(),
		FirstStart: true, DrainGrace: 8 * time.Second, RetryRatio: 0.2, RetryAllowance: 50, RetryWindow: 10 * time.Second,
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

// WriteGuide prints the addresses and lines to paste.
func (s *PlatformSystem) WriteGuide(w io.Writer) {
	fmt.Fprintf(w, "samphirewing demo on stand-ins of the platform; store http://%s\n\n", s.Store.Address())
	for _, d := range s.Daemons {
		set := d.Settings()
		fmt.Fprintf(w, "  %s  callers http://%s  directory http://%s  readiness http://%s\n", set.Instance, set.FrontendAddress, set.DirectoryAddress, set.ReadyAddress)
	}
	set := s.Daemons[0].Settings()
	fmt.Fprintf(w, "\nAddresses to use\n  curl 'http://%s/samphirewing/resolve?Name=%s'\n", set.DirectoryAddress, PlatformHost)
	fmt.Fprintf(w, "\nA stream\n  curl -N -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'X-Attempt-Id: one' -H 'X-Deadline-Ms: 5000' -d brief http://%s/draft/1\n", PlatformHost, PlatformKey, set.FrontendAddress)
	fmt.Fprintf(w, "\nA call that runs at most once\n  curl -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'X-Attempt-Id: two' -H 'X-Deadline-Ms: 1500' -d order http://%s/confirm/1\n", PlatformHost, PlatformKey, set.FrontendAddress)
}

// Close ends everything at once.
func (s *PlatformSystem) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	for _, r := range s.Runners {
		r.Close()
	}
	s.Store.Close()
}
