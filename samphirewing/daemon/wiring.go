package daemon

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/coordination/membership"
	"github.com/samphirewing/coordkit/coordination/replication"
	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient"
	"github.com/samphirewing/samphirewing/transport/platformclient"
	"github.com/samphirewing/samphirewing/transport/serviceclient"
)

// configurationStream is the log stream of change sets and snapshots.
const configurationStream eventlog.Stream = "samphirewing-configuration"

// configuration is the replicated configuration.
type configuration struct {
	*replication.Runner
}

// Ready reports whether a configuration has been loaded.
func (c *configuration) Ready() bool {
	select {
	case <-c.Runner.Ready():
		return true
	default:
		return false
	}
}

// httpClientFactory creates endpoint clients that use HTTP.
type httpClientFactory struct{ events events.Sink }

// Engine returns the client of a model engine.
func (c httpClientFactory) Engine(name structs.EndpointName, address string) edge.Engine {
	return engineclient.New(string(name), address, engineclient.Options{Events: c.events})
}

// Service returns the client of a plain service.
func (c httpClientFactory) Service(name structs.EndpointName, address string) edge.Service {
	return serviceclient.New(string(name), address, serviceclient.Options{Events: c.events})
}

func newPlatformClients(s Settings, deps Dependencies, sink events.Sink) platformClients {
	p := platformClients{log: deps.EventLog, list: deps.MembershipList, weights: deps.WeightStore, clients: deps.EndpointClients}
	if p.log == nil {
		p.log = platformclient.NewLog(s.LogURL, platformclient.Options{})
	}
	if p.list == nil {
		p.list = platformclient.NewMembershipList(s.ListURL, platformclient.Options{})
	}
	if p.weights == nil && s.WeightStoreURL != "" {
		p.weights = platformclient.NewWeightStore(s.WeightStoreURL, platformclient.Options{})
	}
	if p.clients == nil {
		p.clients = httpClientFactory{events: sink}
	}
	return p
}

// lazyMesh is a mesh that is set after the roles that send through it have been
// created.
type lazyMesh struct {
	mesh.Registrar
	started atomic.Pointer[mesh.Mesh]
}

// Send sends a one-way message. It returns mesh.ErrNoSession until the mesh has
// started.
func (l *lazyMesh) Send(to instance.ID, m mesh.Message) error {
	started := l.started.Load()
	if started == nil {
		return mesh.ErrNoSession
	}
	return started.Send(to, m)
}

// Call makes a call. It returns mesh.ErrNoSession until the mesh has started.
func (l *lazyMesh) Call(ctx context.Context, to instance.ID, m mesh.Message) (mesh.Message, error) {
	started := l.started.Load()
	if started == nil {
		return mesh.Message{}, mesh.ErrNoSession
	}
	return started.Call(ctx, to, m)
}

// openMesh creates the roles, registers their handlers and starts the mesh.
func (d *Daemon) openMesh() error {
	lazy := &lazyMesh{}
	d.members = newMemberRole(d.clock, lazy, d.events)
	d.owners = newOwnerRole(d.self, d.clock, lazy, d.poolSpec)
	d.owners.spans = newQueueSpans(d.tracer)
	d.owners.events = d.events
	d.owners.ownerOf = d.shardOwner
	d.shards = newOwnerTracker(d.shardOwner, func(e entry.OwnerChanged) { d.entry.enqueue(e) })
	d.membershipPoller = d.newMembershipPoller()
	d.entry = newEntryRole(d.self, d.clock, lazy, d.answers, d.newDispatcher())
	d.entry.onFinished = d.recordOutcome
	d.backend = d.newBackend()
	meshTLS, err := d.keys.meshTLSConfig()
	if err != nil {
		return errors.Annotate(err, "--mesh-tls-ca")
	}
	var roleErr error
	started, err := mesh.Start(mesh.Options{
		Self:          d.self,
		ListenAddress: d.settings.MeshListen,
		TLS:           meshTLS,
		Events:        d.events,
	}, func(reg mesh.Registrar) {
		lazy.Registrar = reg
		d.members.registerHandlers(reg)
		d.owners.registerHandlers(reg)
		d.entry.registerHandlers(reg)
		reg.OnCall(kindQuery, d.handleQuery)
		roleErr = d.startLogBackedRoles(reg, lazy)
	})
	if err != nil {
		return errors.Annotate(err, "--mesh-listen: give a free address of this machine")
	}
	d.mesh = started
	if roleErr != nil {
		return roleErr
	}
	lazy.started.Store(started)
	d.startMembership()
	return nil
}

// startLogBackedRoles starts the roles that store their state in the log.
func (d *Daemon) startLogBackedRoles(reg mesh.Registrar, lazy *lazyMesh) error {
	if err := d.startConfiguration(lazy); err != nil {
		return err
	}
	if err := d.startBookings(reg, lazy); err != nil {
		return err
	}
	return d.startOrders(reg, lazy)
}

