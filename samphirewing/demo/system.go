package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/standin/directory"
	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/standin/eventlog"
	"github.com/samphirewing/samphirewing/standin/list"
	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/standin/service"
	"github.com/samphirewing/samphirewing/standin/weights"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

const (
	// DefaultDaemons is the default number of daemons.
	DefaultDaemons = 4
	// OperatorName and OperatorToken are the credentials of the demo's operator.
	OperatorName  = "operator"
	OperatorToken = "demo-operator"

	readyTimeout = 30 * time.Second
	readyPoll    = 10 * time.Millisecond
	// Limits and delays of the platform's stand-ins, modelled on the users'
	// platform.
	logAppendsPerSecond  = 400
	listLag              = 300 * time.Millisecond
	loadLag              = 500 * time.Millisecond
	eventLag             = 300 * time.Millisecond
	eventGapRate         = 0.02
	modelWeightBytes     = 4 << 30
	weightBytesPerSecond = 1 << 30
	// clockSlack is small because all daemons share one clock.
	clockSlack      = 200 * time.Millisecond
	loopbackAddress = "127.0.0.1:0"
)

// Options configures a demo system.
type Options struct {
	Deployment string
	Daemons    int
	// Speedup divides the time that the engines take for their work; 1 is real
	// time.
	Speedup float64
	Log     log.Interface
	// Adjust modifies the settings of each daemon before it starts.
	Adjust func(*daemon.Settings)
}

// System is a running demo. Callers may use its fields to inject faults into
// the stand-ins.
type System struct {
	Log       *eventlog.Memory
	LogServer *eventlog.Server
	List      *list.Server
	Weights   *weights.Server
	Engines   []*engine.Server
	Services  []*service.Server
	Daemons   []*daemon.Daemon
	// Directory serves the debug paths of all stand-ins at one address.
	Directory *netfault.Server

	options    Options
	deployment deployment
	// mu guards Daemons between StartDaemon and the kill handlers.
	mu sync.Mutex
}

// Start starts the stand-ins and the daemons, applies the deployment's
// catalogue and returns once it is active on every daemon.
func Start(ctx context.Context, o Options) (*System, error) {
	d, err := findDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	if o.Daemons == 0 {
		o.Daemons = DefaultDaemons
	}
	s := &System{options: o, deployment: d}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// StartWithoutDaemons starts the deployment's engines, services and platform,
// for daemons that run as separate processes.
func StartWithoutDaemons(ctx context.Context, o Options) (*System, error) {
	d, err := findDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	s := &System{options: o, deployment: d}
	if err := s.runSteps(ctx, s.environmentSteps()); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// startStep starts one part of the system or waits until it is ready.
type startStep func(context.Context) error

func (s *System) environmentSteps() []startStep {
	return []startStep{s.startPlatform, s.startEngines, s.startServices, s.startDirectory}
}

func (s *System) start(ctx context.Context) error {
	return s.runSteps(ctx, append(s.environmentSteps(), s.startDaemons, s.awaitLoaded, s.applyCatalogue, s.awaitReady))
}

func (s *System) runSteps(ctx context.Context, steps []startStep) error {
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) startPlatform(context.Context) error {
	var err error
	s.Log = eventlog.NewMemory(eventlog.Options{AppendsPerSecond: logAppendsPerSecond})
	if s.LogServer, err = eventlog.Serve(loopbackAddress, s.Log); err != nil {
		return errors.Annotate(err, "starting the log service")
	}
	if s.List, err = list.Start(list.Options{Lag: listLag}); err != nil {
		return errors.Annotate(err, "starting the membership list")
	}
	rate := edge.WeightRate{BytesPerSecond: weightBytesPerSecond}
	for _, model := range s.deployment.engines.models {
		rate.ModelBytes = append(rate.ModelBytes, edge.ModelSize{Model: string(model), Bytes: modelWeightBytes})
	}
	s.Weights, err = weights.Start(weights.Options{Rate: rate})
	return errors.Annotate(err, "starting the weight store")
}

func (s *System) startEngines(context.Context) error {
	pool := s.deployment.engines
	var models []string
	for _, model := range pool.models {
		models = append(models, string(model))
	}
	for i := range pool.engineCount {
		class := pool.classes[i%len(pool.classes)]
		e, err := engine.Start(engine.Options{
			Name:         string(endpointName(pool.name, i)),
			Models:       models,
			PrefillRate:  class.prefillRate,
			DecodeRate:   class.decodeRate,
			MaxBatch:     class.maxBatch,
			CacheBlocks:  class.cacheBlocks,
			CheckFencing: class.fencing,
			LoadLag:      loadLag,
			EventLag:     eventLag,
			EventGapRate: eventGapRate,
			Seed:         uint64(i),
			Speedup:      s.options.Speedup,
		})
		if err != nil {
			return errors.Annotate(err, "starting an engine")
		}
		s.Engines = append(s.Engines, e)
		s.registerEndpoint(endpointName(pool.name, i), e.URL(), i)
	}
	return nil
}

func (s *System) startServices(context.Context) error {
	pool := s.deployment.services
	for i := range pool.serviceCount {
		server, err := service.Start(service.Options{Name: string(endpointName(pool.name, i)), CallDuration: pool.callTime})
		if err != nil {
			return errors.Annotate(err, "starting a service")
		}
		s.Services = append(s.Services, server)
		s.registerEndpoint(endpointName(pool.name, i), server.URL(), i)
	}
	return nil
}

// startDirectory serves the fault switches and counters of the stand-ins.
func (s *System) startDirectory(context.Context) error {
	components := []directory.Entry{
		{Name: "log", Kind: directory.KindLog, URL: s.LogServer.URL(), Handler: s.LogServer.Debug()},
		{Name: "list", Kind: directory.KindMembers, URL: s.List.URL(), Handler: s.List.Debug()},
		{Name: "weights", Kind: directory.KindWeights, URL: s.Weights.URL(), Handler: s.Weights.Debug()},
	}
	for i, e := range s.Engines {
		name := string(endpointName(s.deployment.engines.name, i))
		components = append(components, directory.Entry{Name: name, Kind: directory.KindEngine, URL: e.URL(), Handler: e.Debug()})
	}
	for i, server := range s.Services {
		name := string(endpointName(s.deployment.services.name, i))
		components = append(components, directory.Entry{Name: name, Kind: directory.KindService, URL: server.URL(), Handler: server.Debug()})
	}
	for i := range s.options.Daemons {
		components = append(components, directory.Entry{
			Name: string(s.Settings(i).InstanceID), Kind: directory.KindDaemon, Handler: s.killHandler(i),
		})
	}
	var err error
	s.Directory, err = directory.Start(loopbackAddress, components)
	return errors.Annotate(err, "starting the stand-ins' directory")
}

// killPath is the path that kills a daemon without a graceful stop, as if its
// process had died.
const killPath = "/debug/kill"

// killHandler serves killPath for daemon i. Requests that arrive before the
// daemon has started have no effect.
func (s *System) killHandler(i int) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(killPath, netfault.ActionHandler(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if i < len(s.Daemons) {
			s.Daemons[i].Kill()
		}
	}))
	return mux
}

