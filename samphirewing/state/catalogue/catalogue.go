package catalogue

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Catalogue is an immutable index of one view. It is safe for use by several
// goroutines; slices that it returns must not be changed.
type Catalogue struct {
	revision configstore.Revision
	// decoded keeps each object with the revision that it was decoded at, so
	// that Update decodes only what changed.
	decoded map[configstore.Key]decodedObject

	tiers         map[structs.TierName]Tier
	tiersByRank   []Tier
	organisations map[structs.OrganisationName]*Organisation
	organisationN []*Organisation
	byToken       map[TokenHash]*Organisation
	pools         map[structs.PoolName]Pool
	poolNames     []structs.PoolName
	endpoints     map[structs.EndpointName]*Endpoint
	endpointN     []*Endpoint
	byPool        map[structs.PoolName][]Endpoint
	services      map[structs.Target]Service
	serviceNames  []structs.Target
	servings      map[structs.Target]Serving
	modelNames    []structs.Target
	settings      map[string]string
}

type decodedObject struct {
	revision configstore.Revision
	object   Object
}

// Decode indexes a view. Objects of kinds that this release does not know are
// passed over. It returns an error that names an object that can't be decoded.
func Decode(view configstore.View) (*Catalogue, error) { return Update(nil, view) }

// Update indexes a view, decoding only objects that changed since prev, which
// may be nil.
func Update(prev *Catalogue, view configstore.View) (*Catalogue, error) {
	c := newCatalogue(view.Revision(), prev)
	var failed error
	view.Range("", func(o configstore.Object) bool {
		object, err := prev.reuse(o)
		if errors.Is(err, ErrUnknownKind) {
			return true
		}
		if err != nil {
			failed = err
			return false
		}
		c.decoded[o.Key] = decodedObject{revision: o.Revision, object: object}
		c.add(object)
		return true
	})
	if failed != nil {
		return nil, errors.Trace(failed)
	}
	slices.SortFunc(c.tiersByRank, func(a, b Tier) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	for _, o := range c.organisationN {
		o.Tiers = c.byUrgency(o.Tiers)
	}
	return c, nil
}

// byUrgency returns the tiers with the most urgent first. The slice that it is
// given belongs to a decoded object and stays as it is.
func (c *Catalogue) byUrgency(names []structs.TierName) []structs.TierName {
	compare := func(a, b structs.TierName) int { return cmp.Compare(c.tiers[a].Rank, c.tiers[b].Rank) }
	if slices.IsSortedFunc(names, compare) {
		return names
	}
	sorted := slices.Clone(names)
	slices.SortStableFunc(sorted, compare)
	return sorted
}

func newCatalogue(revision configstore.Revision, prev *Catalogue) *Catalogue {
	size := 0
	if prev != nil {
		size = len(prev.decoded)
	}
	return &Catalogue{
		revision:      revision,
		decoded:       make(map[configstore.Key]decodedObject, size),
		tiers:         make(map[structs.TierName]Tier),
		organisations: make(map[structs.OrganisationName]*Organisation, size),
		byToken:       make(map[TokenHash]*Organisation, size),
		pools:         make(map[structs.PoolName]Pool),
		endpoints:     make(map[structs.EndpointName]*Endpoint),
		byPool:        make(map[structs.PoolName][]Endpoint),
		services:      make(map[structs.Target]Service),
		servings:      make(map[structs.Target]Serving),
		settings:      make(map[string]string),
	}
}

func (c *Catalogue) reuse(o configstore.Object) (Object, error) {
	if c != nil {
		if d, ok := c.decoded[o.Key]; ok && d.revision == o.Revision {
			return d.object, nil
		}
	}
	return DecodeObject(o.Key, o.Value)
}

// add indexes one object. Objects arrive in key order, so that slices are
// sorted by name.
func (c *Catalogue) add(object Object) {
	switch o := object.(type) {
	case Tier:
		c.tiers[o.Name] = o
		c.tiersByRank = append(c.tiersByRank, o)
	case Organisation:
		c.organisations[o.Name] = &o
		c.organisationN = append(c.organisationN, &o)
		if !o.TokenHash.IsZero() {
			c.byToken[o.TokenHash] = &o
		}
	case Pool:
		c.pools[o.Name] = o
		c.poolNames = append(c.poolNames, o.Name)
	case Endpoint:
		c.endpoints[o.Name] = &o
		c.endpointN = append(c.endpointN, &o)
		c.byPool[o.Pool] = append(c.byPool[o.Pool], o)
	case Service:
		c.services[o.Name] = o
		c.serviceNames = append(c.serviceNames, o.Name)
	case Serving:
		c.servings[o.Model] = o
		c.modelNames = append(c.modelNames, o.Model)
	case Setting:
		c.settings[o.Name] = o.Value
	}
}

// Revision returns the revision of the view.
func (c *Catalogue) Revision() configstore.Revision { return c.revision }

// Tier returns a tier by name.
func (c *Catalogue) Tier(name structs.TierName) (Tier, bool) {
	t, ok := c.tiers[name]
	return t, ok
}

// Tiers returns all tiers, most urgent first.
func (c *Catalogue) Tiers() []Tier { return c.tiersByRank }

// Organisation returns an organisation by name.
func (c *Catalogue) Organisation(name structs.OrganisationName) (Organisation, bool) {
	return deref(c.organisations[name])
}

// Organisations visits all organisations by name until f returns false.
func (c *Catalogue) Organisations(f func(Organisation) bool) {
	for _, o := range c.organisationN {
		if !f(*o) {
			return
		}
	}
}

// OrganisationByToken returns the organisation that a bearer token belongs to.
// The lookup is by hash and the final comparison takes constant time.
func (c *Catalogue) OrganisationByToken(token string) (Organisation, bool) {
	h := HashToken(token)
	o, ok := c.byToken[h]
	if !ok || !o.TokenHash.Equal(h) {
		return Organisation{}, false
	}
	return *o, true
}

// Pool returns a pool by name.
func (c *Catalogue) Pool(name structs.PoolName) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns the names of all pools in order.
func (c *Catalogue) Pools() []structs.PoolName { return c.poolNames }

// Endpoint returns an endpoint by name.
func (c *Catalogue) Endpoint(name structs.EndpointName) (Endpoint, bool) {
	return deref(c.endpoints[name])
}

// Endpoints visits all endpoints by name until f returns false.
func (c *Catalogue) Endpoints(f func(Endpoint) bool) {
	for _, e := range c.endpointN {
		if !f(*e) {
			return
		}
	}
}

// EndpointsOf returns the endpoints of a pool by name.
func (c *Catalogue) EndpointsOf(pool structs.PoolName) []Endpoint { return c.byPool[pool] }

// Service returns a service by name.
func (c *Catalogue) Service(name structs.Target) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the names of all services in order.
func (c *Catalogue) Services() []structs.Target { return c.serviceNames }

// Serving returns which pool serves a model.
func (c *Catalogue) Serving(model structs.Target) (Serving, bool) {
	s, ok := c.servings[model]
	return s, ok
}

// Models returns the names of all models in order.
func (c *Catalogue) Models() []structs.Target { return c.modelNames }

// Setting returns the value of a setting, or empty.
func (c *Catalogue) Setting(name string) string { return c.settings[name] }

// PoolOf returns the pool that a target's requests wait in.
func (c *Catalogue) PoolOf(kind structs.WorkKind, target structs.Target) (Pool, bool) {
	var name structs.PoolName
	switch kind {
	case structs.WorkModel:
		name = c.servings[target].Pool
	case structs.WorkService:
		name = c.services[target].Pool
	}
	return c.Pool(name)
}

// TargetsOf returns the models and services that an endpoint serves, in order.
func (c *Catalogue) TargetsOf(e Endpoint) []structs.Target {
	if len(e.Targets) > 0 {
		return e.Targets
	}
	var targets []structs.Target
	for _, m := range c.modelNames {
		if c.servings[m].Pool == e.Pool {
			targets = append(targets, m)
		}
	}
	for _, s := range c.serviceNames {
		if c.services[s].Pool == e.Pool {
			targets = append(targets, s)
		}
	}
	return targets
}

func deref[T any](p *T) (T, bool) {
	if p == nil {
		var zero T
		return zero, false
	}
	return *p, true
}
