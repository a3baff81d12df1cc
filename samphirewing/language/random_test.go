package language

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
)

// randomSeed makes runs reproducible; -rapid.seed overrides it.
const randomSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", randomSeed); err != nil {
		panic(err)
	}
}

// drawStatement draws a change. It uses few names, so that changes often affect
// the same objects.
func drawStatement(t *rapid.T) string {
	name := func(kind string) string { return kind + rapid.SampledFrom([]string{"1", "2"}).Draw(t, kind) }
	tier, organisation, pool, endpoint, service, model := name("t"), name("o"), name("p"), name("e"), name("s"), name("m")
	rank := rapid.IntRange(0, 2).Draw(t, "rank")
	return rapid.SampledFrom([]string{
		fmt.Sprintf("create tier %s rank %d", tier, rank),
		fmt.Sprintf("alter tier %s rank %d", tier, rank),
		"drop tier " + tier,
		fmt.Sprintf("create organisation %s tiers %s token 'x%d'", organisation, tier, rank),
		fmt.Sprintf("alter organisation %s tiers t1, t2 token 'x%d'", organisation, rank),
		"drop organisation " + organisation,
		"create pool " + pool,
		"drop pool " + pool,
		fmt.Sprintf("serve %s on %s", model, pool),
		"drop model " + model,
		fmt.Sprintf("create service %s pool %s repeatable no", service, pool),
		fmt.Sprintf("alter service %s pool %s", service, pool),
		"drop service " + service,
		fmt.Sprintf("create endpoint %s pool %s address 'http://h' domain a", endpoint, pool),
		fmt.Sprintf("alter endpoint %s pool %s serves %s", endpoint, pool, rapid.SampledFrom([]string{"all", model, service}).Draw(t, "target")),
		"drain endpoint " + endpoint,
		"drop endpoint " + endpoint,
	}).Draw(t, "statement")
}

// initialCatalogue declares objects for the drawn changes to work on.
const initialCatalogue = `create tier t1 rank 0; create tier t2 rank 1; create organisation o1 tiers t1;
	create pool p1; create pool p2; serve m1 on p1; create service s1 pool p1 repeatable no;
	create endpoint e1 pool p1 address 'http://h' domain a serves s1, m1`

func newInitialStore(t *rapid.T) *configstore.Store {
	store := configstore.NewStore(catalogue.Rules{})
	statements, err := Parse(initialCatalogue)
	assert.NilError(t, err)
	c, err := Plan(store.View(), "lucia", statements)
	assert.NilError(t, err)
	verdict, err := store.Apply(1, time.Unix(0, 0), c)
	assert.NilError(t, err)
	assert.NilError(t, verdict.Err())
	return store
}

// drawChange draws one to four statements and plans them. It reports false if
// the plan is rejected.
func drawChange(t *rapid.T, view configstore.View, author string) (configstore.ChangeSet, bool) {
	texts := rapid.SliceOfN(rapid.Custom(drawStatement), 1, 4).Draw(t, author)
	statements, err := Parse(strings.Join(texts, ";"))
	assert.NilError(t, err)
	c, err := Plan(view, author, statements)
	return c, err == nil
}

// TestConcurrentChangesKeepCatalogueConsistent lets two operators plan on the
// same view and commits both change sets. It checks that the verdict on a change
// set agrees with its dry run if no other change set came in between, that all
// references are valid after each round, and that the incrementally updated
// catalogue equals one decoded from scratch.
func TestConcurrentChangesKeepCatalogueConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newInitialStore(t)
		index, err := catalogue.Decode(store.View())
		assert.NilError(t, err)
		revision := store.Revision()
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			view := store.View()
			for i, author := range []string{"ana", "lucia"} {
				c, planned := drawChange(t, view, author)
				if !planned {
					continue
				}
				expected := DryRun(view, c)
				unchanged := store.Revision() == view.Revision()
				revision++
				verdict, err := store.Apply(revision, time.Unix(int64(i), 0), c)
				assert.NilError(t, err)
				if unchanged {
					assert.Equal(t, verdict.Accepted, expected == nil, "dry run %v, verdict %v", expected, verdict.Err())
				}
			}
			index, err = catalogue.Update(index, store.View())
			assert.NilError(t, err)
			assertConsistent(t, index)
			rebuilt, err := catalogue.Decode(store.View())
			assert.NilError(t, err)
			assert.DeepEqual(t, endpoints(index), endpoints(rebuilt))
			assert.DeepEqual(t, index.Tiers(), rebuilt.Tiers())
		}
	})
}

func endpoints(c *catalogue.Catalogue) []catalogue.Endpoint {
	var all []catalogue.Endpoint
	c.Endpoints(func(e catalogue.Endpoint) bool {
		all = append(all, e)
		return true
	})
	return all
}

// assertConsistent checks that ranks and tokens are unique and that every
// reference is valid.
func assertConsistent(t *rapid.T, c *catalogue.Catalogue) {
	rankUsed := make(map[structs.Rank]bool)
	for _, tier := range c.Tiers() {
		assert.Assert(t, !rankUsed[tier.Rank], "rank %d is used twice", tier.Rank)
		rankUsed[tier.Rank] = true
	}
	tokenUsed := make(map[catalogue.TokenHash]bool)
	c.Organisations(func(o catalogue.Organisation) bool {
		assert.Assert(t, o.TokenHash.IsZero() || !tokenUsed[o.TokenHash], "token of %s is used twice", o.Name)
		tokenUsed[o.TokenHash] = true
		for _, name := range o.Tiers {
			_, ok := c.Tier(name)
			assert.Assert(t, ok, "%s uses missing tier %s", o.Name, name)
		}
		return true
	})
	for _, e := range endpoints(c) {
		_, ok := c.Pool(e.Pool)
		assert.Assert(t, ok, "%s is in missing pool %s", e.Name, e.Pool)
		for _, target := range e.Targets {
			assert.Assert(t, poolServes(c, e.Pool, target), "%s lists %s, which its pool does not serve", e.Name, target)
		}
	}
	for _, m := range c.Models() {
		_, ok := c.PoolOf(structs.WorkModel, m)
		assert.Assert(t, ok, "model %s has no pool", m)
	}
	for _, s := range c.Services() {
		_, ok := c.PoolOf(structs.WorkService, s)
		assert.Assert(t, ok, "service %s has no pool", s)
	}
}

func poolServes(c *catalogue.Catalogue, pool structs.PoolName, target structs.Target) bool {
	for _, kind := range []structs.WorkKind{structs.WorkModel, structs.WorkService} {
		if p, ok := c.PoolOf(kind, target); ok && p.Name == pool {
			return true
		}
	}
	return false
}
