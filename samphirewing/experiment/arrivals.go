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

// arrival is one request of the seeded arrival sequence, which is the same
// for every policy.
type arrival struct {
	id           structs.RequestID
	arrivedAt    time.Duration
	class        *workClass
	rank         structs.Rank
	organisation structs.OrganisationName
	prompt       structs.Tokens
	// newTokens is the part of the prompt that no earlier request of the
	// conversation contained.
	newTokens   structs.Tokens
	output      structs.Tokens
	blocks      []structs.PrefixHash
	deadline    time.Duration
	serviceTime time.Duration
}

const (
	// maxPromptTokens limits the prompt of a conversation; a follow-up that
	// would exceed it starts a new conversation.
	maxPromptTokens structs.Tokens = 6000
	// maxOpenConversations limits the open conversations per organisation and
	// work class.
	maxOpenConversations = 12
	// arrivalStream selects the random stream of the arrival generator.
	arrivalStream = 0x61727276
)

// conversation is a sequence of requests whose prompt grows with each turn.
type conversation struct {
	id uint64
	// sentTokens is the length of the last prompt, totalTokens includes its
	// answer.
	sentTokens  structs.Tokens
	totalTokens structs.Tokens
}

// generator draws random arrivals for a deployment.
type generator struct {
	deployment    *deployment
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
		deployment:    d,
		random:        rand.New(rand.NewPCG(seed, arrivalStream)),
		conversations: map[conversationKey][]*conversation{},
	}
}

// generate draws the arrivals before until. rate returns the request rate per
// second of a work class at an offset from the start.
func (g *generator) generate(until time.Duration, rate func(*workClass, time.Duration) float64) []*arrival {
	const resolution = 100 * time.Millisecond
	var arrivals []*arrival
	for start := time.Duration(0); start < until; start += resolution {
		for i := range g.deployment.classes {
			class := &g.deployment.classes[i]
			count := g.poisson(rate(class, start) * resolution.Seconds())
			for range count {
				arrivedAt := start + time.Duration(g.random.Int64N(int64(resolution)))
				arrivals = append(arrivals, g.draw(class, arrivedAt))
			}
		}
	}
	return arrivals
}

// poisson draws a Poisson-distributed count by summing exponential gaps,
// which is efficient for small means.
func (g *generator) poisson(mean float64) int {
	n := 0
	for elapsed := g.random.ExpFloat64(); elapsed < mean; elapsed += g.random.ExpFloat64() {
		n++
	}
	return n
}

func (g *generator) draw(class *workClass, arrivedAt time.Duration) *arrival {
	g.count++
	a := &arrival{
		id:           structs.RequestID(fmt.Sprintf("r%06d", g.count)),
		arrivedAt:    arrivedAt,
		class:        class,
		rank:         structs.Rank(g.drawIndex(class.rankShares)),
		organisation: g.drawOrganisation(),
		deadline:     class.deadline,
	}
	if class.kind == structs.WorkService {
		a.prompt = 1
		a.output = 1
		a.serviceTime = class.serviceTime.min + time.Duration(g.random.Int64N(int64(class.serviceTime.max-class.serviceTime.min)))
		return a
	}
	a.newTokens = g.drawTokens(class.turnTokens)
	a.output = g.drawTokens(class.output)
	g.assignConversation(a)
	return a
}

// assignConversation makes the request a follow-up of an open conversation or
// the first request of a new one, and sets its prompt, new tokens and blocks.
func (g *generator) assignConversation(a *arrival) {
	key := conversationKey{class: a.class.name, organisation: a.organisation}
	open := g.conversations[key]
	var conv *conversation
	if len(open) > 0 && g.random.Float64() < a.class.followUpShare {
		conv = open[g.random.IntN(len(open))]
	}
	if conv == nil || conv.totalTokens+a.newTokens > maxPromptTokens {
		conv = &conversation{id: g.count, sentTokens: a.class.templateTokens, totalTokens: a.class.templateTokens}
		g.conversations[key] = evictOldest(append(open, conv))
	}
	a.prompt = conv.totalTokens + a.newTokens
	a.newTokens = a.prompt - conv.sentTokens
	conv.sentTokens = a.prompt
	conv.totalTokens = a.prompt + a.output
	a.blocks = conversationBlocks(a, conv.id)
}