func (s *System) registerEndpoint(name structs.EndpointName, address string, i int) {
	s.List.Put(edge.Member{
		Kind: edge.MemberEndpoint, Name: string(name), Address: address,
		FailureDomain: s.deployment.domain(i),
	})
}

func (s *System) startDaemons(ctx context.Context) error {
	for i := range s.options.Daemons {
		if _, err := s.StartDaemon(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// StartDaemon starts daemon i, or restarts it after it was stopped or killed.
func (s *System) StartDaemon(ctx context.Context, i int) (*daemon.Daemon, error) {
	d, err := daemon.Start(ctx, s.Settings(i), daemon.Dependencies{Logger: s.options.Log})
	if err != nil {
		return nil, errors.Annotatef(err, "starting daemon %d", i+1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(s.Daemons) {
		s.Daemons[i] = d
	} else {
		s.Daemons = append(s.Daemons, d)
	}
	return d, nil
}

// Settings returns the settings of daemon i.
func (s *System) Settings(i int) daemon.Settings {
	settings := daemon.Settings{
		InstanceID:        instance.ID(fmt.Sprintf("daemon-%d", i+1)),
		FailureDomain:     s.deployment.domain(i),
		Region:            instance.Region(s.deployment.name),
		CallerListen:      loopbackAddress,
		MeshListen:        loopbackAddress,
		OperatorListen:    loopbackAddress,
		LogURL:            s.LogServer.URL(),
		ListURL:           s.List.URL(),
		WeightStoreURL:    s.Weights.URL(),
		Operators:         []daemon.OperatorCredential{{Name: OperatorName, TokenHash: sha256Hex(OperatorToken)}},
		MaxHeld:           daemon.DefaultMaxHeld,
		MaxConnections:    daemon.DefaultMaxConnections,
		MaxBodyBytes:      daemon.DefaultMaxBodyBytes,
		DefaultDeadline:   daemon.DefaultDeadline,
		ReconnectGrace:    daemon.DefaultReconnectGrace,
		AnswerKeep:        daemon.DefaultAnswerKeep,
		AnswerKeepBytes:   daemon.DefaultAnswerKeepBytes,
		EntriesKeepFor:    daemon.DefaultEntriesKeepFor,
		DrainGrace:        daemon.DefaultDrainGrace,
		BookingWindow:     daemon.DefaultBookingWindow,
		ClockSlack:        clockSlack,
		JournalPartitions: daemon.DefaultJournalPartitions,
	}
	if s.options.Adjust != nil {
		s.options.Adjust(&settings)
	}
	return settings
}

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// awaitLoaded waits until every daemon has loaded a configuration.
func (s *System) awaitLoaded(ctx context.Context) error {
	return s.await(ctx, func() bool {
		for _, d := range s.Daemons {
			if !d.Ready() {
				return false
			}
		}
		return true
	})
}

// awaitReady waits until every daemon is ready and accepts requests under the
// deployment's catalogue.
func (s *System) awaitReady(ctx context.Context) error { return s.await(ctx, s.ready) }

func (s *System) await(ctx context.Context, condition func() bool) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.New("the daemons did not become ready; look at their log")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// ready reports whether every daemon is ready, has the newest revision of the
// catalogue, lists all daemons as entries, and has its bookings open.
func (s *System) ready() bool {
	var highest configstore.Revision
	for _, d := range s.Daemons {
		highest = max(highest, d.View().Revision())
	}
	for _, d := range s.Daemons {
		if !d.Ready() || d.View().Revision() < highest || len(d.Entries()) < len(s.Daemons) {
			return false
		}
	}
	return highest > 0 && s.bookingsOpen()
}

func (s *System) bookingsOpen() bool {
	ctx, stop := context.WithTimeout(context.Background(), readyTimeout)
	defer stop()
	for _, d := range s.Daemons {
		if !d.AcceptsBookings(ctx) {
			return false
		}
	}
	return true
}

// Close kills the daemons and stops all stand-ins without a grace period.
func (s *System) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	if s.Directory != nil {
		s.Directory.Close()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, server := range s.Services {
		server.Close()
	}
	if s.Weights != nil {
		s.Weights.Close()
	}
	if s.List != nil {
		s.List.Close()
	}
	if s.LogServer != nil {
		s.LogServer.Close()
	}
}