func (d *Daemon) startConfiguration(m replication.Mesh) error {
	runner, err := replication.Start(replication.Options{
		Log:    d.platform.log,
		Stream: configurationStream,
		Config: replication.Config{Self: d.self.ID, Rules: catalogue.Rules{}},
		Mesh:   m,
		Peers:  d.members.peers,
		Clock:  d.clock,
		Events: d.events,
	})
	if err != nil {
		return err
	}
	d.config = &configuration{Runner: runner}
	return nil
}

func (d *Daemon) startMembership() {
	d.members.setPeers = d.mesh.SetPeers
	d.members.onMembersChanged = d.handleMembersChanged
	d.members.onProcessEnded = d.owners.notifyEntryLost
	d.members.onPeerRevision = func(id instance.ID, revision int64) {
		d.config.ObserveRevision(id, configstore.Revision(revision))
	}
	d.members.onSuperseded = func() { close(d.superseded) }
	d.members.initialise(membership.Member{
		Process: d.self,
		Addresses: membership.Addresses{
			Mesh:     advertisedAddress(d.settings.MeshAdvertise, d.mesh.Addr().String()),
			Caller:   advertisedAddress(d.settings.CallerAdvertise, d.callerListener.Addr().String()),
			Operator: advertisedAddress(d.settings.OperatorAdvertise, d.operatorListener.Addr().String()),
		},
		FailureDomain: d.settings.FailureDomain,
		Region:        d.settings.Region,
		State:         membership.Joining,
		Weight:        entryWeight,
	})
}

// advertisedAddress returns the configured address, or the listen address if empty.
func advertisedAddress(configured, listening string) string {
	if configured != "" {
		return configured
	}
	return listening
}

// handleMembersChanged updates shard ownership after a change of the membership
// view.
func (d *Daemon) handleMembersChanged() {
	d.shards.refresh()
	d.startOwnedShards()
	d.owners.stopUnowned(func(s entry.Shard) bool {
		owner, ok := d.shardOwner(s)
		return ok && owner == d.self.ID
	})
}

// lazyBookings delegates to the journal, which starts after the dispatcher is
// created.
type lazyBookings struct{ daemon *Daemon }

func (l lazyBookings) acquire(ctx context.Context, b booking) (permit, *settledBooking) {
	return l.daemon.bookings.acquire(ctx, b)
}

// journalOwnerKey returns the ownership key of a journal partition.
func journalOwnerKey(partition int) string { return "journal/" + strconv.Itoa(partition) }

// startOwnedShards starts the owners of all declared shards that this instance
// owns, so that they know their endpoints before the first request.
func (d *Daemon) startOwnedShards() {
	c := d.catalogue.Load()
	for _, name := range c.Pools() {
		pool, _ := c.Pool(name)
		for number := range max(1, pool.Shards) {
			s := entry.Shard{Pool: name, Number: number}
			if owner, ok := d.shardOwner(s); ok && owner == d.self.ID {
				d.owners.ensureStarted(s)
			}
		}
	}
}

// shardOwner returns the instance that owns a pool shard.
func (d *Daemon) shardOwner(s entry.Shard) (instance.ID, bool) {
	return d.members.owner("pool/" + string(s.Pool) + "/" + strconv.Itoa(s.Number))
}

func (d *Daemon) newMembershipPoller() *membershipPoller {
	return &membershipPoller{
		list:   d.platform.list,
		events: d.events,
		self:   d.selfListing,
		onRead: d.members.applyList,
		onEndpointsChanged: func() {
			d.owners.configure()
		},
		reachable: true,
	}
}

func (d *Daemon) selfListing() edge.Member {
	self := d.members.selfMember()
	return edge.Member{
		Kind:          edge.MemberDaemon,
		Name:          string(self.ID),
		Address:       self.Addresses.Mesh,
		FailureDomain: self.FailureDomain,
		Leaving:       self.State == membership.Leaving || self.State == membership.Draining,
	}
}

func (d *Daemon) newDispatcher() *dispatcher {
	return &dispatcher{
		clock:     d.clock,
		endpoints: d.endpoints,
		bookings:  lazyBookings{d},
		tracer:    d.tracer,

		observeFirstToken: d.meter.observeFirstToken,
		isRepeatable: func(name structs.Target) bool {
			s, ok := d.catalogue.Load().Service(name)
			return ok && s.Repeatable
		},
	}
}

func (d *Daemon) newBackend() *callerBackend {
	return &callerBackend{
		self:        d.self,
		clock:       d.clock,
		settings:    d.settings,
		entry:       d.entry,
		answers:     d.answers,
		catalogue:   &d.catalogue,
		members:     d.members,
		shards:      d.shards,
		tracer:      d.tracer,
		memory:      d.guard.Account(),
		configStale: func(now time.Time) bool { return d.config.Stale(now) },
	}
}

// watchConfiguration applies each new configuration and sets the member state to
// Ready after the first one.
func (d *Daemon) watchConfiguration(ctx context.Context) error {
	d.config.OnChange(d.applyView)
	go func() {
		select {
		case <-d.config.Runner.Ready():
			d.applyView(d.config.View())
			d.members.setState(membership.Ready)
		case <-ctx.Done():
		}
	}()
	return nil
}

// leave marks this instance as leaving, for its peers and on the membership list.
func (r *memberRole) leave() { r.setState(membership.Leaving) }