func evictOldest(open []*conversation) []*conversation {
	if len(open) > maxOpenConversations {
		return open[1:]
	}
	return open
}

// conversationBlocks returns the block hashes of a prompt. The blocks of the
// template are shared by all conversations of the organisation in the work
// class; the other blocks are specific to the conversation.
func conversationBlocks(a *arrival, conversationID uint64) []structs.PrefixHash {
	count := min(int(a.prompt/prefix.BlockTokens), prefix.MaxBlocks)
	templateBlocks := int(a.class.templateTokens / prefix.BlockTokens)
	classHash := xxhash.Sum64String(string(a.organisation) + "/" + a.class.name)
	blocks := make([]structs.PrefixHash, count)
	for i := range blocks {
		scope := conversationID
		if i < templateBlocks {
			scope = 0
		}
		blocks[i] = blockHash(classHash, scope, uint64(i))
	}
	return blocks
}

func blockHash(classHash, scope, index uint64) structs.PrefixHash {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[0:], classHash)
	binary.LittleEndian.PutUint64(b[8:], scope)
	binary.LittleEndian.PutUint64(b[16:], index)
	return structs.PrefixHash(xxhash.Sum64(b[:]))
}

func (g *generator) drawOrganisation() structs.OrganisationName {
	remaining := g.random.Float64()
	for _, o := range g.deployment.organisations {
		remaining -= o.share
		if remaining < 0 {
			return o.name
		}
	}
	return g.deployment.organisations[0].name
}

func (g *generator) drawIndex(shares []float64) int {
	remaining := g.random.Float64()
	for i, share := range shares {
		remaining -= share
		if remaining < 0 {
			return i
		}
	}
	return len(shares) - 1
}

func (g *generator) drawTokens(r tokenRange) structs.Tokens {
	return r.min + structs.Tokens(g.random.Int64N(int64(r.max-r.min+1)))
}

// capacity returns the total throughput of the deployment's engines in
// requests per second, and that of its service runners in calls per second.
// It assumes that every prompt token sent before is cached, that every batch
// is full and that the work classes arrive in proportion to their shares.
func (d *deployment) capacity() (modelRate, serviceRate float64) {
	prefill, output := d.meanModelTokens()
	for _, e := range d.engines {
		k := e.kind
		if e.service {
			serviceRate += float64(k.MaxBatch) / d.meanServiceTime().Seconds()
			continue
		}
		step := k.StepTime + time.Duration(k.MaxBatch)*k.StepTimePerRequest
		seconds := prefill/k.PrefillRate + output*step.Seconds()/float64(k.MaxBatch)
		modelRate += 1 / seconds
	}
	return modelRate, serviceRate
}

// capacitySamples is the number of requests drawn per work class to estimate
// the mean tokens of a request.
const capacitySamples = 4000

// meanModelTokens returns the mean new prompt tokens and output tokens of a
// model request.
func (d *deployment) meanModelTokens() (prefill, output float64) {
	g := newGenerator(d, 1)
	weight := 0.0
	for range capacitySamples {
		for i := range d.classes {
			c := &d.classes[i]
			if c.kind == structs.WorkService {
				continue
			}
			a := g.draw(c, 0)
			prefill += c.share * float64(a.newTokens)
			output += c.share * float64(a.output)
			weight += c.share
		}
	}
	return prefill / weight, output / weight
}

func (d *deployment) meanServiceTime() time.Duration {
	for _, c := range d.classes {
		if c.kind == structs.WorkService {
			return (c.serviceTime.min + c.serviceTime.max) / 2
		}
	}
	return time.Second
}
