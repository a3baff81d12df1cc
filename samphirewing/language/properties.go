package language

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	defaultQueueLimit = 1000
	defaultShards     = 1
	defaultWeight     = 1
)

// propertySpec describes one property of a kind of object.
type propertySpec struct {
	name string
	// usage describes the values in help pages and remedies.
	usage    string
	required bool
	// list is set if the property takes several values.
	list bool
	// secret is set if the value is masked in the history.
	secret bool
	set    func(o catalogue.Object, values []string) (catalogue.Object, error)
}

// kindSpec describes one kind of object that create, alter and drop accept.
type kindSpec struct {
	kind catalogue.Kind
	// newObject returns an object with the default property values.
	newObject  func(name string) catalogue.Object
	properties []propertySpec
}

// property returns the spec of a single-valued property of the type T.
func property[T catalogue.Object](name, usage string, set func(o *T, value string) error) propertySpec {
	return propertySpec{
		name:  name,
		usage: usage,
		set: func(o catalogue.Object, values []string) (catalogue.Object, error) {
			object := o.(T)
			err := set(&object, values[0])
			return object, err
		},
	}
}

// listProperty returns the spec of a list property of the type T.
func listProperty[T catalogue.Object](name, usage string, set func(o *T, values []string)) propertySpec {
	return propertySpec{
		name:  name,
		usage: usage,
		list:  true,
		set: func(o catalogue.Object, values []string) (catalogue.Object, error) {
			object := o.(T)
			set(&object, values)
			return object, nil
		},
	}
}

func (p propertySpec) asRequired() propertySpec {
	p.required = true
	return p
}

func (p propertySpec) asSecret() propertySpec {
	p.secret = true
	return p
}

var kinds = []kindSpec{
	{
		kind:      catalogue.KindTier,
		newObject: func(name string) catalogue.Object { return catalogue.Tier{Name: structs.TierName(name)} },
		properties: []propertySpec{
			property("rank", "<number>", func(t *catalogue.Tier, v string) error {
				rank, err := parseNonNegativeInt(v, math.MaxInt32)
				t.Rank = structs.Rank(rank)
				return err
			}).asRequired(),
			property("deadline", "<duration>", func(t *catalogue.Tier, v string) (err error) {
				t.DefaultDeadline, err = parseDuration(v)
				return err
			}),
		},
	},
	{
		kind: catalogue.KindOrganisation,
		newObject: func(name string) catalogue.Object {
			return catalogue.Organisation{Name: structs.OrganisationName(name), Weight: defaultWeight}
		},
		properties: []propertySpec{
			property("weight", "<number>", func(o *catalogue.Organisation, v string) (err error) {
				o.Weight, err = strconv.ParseFloat(v, 64)
				return errors.Annotatef(err, "%q is not a number", v)
			}),
			listProperty("tiers", "<tier>, ...", func(o *catalogue.Organisation, v []string) {
				o.Tiers = convertWords[structs.TierName](v)
			}).asRequired(),
			property("token", "'<bearer token>'", func(o *catalogue.Organisation, v string) error {
				o.TokenHash = catalogue.HashToken(v)
				return nil
			}).asSecret(),
			property("token-hash", "'<SHA-256 of the token>'", func(o *catalogue.Organisation, v string) (err error) {
				o.TokenHash, err = catalogue.ParseTokenHash(v)
				return err
			}),
		},
	},
	{
		kind: catalogue.KindPool,
		newObject: func(name string) catalogue.Object {
			return catalogue.Pool{Name: structs.PoolName(name), QueueLimit: defaultQueueLimit, Shards: defaultShards}
		},
		properties: []propertySpec{
			property("queue", "<number>", func(p *catalogue.Pool, v string) (err error) {
				p.QueueLimit, err = parseNonNegativeInt(v, math.MaxInt32)
				return err
			}),
			property("shards", "<number>", func(p *catalogue.Pool, v string) (err error) {
				p.Shards, err = parseNonNegativeInt(v, catalogue.MaxShards)
				return err
			}),
			property("preempt", "yes|no", func(p *catalogue.Pool, v string) (err error) {
				p.PreemptLower, err = parseBool(v)
				return err
			}),
		},
	},
	{
		kind: catalogue.KindEndpoint,
		newObject: func(name string) catalogue.Object {
			return catalogue.Endpoint{Name: structs.EndpointName(name)}
		},
		properties: []propertySpec{
			property("pool", "<pool>", func(e *catalogue.Endpoint, v string) error {
				e.Pool = structs.PoolName(v)
				return nil
			}).asRequired(),
			property("address", "'<URL>'", func(e *catalogue.Endpoint, v string) error {
				e.Address = v
				return nil
			}).asRequired(),
			property("domain", "<failure domain>", func(e *catalogue.Endpoint, v string) error {
				e.FailureDomain = instance.FailureDomain(v)
				return nil
			}).asRequired(),
			property("class", "<speed class>", func(e *catalogue.Endpoint, v string) error {
				e.SpeedClass = v
				return nil
			}),
			property("fencing", "yes|no", func(e *catalogue.Endpoint, v string) (err error) {
				e.ChecksFencing, err = parseBool(v)
				return err
			}),
			listProperty("serves", "all | <model or service>, ...", func(e *catalogue.Endpoint, v []string) {
				e.Targets = convertWords[structs.Target](v)
				if len(v) == 1 && strings.EqualFold(v[0], "all") {
					e.Targets = nil
				}
			}),
		},
	},
	{
		kind:      catalogue.KindService,
		newObject: func(name string) catalogue.Object { return catalogue.Service{Name: structs.Target(name)} },
		properties: []propertySpec{
			property("pool", "<pool>", func(s *catalogue.Service, v string) error {
				s.Pool = structs.PoolName(v)
				return nil
			}).asRequired(),
			property("repeatable", "yes|no", func(s *catalogue.Service, v string) (err error) {
				s.Repeatable, err = parseBool(v)
				return err
			}).asRequired(),
		},
	},
}

