package daemon

import (
	"time"

	"github.com/samphirewing/coordkit/coordination/lease"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/coordination/orders"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// leaseStream is the log stream of the leases on orders.
const leaseStream eventlog.Stream = "samphirewing-leases"

// weightStoreName is the name of the only weight store, at
// Settings.WeightStoreURL.
const weightStoreName = "weights"

type ordersMesh struct {
	mesh.Registrar
	mesh.Caller
}

func (d *Daemon) startOrders(reg mesh.Registrar, caller mesh.Caller) error {
	var err error
	d.orders, err = orders.Start(orders.Options{
		Log:      d.platform.log,
		Stream:   leaseStream,
		Self:     d.self,
		Declared: d.declaredEngines,
		OwnerOf:  d.leaseOwner,
		Engine:   d.reachableEngine,
		Store:    d.weightStore,
		Mesh:     ordersMesh{Registrar: reg, Caller: caller},
		Clock:    d.clock,
		Events:   d.events,
	})
	return err
}

// leaseOwner returns the instance that owns a lease, or "" if there is none.
func (d *Daemon) leaseOwner(n lease.Name) instance.ID {
	owner, _ := d.members.owner("lease/" + string(n))
	return owner
}

// reachableEngine returns the client of a listed engine that is not leaving.
func (d *Daemon) reachableEngine(name structs.EndpointName) (edge.Engine, bool) {
	listed, ok := d.membershipPoller.endpoint(name)
	if !ok || listed.Leaving {
		return nil, false
	}
	return d.endpoints.engine(name)
}

func (d *Daemon) weightStore(name string) (edge.WeightStore, bool) {
	return d.platform.weights, name == weightStoreName && d.platform.weights != nil
}

// declaredEngines returns the declarations of all model engines in the catalogue.
func (d *Daemon) declaredEngines() []orders.Spec {
	c := d.catalogue.Load()
	var specs []orders.Spec
	c.Endpoints(func(e catalogue.Endpoint) bool {
		if isServiceEndpoint(c, e) {
			return true
		}
		spec := orders.Spec{Endpoint: e.Name, ChecksFencing: e.ChecksFencing, Store: weightStoreName}
		for _, target := range c.TargetsOf(e) {
			spec.Models = append(spec.Models, string(target))
		}
		specs = append(specs, spec)
		return true
	})
	return specs
}

// leaseRows returns the leases that this daemon holds.
func (d *Daemon) leaseRows() []language.Row {
	var rows []language.Row
	now := d.clock.Now()
	for _, g := range d.orders.HeldLeases() {
		rows = append(rows, language.Row{
			language.Text(g.Name), language.Text(d.self.ID),
			language.Integer(g.Fencing), language.Duration(g.Until.Sub(now).Round(time.Millisecond)),
		})
	}
	return rows
}
