// Package demo runs a complete system in one process on loopback: daemons,
// model engines, plain services, the log service, the membership list and the
// weight store.
package demo

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

// The deployments that Start accepts.
const (
	Gemelo    = "gemelo"
	Parapluie = "parapluie"
)

// deployment describes the engines and services that the daemons serve.
type deployment struct {
	name     string
	domains  []instance.FailureDomain
	engines  enginePool
	services servicePool
	// samples are the requests in the printed curl commands.
	samples sampleRequests
}

type enginePool struct {
	name   structs.PoolName
	models []structs.Target
	// classes are assigned round robin: engine i has class i modulo the number
	// of classes.
	classes     []engineClass
	engineCount int
}

type engineClass struct {
	name string
	// prefillRate and decodeRate are in tokens per second.
	prefillRate float64
	decodeRate  float64
	maxBatch    int
	cacheBlocks int
	fencing     bool
}

type servicePool struct {
	name         structs.PoolName
	serviceCount int
	callTime     time.Duration
}

// sampleRequests are a streamed model request and a service call.
type sampleRequests struct {
	organisation structs.OrganisationName
	tier         structs.TierName
	prompt       string
	service      structs.Target
	body         string
}

func findDeployment(name string) (deployment, error) {
	switch name {
	case Gemelo:
		return gemelo(), nil
	case Parapluie:
		return parapluie(), nil
	default:
		return deployment{}, errors.Errorf("--deployment: %q is not known; use %s or %s", name, Gemelo, Parapluie)
	}
}

func gemelo() deployment {
	return deployment{
		name:    Gemelo,
		domains: []instance.FailureDomain{"cba-1", "cba-2", "cba-3"},
		engines: enginePool{
			name:   "drafting",
			models: []structs.Target{"engraver-large", "engraver-small"},
			classes: []engineClass{
				{name: "fast", prefillRate: 12_000, decodeRate: 90, maxBatch: 16, cacheBlocks: 4096, fencing: true},
				{name: "slow", prefillRate: 4_000, decodeRate: 40, maxBatch: 8, cacheBlocks: 2048},
			},
			engineCount: 20,
		},
		services: servicePool{
			name:         "orders",
			serviceCount: 3,
			callTime:     20 * time.Millisecond,
		},
		samples: sampleRequests{
			organisation: "joyeria-sol",
			tier:         "counter",
			prompt:       "Draft the layout of a monogram L.G. with a laurel border for oval cufflinks.",
			service:      "order-confirmation",
			body:         `{"order":"4711","pairs":1}`,
		},
	}
}

func parapluie() deployment {
	return deployment{
		name:    Parapluie,
		domains: []instance.FailureDomain{"dkr-1", "dkr-2", "dkr-3", "dkr-4"},
		engines: enginePool{
			name:   "assistant",
			models: []structs.Target{"mender-large", "mender-small"},
			classes: []engineClass{
				{name: "fast", prefillRate: 10_000, decodeRate: 80, maxBatch: 16, cacheBlocks: 2048, fencing: true},
				{name: "slow", prefillRate: 3_000, decodeRate: 35, maxBatch: 8, cacheBlocks: 1024},
			},
			engineCount: 10,
		},
		services: servicePool{
			name:         "stock",
			serviceCount: 4,
			callTime:     20 * time.Millisecond,
		},
		samples: sampleRequests{
			organisation: "medina",
			tier:         "corner",
			prompt:       "The third rib of an eight-rib frame is bent and the runner sticks. What is broken?",
			service:      "parts-booking",
			body:         `{"part":"rib-58cm","count":2}`,
		},
	}
}

// bearerToken returns the bearer token of an organisation in the demo.
func bearerToken(o structs.OrganisationName) string { return "demo-" + string(o) }

func (d deployment) domain(i int) instance.FailureDomain { return d.domains[i%len(d.domains)] }

func endpointName(pool structs.PoolName, i int) structs.EndpointName {
	return structs.EndpointName(fmt.Sprintf("%s-%02d", pool, i+1))
}
