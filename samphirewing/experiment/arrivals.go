package experiment

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
)

// arrival is one request of the seeded sequence, the same for every policy.
type arrival struct {
	id           structs.RequestID
	at           time.Duration
	class        *workClass
	rank         structs.Rank
	organisation structs.OrganisationName
	prompt       structs.Tokens
	// fresh is the part of the prompt that was never sent before.
	fresh       structs.Tokens
	output      structs.Tokens
	blocks      []structs.PrefixHash
	deadline    time.Duration
	serviceTime time.Duration
}

const (
	// longestPrompt ends a conversation.
	longestPrompt structs.Tokens = 6000
	// openConversations is how many an organisation has at a time per class.
	openConversations = 12
	arrivalStream     = 0x61727276
)

// conversation is a growing prompt: asked is what was sent so far, and tokens
// that and its answers.
type conversation struct {
	number uint64
	asked  structs.Tokens
	tokens structs.Tokens
}

// generator draws arrivals.
type generator struct {
	d             *deployment
	random        *rand.Rand
	conversations map[conversationKey][]*conversation
	count         uint64
}

type conversationKey struct {
	class        string
	organisation structs.OrganisationName
}

func newGenerator(d *deployment, seed uint64) *generator {
	return &generator{
		d:             d,
		random:        rand.New(rand.NewPCG(seed, arrivalStream)),
		conversations: map[conversationKey][]*conversation{},
	}
}

// sequence draws the arrivals up to a time; rate gives the requests a second
// of a class at a time.
func (g *generator) sequence(until time.Duration, rate func(*workClass, time.Duration) float64) []*arrival {
	const resolution = 100 * time.Millisecond
	var all []*arrival
	for at := time.Duration(0); at < until; at += resolution {
		for i := range g.d.classes {
			c := &g.d.classes[i]
			n := g.poisson(rate(c, at) * resolution.Seconds())
			for range n {
				when := at + time.Duration(g.random.Int64N(int64(resolution)))
				all = append(all, g.draw(c, when))
			}
		}
	}
	return all
}

// poisson draws by exponential gaps, which suits small means.
func (g *generator) poisson(mean float64) int {
	n := 0
	for t := g.random.ExpFloat64(); t < mean; t += g.random.ExpFloat64() {
		n++
	}
	return n
}

func (g *generator) draw(c *workClass, at time.Duration) *arrival {
	g.count++
	a := &arrival{
		id:           structs.RequestID(fmt.Sprintf("r%06d", g.count)),
		at:           at,
		class:        c,
		rank:         structs.Rank(g.pick(c.tiers)),
		organisation: g.organisation(),
		deadline:     c.deadline,
	}
	if c.kind == structs.WorkService {
		a.prompt = 1
		a.output = 1
		a.serviceTime = c.serviceTime.least + time.Duration(g.random.Int64N(int64(c.serviceTime.most-c.serviceTime.least)))
		return a
	}
	a.fresh = g.between(c.fresh)
	a.output = g.between(c.output)
	g.converse(a)
	return a
}

// converse continues a conversation or begins one, and sets prompt and blocks.
func (g *generator) converse(a *arrival) {
	key := conversationKey{class: a.class.name, organisation: a.organisation}
	open := g.conversations[key]
	var v *conversation
	if len(open) > 0 && g.random.Float64() < a.class.followUp {
		v = open[g.random.IntN(len(open))]
	}
	if v == nil || v.tokens+a.fresh > longestPrompt {
		v = &conversation{number: g.count, asked: a.class.template, tokens: a.class.template}
		g.conversations[key] = keepLatest(append(open, v))
	}
	a.prompt = v.tokens + a.fresh
	a.fresh = a.prompt - v.asked
	v.asked = a.prompt
	v.tokens = a.prompt + a.output
	a.blocks = conversationBlocks(a, v.number)
}

func keepLatest(open []*conversation) []*conversation {
	if len(open) > openConversations {
		return open[1:]
	}
	return open
}

// conversationBlocks hashes the blocks of a prompt: the template's blocks are
// the organisation's, the others the conversation's.
func conversationBlocks(a *arrival, number uint64) []structs.PrefixHash {
	count := min(int(a.prompt/prefix.BlockTokens), prefix.MaxBlocks)
	shared := int(a.class.template / prefix.BlockTokens)
	base := xxhash.Sum64String(string(a.organisation) + "/" + a.class.name)
	blocks := make([]structs.PrefixHash, count)
	for i := range blocks {
		owner := number
		if i < shared {
			owner = 0
		}
		blocks[i] = blockHash(base, owner, uint64(i))
	}
	return blocks
}

func blockHash(base, owner, index uint64) structs.PrefixHash {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], base)
	binary.LittleEndian.PutUint64(b[8:], owner)
	binary.LittleEndian.PutUint64(b[16:], index)
	return structs.PrefixHash(xxhash.Sum64(b[:]))
}

func (g *generator) organisation() structs.OrganisationName {
	x := g.random.Float64()
	for _, o := range g.d.organisations {
		x -= o.share
		if x < 0 {
			return o.name
		}
	}
	return g.d.organisations[0].name
}

func (g *generator) pick(shares []float64) int {
	x := g.random.Float64()
	for i, s := range shares {
		x -= s
		if x < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func (g *generator) between(r tokenRange) structs.Tokens {
	return r.least + structs.Tokens(g.random.Int64N(int64(r.most-r.least+1)))
}

// capacity returns the requests a second that a deployment's engines carry
// together when every prompt that was seen before is cached and every batch
// is full, with the classes in their shares. Services are apart: their
// capacity is the calls a second of their runners.
func (d *deployment) capacity() (model, service float64) {
	prefill, output := d.meanWork()
	for _, e := range d.engines {
		k := e.kind
		if e.service {
			service += float64(k.Batch) / d.meanServiceTime().Seconds()
			continue
		}
		step := k.Step + time.Duration(k.Batch)*k.StepPerRequest
		seconds := prefill/k.PrefillRate + output*step.Seconds()/float64(k.Batch)
		model += 1 / seconds
	}
	return model, service
}

const capacitySample = 4000

// meanWork returns the mean uncached prompt and output of a model request.
func (d *deployment) meanWork() (prefill, output float64) {
	g := newGenerator(d, 1)
	n := 0.0
	for range capacitySample {
		for i := range d.classes {
			c := &d.classes[i]
			if c.kind == structs.WorkService {
				continue
			}
			a := g.draw(c, 0)
			prefill += c.share * float64(a.fresh)
			output += c.share * float64(a.output)
			n += c.share
		}
	}
	return prefill / n, output / n
}

func (d *deployment) meanServiceTime() time.Duration {
	for _, c := range d.classes {
		if c.kind == structs.WorkService {
			return (c.serviceTime.least + c.serviceTime.most) / 2
		}
	}
	return time.Second
}
