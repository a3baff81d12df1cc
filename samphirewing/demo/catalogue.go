package demo

import (
	"context"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	queueLimit      = 2000
	catalogueChange = "demo-catalogue"
)

// applyCatalogue commits the deployment's objects as one change.
func (s *System) applyCatalogue(ctx context.Context) error {
	change := configstore.ChangeSet{
		ID:          catalogueChange,
		Author:      OperatorName,
		RuleVersion: catalogue.RuleVersion,
		Statement:   "demo catalogue of " + s.deployment.name,
	}
	for _, o := range s.objects() {
		change.Writes = append(change.Writes, catalogue.Put(o))
	}
	verdict, err := s.Daemons[0].Commit(ctx, change)
	if err != nil {
		return errors.Annotate(err, "committing the catalogue")
	}
	return errors.Annotate(verdict.Err(), "committing the catalogue")
}

func (s *System) objects() []catalogue.Object {
	d := s.deployment
	var all []catalogue.Object
	for rank, tier := range d.tiers {
		all = append(all, catalogue.Tier{Name: tier, Rank: structs.Rank(rank)})
	}
	for _, o := range d.organisations {
		all = append(all, catalogue.Organisation{
			Name: o, Weight: 1, Tiers: d.tiers, TokenHash: catalogue.HashToken(token(o)),
		})
	}
	all = append(all,
		catalogue.Pool{Name: d.engines.name, QueueLimit: queueLimit, Shards: 1},
		catalogue.Pool{Name: d.services.name, QueueLimit: queueLimit, Shards: 1})
	for _, m := range d.engines.models {
		all = append(all, catalogue.Serving{Model: m, Pool: d.engines.name})
	}
	for _, service := range d.services.services {
		all = append(all, service)
	}
	return append(all, s.endpointObjects()...)
}

func (s *System) endpointObjects() []catalogue.Object {
	var all []catalogue.Object
	pool := s.deployment.engines
	for i, e := range s.Engines {
		class := pool.classes[i%len(pool.classes)]
		all = append(all, catalogue.Endpoint{
			Name: engineName(pool.name, i), Pool: pool.name, Address: e.URL(),
			FailureDomain: s.deployment.domain(i), SpeedClass: class.name, ChecksFencing: class.fencing,
		})
	}
	for i, server := range s.Services {
		all = append(all, catalogue.Endpoint{
			Name: engineName(s.deployment.services.name, i), Pool: s.deployment.services.name,
			Address: server.URL(), FailureDomain: s.deployment.domain(i), SpeedClass: "plain",
		})
	}
	return all
}
