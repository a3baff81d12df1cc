package catalogue

import (
	"cmp"
	"slices"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Catalogue is an immutable index of one view of the catalogue objects. It is
// safe for concurrent use; callers must not modify the slices that it returns.
type Catalogue struct {
	revision configstore.Revision
	// decoded caches each object with the revision it was decoded from, so that
	// Update decodes only changed objects.
	decoded map[configstore.Key]decodedObject

	tiers            map[structs.TierName]Tier
	tiersByRank      []Tier
	organisations    map[structs.OrganisationName]*Organisation
	organisationList []*Organisation
	byToken          map[TokenHash]*Organisation
	pools            map[structs.PoolName]Pool
	poolNames        []structs.PoolName
	endpoints        map[structs.EndpointName]*Endpoint
	endpointList     []*Endpoint
	byPool           map[structs.PoolName][]Endpoint
	services         map[structs.Target]Service
	serviceNames     []structs.Target
	servings         map[structs.Target]Serving
	modelNames       []structs.Target
	settings         map[string]string
}

type decodedObject struct {
	revision configstore.Revision
	object   Object
}

// Decode indexes a view. It skips objects of kinds that this release does not
// know, and returns an error naming the first object that cannot be decoded.
func Decode(view configstore.View) (*Catalogue, error) { return Update(nil, view) }

// Update indexes a view and decodes only the objects that changed since prev,
// which may be nil.
func Update(prev *Catalogue, view configstore.View) (*Catalogue, error) {
	c := newCatalogue(view.Revision(), prev)
	var decodeErr error
	view.Range("", func(o configstore.Object) bool {
		object, err := prev.decode(o)
		if errors.Is(err, ErrUnknownKind) {
			return true
		}
		if err != nil {
			decodeErr = err
			return false
		}
		c.decoded[o.Key] = decodedObject{revision: o.Revision, object: object}
		c.add(object)
		return true
	})
	if decodeErr != nil {
		return nil, errors.Trace(decodeErr)
	}
	slices.SortFunc(c.tiersByRank, func(a, b Tier) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	for _, o := range c.organisationList {
		o.Tiers = c.byUrgency(o.Tiers)
	}
	return c, nil
}

// byUrgency returns the tiers sorted by rank, most urgent first. It does not
// modify names, which belongs to a decoded object.
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

func (c *Catalogue) decode(o configstore.Object) (Object, error) {
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
		c.organisationList = append(c.organisationList, &o)
		if !o.TokenHash.IsZero() {
			c.byToken[o.TokenHash] = &o
		}
	case Pool:
		c.pools[o.Name] = o
		c.poolNames = append(c.poolNames, o.Name)
	case Endpoint:
		c.endpoints[o.Name] = &o
		c.endpointList = append(c.endpointList, &o)
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

// Tier returns a tier by name, or false if there is none.
func (c *Catalogue) Tier(name structs.TierName) (Tier, bool) {
	t, ok := c.tiers[name]
	return t, ok
}

// Tiers returns all tiers, most urgent first.
func (c *Catalogue) Tiers() []Tier { return c.tiersByRank }

// Organisation returns an organisation by name, or false if there is none.
func (c *Catalogue) Organisation(name structs.OrganisationName) (Organisation, bool) {
	return deref(c.organisations[name])
}

// Organisations calls f for all organisations in order of their names until f
// returns false.
func (c *Catalogue) Organisations(f func(Organisation) bool) {
	for _, o := range c.organisationList {
		if !f(*o) {
			return
		}
	}
}

// OrganisationByToken returns the organisation that a bearer token belongs to, or
// false if there is none. The lookup is by hash and the final comparison takes
// constant time.
func (c *Catalogue) OrganisationByToken(token string) (Organisation, bool) {
	h := HashToken(token)
	o, ok := c.byToken[h]
	if !ok || !o.TokenHash.Equal(h) {
		return Organisation{}, false
	}
	return *o, true
}

// Pool returns a pool by name, or false if there is none.
func (c *Catalogue) Pool(name structs.PoolName) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns the sorted names of all pools.
func (c *Catalogue) Pools() []structs.PoolName { return c.poolNames }

// Endpoint returns an endpoint by name, or false if there is none.
func (c *Catalogue) Endpoint(name structs.EndpointName) (Endpoint, bool) {
	return deref(c.endpoints[name])
}

// Endpoints calls f for all endpoints in order of their names until f returns
// false.
func (c *Catalogue) Endpoints(f func(Endpoint) bool) {
	for _, e := range c.endpointList {
		if !f(*e) {
			return
		}
	}
}

// EndpointsOf returns the endpoints of a pool, sorted by name.
func (c *Catalogue) EndpointsOf(pool structs.PoolName) []Endpoint { return c.byPool[pool] }

// Service returns a service by name, or false if there is none.
func (c *Catalogue) Service(name structs.Target) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns the sorted names of all services.
func (c *Catalogue) Services() []structs.Target { return c.serviceNames }

// Serving returns the declaration of the pool that serves a model, or false if
// there is none.
func (c *Catalogue) Serving(model structs.Target) (Serving, bool) {
	s, ok := c.servings[model]
	return s, ok
}

// Models returns the sorted names of all models.
func (c *Catalogue) Models() []structs.Target { return c.modelNames }

// Setting returns the value of a setting, or an empty string if it is not set.
func (c *Catalogue) Setting(name string) string { return c.settings[name] }

// PoolOf returns the pool in which a target's requests are queued, or false if no
// pool serves the target.
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

// TargetsOf returns the models and services that an endpoint serves: those it
// lists, or all of its pool.
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
