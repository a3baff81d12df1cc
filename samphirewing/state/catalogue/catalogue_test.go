package catalogue

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/structs"
)

// rapidSeed makes runs repeatable; -rapid.seed overrides it.
const rapidSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

// memoryView is a configstore.View over a map.
type memoryView struct {
	objects  map[configstore.Key]configstore.Object
	revision configstore.Revision
}

func newMemoryView(objects ...Object) *memoryView {
	v := &memoryView{objects: make(map[configstore.Key]configstore.Object)}
	for _, o := range objects {
		v.apply(Put(o))
	}
	return v
}

func (v *memoryView) apply(w configstore.Write) {
	v.revision++
	if w.Delete {
		delete(v.objects, w.Key)
		return
	}
	v.objects[w.Key] = configstore.Object{Key: w.Key, Value: w.Value, Revision: v.revision}
}

func (v *memoryView) with(writes ...configstore.Write) *memoryView {
	after := &memoryView{objects: maps.Clone(v.objects), revision: v.revision}
	for _, w := range writes {
		after.apply(w)
	}
	return after
}

func (v *memoryView) Get(k configstore.Key) (configstore.Object, bool) {
	o, ok := v.objects[k]
	return o, ok
}

func (v *memoryView) Range(prefix configstore.Key, f func(configstore.Object) bool) {
	for _, k := range slices.Sorted(maps.Keys(v.objects)) {
		if strings.HasPrefix(string(k), string(prefix)) && !f(v.objects[k]) {
			return
		}
	}
}

func (v *memoryView) Revision() configstore.Revision { return v.revision }

func sampleObjects() []Object {
	return []Object{
		Tier{Name: "counter", Rank: 0, DefaultDeadline: 20 * time.Second},
		Tier{Name: "batch", Rank: 2},
		Organisation{Name: "taller", Weight: 2, Tiers: []structs.TierName{"counter", "batch"}, TokenHash: HashToken("t")},
		Pool{Name: "drafting", QueueLimit: 100, Shards: 1},
		Pool{Name: "orders", QueueLimit: 50, Shards: 1, PreemptLower: true},
		Serving{Model: "engraver-large", Pool: "drafting"},
		Service{Name: "order-confirmation", Pool: "orders"},
		Endpoint{Name: "e1", Pool: "drafting", Address: "http://127.0.0.1:1", FailureDomain: "a", SpeedClass: "fast", ChecksFencing: true},
		Endpoint{Name: "e2", Pool: "orders", Address: "http://127.0.0.1:2", FailureDomain: "b", Targets: []structs.Target{"order-confirmation"}},
		Setting{Name: "keep-for", Value: "30s"},
	}
}

func TestObjectsRoundTripThroughEncoding(t *testing.T) {
	for _, o := range sampleObjects() {
		w := Put(o)
		decoded, err := DecodeObject(w.Key, w.Value)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, o)
	}
}

func TestOrganisationEncodingIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := Organisation{
			Name:   structs.OrganisationName(rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`).Draw(t, "name")),
			Weight: rapid.Float64Range(0.001, 1000).Draw(t, "weight"),
			Tiers:  []structs.TierName{structs.TierName(rapid.StringMatching(`[a-z]{1,8}`).Draw(t, "tier"))},
		}
		decoded, err := DecodeObject(o.Key(), o.Encode())
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, Object(o))
		assert.DeepEqual(t, decoded.Encode(), o.Encode())
	})
}

func TestDecodeBuildsIndexes(t *testing.T) {
	c, err := Decode(newMemoryView(sampleObjects()...))
	assert.NilError(t, err)
	assert.Equal(t, c.Tiers()[0].Name, structs.TierName("counter"))
	org, ok := c.OrganisationByToken("t")
	assert.Assert(t, ok)
	assert.Equal(t, org.Name, structs.OrganisationName("taller"))
	_, ok = c.OrganisationByToken("u")
	assert.Assert(t, !ok)
	pool, ok := c.PoolOf(structs.WorkModel, "engraver-large")
	assert.Assert(t, ok)
	assert.Equal(t, pool.Name, structs.PoolName("drafting"))
	_, ok = c.PoolOf(structs.WorkService, "engraver-large")
	assert.Assert(t, !ok)
	assert.Equal(t, len(c.EndpointsOf("drafting")), 1)
	assert.DeepEqual(t, c.TargetsOf(c.EndpointsOf("drafting")[0]), []structs.Target{"engraver-large"})
}

func TestOrganisationTiersAreSortedByRank(t *testing.T) {
	v := newMemoryView(sampleObjects()...)
	o := Organisation{Name: "o", Weight: 1, Tiers: []structs.TierName{"batch", "counter"}}
	v.apply(Put(o))
	c, err := Decode(v)
	assert.NilError(t, err)
	indexed, _ := c.Organisation("o")
	assert.DeepEqual(t, indexed.Tiers, []structs.TierName{"counter", "batch"})
	v.apply(Put(Tier{Name: "counter", Rank: 9}))
	c, err = Update(c, v)
	assert.NilError(t, err)
	indexed, _ = c.Organisation("o")
	assert.DeepEqual(t, indexed.Tiers, []structs.TierName{"batch", "counter"})
}

func TestUpdateAppliesChanges(t *testing.T) {
	v := newMemoryView(sampleObjects()...)
	c, err := Decode(v)
	assert.NilError(t, err)
	v.apply(Remove(KindEndpoint.Key("e1")))
	v.apply(Put(Tier{Name: "batch", Rank: 5}))
	v.apply(configstore.Write{Key: "future/x", Value: []byte("from a newer release")})
	next, err := Update(c, v)
	assert.NilError(t, err)
	full, err := Decode(v)
	assert.NilError(t, err)
	assert.DeepEqual(t, next.Tiers(), full.Tiers())
	assert.Equal(t, len(next.EndpointsOf("drafting")), 0)
	assert.Equal(t, len(c.EndpointsOf("drafting")), 1)
	assert.Equal(t, next.Revision(), v.revision)
}

func TestRulesRejectInvalidChanges(t *testing.T) {
	base := newMemoryView(sampleObjects()...)
	valid := Endpoint{Name: "e3", Pool: "drafting", Address: "http://127.0.0.1:3", FailureDomain: "a"}
	badAddress, badTarget, badPool := valid, valid, valid
	badAddress.Address = "127.0.0.1:3"
	badTarget.Targets = []structs.Target{"order-confirmation"}
	badPool.Pool = "nowhere"
	cases := []struct {
		name  string
		write configstore.Write
		want  string
	}{
		{"rank taken", Put(Tier{Name: "x", Rank: 0}), "rank is taken by tier counter"},
		{"name", Put(Tier{Name: "a b", Rank: 9}), "the name holds a character"},
		{"no such tier", Put(Organisation{Name: "o", Weight: 1, Tiers: []structs.TierName{"gold"}}), "there is no tier gold"},
		{"weight", Put(Organisation{Name: "o", Tiers: []structs.TierName{"batch"}}), "the weight"},
		{"same token", Put(Organisation{Name: "o", Weight: 1, Tiers: []structs.TierName{"batch"}, TokenHash: HashToken("t")}), "the same token"},
		{"tier in use", Remove(KindTier.Key("batch")), "organisation taller refers to it"},
		{"pool in use", Remove(KindPool.Key("drafting")), "endpoint e1 refers to it"},
		{"service in use", Remove(KindService.Key("order-confirmation")), "endpoint e2 refers to it"},
		{"address", Put(badAddress), "not an http or https URL"},
		{"target of another pool", Put(badTarget), "pool drafting serves no model or service"},
		{"no such pool", Put(badPool), "there is no pool nowhere"},
		{"same name", Put(Service{Name: "engraver-large", Pool: "orders"}), "a model has the same name"},
		{"moved to another pool", Put(Service{Name: "order-confirmation", Pool: "drafting"}), "endpoint e2 of pool orders lists it"},
		{"queue", Put(Pool{Name: "p", Shards: 1}), "queue limit"},
		{"malformed", configstore.Write{Key: "tier/t", Value: []byte{0xff}}, "tier/t"},
		{"unknown kind", configstore.Write{Key: "moon/t"}, "unknown kind"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			change := configstore.ChangeSet{Writes: []configstore.Write{c.write}}
			err := Rules{}.Check(RuleVersion, base.with(c.write), change)
			assert.ErrorContains(t, err, c.want)
			var rule *RuleError
			assert.Assert(t, errors.As(err, &rule) && rule.Remedy != "")
		})
	}
}

func TestRulesCheckCompleteChange(t *testing.T) {
	var writes []configstore.Write
	for _, o := range sampleObjects() {
		writes = append(writes, Put(o))
	}
	after := newMemoryView().with(writes...)
	assert.NilError(t, Rules{}.Check(RuleVersion, after, configstore.ChangeSet{Writes: writes}))
	duplicates := []configstore.Write{
		Put(Organisation{Name: "o1", Weight: 1, Tiers: []structs.TierName{"batch"}, TokenHash: HashToken("x")}),
		Put(Organisation{Name: "o2", Weight: 1, Tiers: []structs.TierName{"batch"}, TokenHash: HashToken("x")}),
	}
	err := Rules{}.Check(RuleVersion, after.with(duplicates...), configstore.ChangeSet{Writes: duplicates})
	assert.ErrorContains(t, err, "organisation/o2: organisation/o1 has the same token")
	err = Rules{}.Check(RuleVersion+1, after, configstore.ChangeSet{Writes: writes})
	assert.Assert(t, errors.Is(err, configstore.ErrUnknownRules))
}

func BenchmarkUpdateOneOf9700(b *testing.B) {
	_, store := largeStore(b)
	c, err := Decode(store.View())
	assert.NilError(b, err)
	b.ResetTimer()
	for range b.N {
		if c, err = Update(c, store.View()); err != nil {
			b.Fatal(err)
		}
	}
}

// largeStore returns a store with 9,700 organisations and the sample objects.
func largeStore(b *testing.B) ([]Object, *configstore.Store) {
	objects := sampleObjects()
	for i := range 9700 {
		name := structs.OrganisationName(fmt.Sprintf("org-%d", i))
		objects = append(objects, Organisation{Name: name, Weight: 1, Tiers: []structs.TierName{"batch"}, TokenHash: HashToken(string(name))})
	}
	c := configstore.ChangeSet{ID: "all", RuleVersion: RuleVersion}
	for _, o := range objects {
		c.Writes = append(c.Writes, Put(o))
	}
	store := configstore.NewStore(Rules{})
	v, err := store.Apply(1, time.Unix(1, 0), c)
	assert.NilError(b, err)
	assert.NilError(b, v.Err())
	return objects, store
}

func BenchmarkCheckOneOf9700(b *testing.B) {
	objects, store := largeStore(b)
	change := configstore.ChangeSet{RuleVersion: RuleVersion, Writes: []configstore.Write{Put(objects[len(objects)-1])}}
	b.ResetTimer()
	for range b.N {
		if err := (Rules{}).Check(RuleVersion, store.View(), change); err != nil {
			b.Fatal(err)
		}
	}
}
