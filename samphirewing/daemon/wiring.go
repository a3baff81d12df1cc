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

// configuration is the replicated configuration with its loading state.
type configuration struct {
	*replication.Runner
}

// Ready tells whether a state has been loaded.
func (c *configuration) Ready() bool {
	select {
	case <-c.Runner.Ready():
		return true
	default:
		return false
	}
}

// httpClients makes endpoint clients that speak HTTP.
type httpClients struct{ events events.Sink }

// Engine returns the client of a model engine.
func (c httpClients) Engine(name structs.EndpointName, address string) edge.Engine {
	return engineclient.New(string(name), address, engineclient.Options{Events: c.events})
}

// Service returns the client of a plain service.
func (c httpClients) Service(name structs.EndpointName, address string) edge.Service {
	return serviceclient.New(string(name), address, serviceclient.Options{Events: c.events})
}

func newPlatform(s Settings, deps Dependencies, sink events.Sink) platform {
	p := platform{log: deps.EventLog, list: deps.List, weights: deps.Weights, clients: deps.Clients}
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
		p.clients = httpClients{events: sink}
	}
	return p
}

// lateMesh lets roles be made before the mesh that they send through.
type lateMesh struct {
	mesh.Registrar
	started atomic.Pointer[mesh.Mesh]
}

// Send sends a one-way message, once the mesh has started.
func (l *lateMesh) Send(to instance.ID, m mesh.Message) error {
	started := l.started.Load()
	if started == nil {
		return mesh.ErrNoSession
	}
	return started.Send(to, m)
}

// Call makes a call, once the mesh has started.
func (l *lateMesh) Call(ctx context.Context, to instance.ID, m mesh.Message) (mesh.Message, error) {
	started := l.started.Load()
	if started == nil {
		return mesh.Message{}, mesh.ErrNoSession
	}
	return started.Call(ctx, to, m)
}

// openMesh makes the roles, registers their handlers and starts the mesh.
func (d *Daemon) openMesh() error {
	late := &lateMesh{}
	d.members = newMemberRole(d.clock, late, d.events)
	d.owners = newOwnerRole(d.self, d.clock, late, d.poolSpec)
	d.owners.spans = newPlaceSpans(d.tracer)
	d.owners.events = d.events
	d.owners.ownerOf = d.shardOwner
	d.shards = newShardTable(d.shardOwner, func(e entry.OwnerChanged) { d.entry.step(e) })
	d.listing = d.newListing()
	d.entry = newEntryRole(d.self, d.clock, late, d.answers, d.newDispatcher())
	d.entry.observe = d.noteOutcome
	d.backend = d.newBackend()
	meshTLS, err := d.keys.meshConfig()
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
		late.Registrar = reg
		d.members.receive(reg)
		d.owners.receive(reg)
		d.entry.receive(reg)
		reg.OnCall(kindQuery, d.onQuery)
		roleErr = d.startShells(reg, late)
	})
	if err != nil {
		return errors.Annotate(err, "--mesh-listen: give a free address of this machine")
	}
	d.mesh = started
	if roleErr != nil {
		return roleErr
	}
	late.started.Store(started)
	d.beginMembership()
	return nil
}

// startShells starts the parts that keep state in the log.
func (d *Daemon) startShells(reg mesh.Registrar, late *lateMesh) error {
	if err := d.startConfiguration(late); err != nil {
		return err
	}
	if err := d.startBookings(reg, late); err != nil {
		return err
	}
	return d.startOrders(reg, late)
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

func (d *Daemon) beginMembership() {
	d.members.setPeers = d.mesh.SetPeers
	d.members.changed = d.membersChanged
	d.members.died = d.owners.entryLost
	d.members.revisionHeard = func(id instance.ID, revision int64) {
		d.config.ObserveRevision(id, configstore.Revision(revision))
	}
	d.members.superseded = func() { close(d.superseded) }
	d.members.begin(membership.Member{
		Process: d.self,
		Addresses: membership.Addresses{
			Mesh:     advertised(d.settings.MeshAdvertise, d.mesh.Addr().String()),
			Caller:   advertised(d.settings.CallerAdvertise, d.callerListener.Addr().String()),
			Operator: advertised(d.settings.OperatorAdvertise, d.operatorListener.Addr().String()),
		},
		FailureDomain: d.settings.FailureDomain,
		Region:        d.settings.Region,
		State:         membership.Joining,
		Weight:        entryWeight,
	})
}

func advertised(setting, listening string) string {
	if setting != "" {
		return setting
	}
	return listening
}

// membersChanged follows changes of the membership view.
func (d *Daemon) membersChanged() {
	d.shards.refresh()
	d.ownShards()
	d.owners.retain(func(s entry.Shard) bool {
		owner, ok := d.shardOwner(s)
		return ok && owner == d.self.ID
	})
}

// lateBookings reaches the journal, which starts after the dispatcher is made.
type lateBookings struct{ daemon *Daemon }

func (l lateBookings) begin(ctx context.Context, b booking) (permit, *settledBooking) {
	return l.daemon.bookings.begin(ctx, b)
}

// journalOwnerKey is the ownership key of a journal partition.
func journalOwnerKey(partition int) string { return "journal/" + strconv.Itoa(partition) }

// ownShards starts the owners of all declared shards that belong here, so that
// they know their endpoints before the first request.
func (d *Daemon) ownShards() {
	c := d.catalogue.Load()
	for _, name := range c.Pools() {
		pool, _ := c.Pool(name)
		for number := range max(1, pool.Shards) {
			s := entry.Shard{Pool: name, Number: number}
			if owner, ok := d.shardOwner(s); ok && owner == d.self.ID {
				d.owners.ensure(s)
			}
		}
	}
}

// shardOwner returns the instance that owns a pool shard.
func (d *Daemon) shardOwner(s entry.Shard) (instance.ID, bool) {
	return d.members.owner("pool/" + string(s.Pool) + "/" + strconv.Itoa(s.Number))
}

func (d *Daemon) newListing() *endpointListing {
	return &endpointListing{
		list:   d.platform.list,
		events: d.events,
		self:   d.listedSelf,
		read:   d.members.listRead,
		changed: func() {
			d.owners.configure()
		},
		reachable: true,
	}
}

func (d *Daemon) listedSelf() edge.Member {
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
		bookings:  lateBookings{d},
		tracer:    d.tracer,

		firstToken: d.meter.firstToken,
		service: func(name structs.Target) bool {
			s, ok := d.catalogue.Load().Service(name)
			return ok && s.Repeatable
		},
	}
}

func (d *Daemon) newBackend() *callerBackend {
	return &callerBackend{
		self:      d.self,
		clock:     d.clock,
		settings:  d.settings,
		entry:     d.entry,
		answers:   d.answers,
		catalogue: &d.catalogue,
		members:   d.members,
		shards:    d.shards,
		tracer:    d.tracer,
		stale:     func(now time.Time) bool { return d.config.Stale(now) },
	}
}

// openConfiguration takes each configuration into force and becomes ready
// with the first one.
func (d *Daemon) openConfiguration(ctx context.Context) error {
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

// leave marks this instance as leaving, to the others and on the list.
func (r *memberRole) leave() { r.setState(membership.Leaving) }