// dropOnlyKinds are the kinds that drop accepts, but not create and alter.
var dropOnlyKinds = map[string]catalogue.Kind{
	"model":   catalogue.KindServing,
	"setting": catalogue.KindSetting,
}

func findKind(word string) (kindSpec, bool) {
	for _, k := range kinds {
		if strings.EqualFold(string(k.kind), word) {
			return k, true
		}
	}
	return kindSpec{}, false
}

func kindNames() []string {
	names := make([]string, 0, len(kinds))
	for _, k := range kinds {
		names = append(names, string(k.kind))
	}
	return names
}

func (k kindSpec) find(property string) (propertySpec, bool) {
	for _, p := range k.properties {
		if strings.EqualFold(p.name, property) {
			return p, true
		}
	}
	return propertySpec{}, false
}

func (k kindSpec) propertyNames() []string {
	names := make([]string, 0, len(k.properties))
	for _, p := range k.properties {
		names = append(names, p.name)
	}
	return names
}

// setProperties returns the object with the properties set. It ignores errors,
// because converter.properties has validated the values.
func (k kindSpec) setProperties(o catalogue.Object, properties []Property) catalogue.Object {
	for _, p := range properties {
		spec, _ := k.find(p.Name)
		changed, err := spec.set(o, p.Values)
		if err == nil {
			o = changed
		}
	}
	return o
}

func parseNonNegativeInt(word string, limit int) (int, error) {
	n, err := strconv.Atoi(word)
	if err != nil || n < 0 || n > limit {
		return 0, errors.Errorf("%q is not a whole number from 0 to %d", word, limit)
	}
	return n, nil
}

func parseDuration(word string) (time.Duration, error) {
	d, err := time.ParseDuration(word)
	if err != nil || d < 0 {
		return 0, errors.Errorf("%q is not a duration such as 20s or 1.5m", word)
	}
	return d, nil
}

func convertWords[T ~string](words []string) []T {
	out := make([]T, 0, len(words))
	for _, w := range words {
		out = append(out, T(w))
	}
	return out
}
