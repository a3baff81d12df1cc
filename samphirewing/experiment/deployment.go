package experiment

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

// ErrUnknownDeployment is returned for a name that no deployment has.
const ErrUnknownDeployment = errors.ConstError("unknown deployment; use gemelo or parapluie")

// Names of the deployments.
const (
	Gemelo    = "gemelo"
	Parapluie = "parapluie"
)

// deployment is a set of engines with its organisations and work classes.
type deployment struct {
	name          string
	engines       []engineSpec
	organisations []organisation
	classes       []workClass
}

type engineSpec struct {
	name   structs.EndpointName
	domain instance.FailureDomain
	target structs.Target
	// service is set if the target is a plain service rather than a model.
	service bool
	kind    engineKind
}

type organisation struct {
	name  structs.OrganisationName
	share float64
}

// workClass describes one kind of request. Its share is relative to those of
// the other classes.
type workClass struct {
	name   string
	target structs.Target
	kind   structs.WorkKind
	share  float64
	// rankShares holds the share of each rank.
	rankShares []float64
	// templateTokens is the length of the prompt prefix that all requests of
	// an organisation share.
	templateTokens structs.Tokens
	// turnTokens bounds the prompt tokens added by a turn of a conversation.
	turnTokens tokenRange
	// followUpShare is the share of requests that continue a conversation.
	followUpShare float64
	output        tokenRange
	maxOutput     structs.Tokens
	deadline      time.Duration
	// serviceTime bounds the duration of a service call.
	serviceTime durationRange
}

type tokenRange struct{ min, max structs.Tokens }

type durationRange struct{ min, max time.Duration }

var (
	fastEngine = engineKind{
		Class:              "new",
		StepTime:           14 * time.Millisecond,
		StepTimePerRequest: 400 * time.Microsecond,
		PrefillRate:        9000,
		MaxBatch:           32,
		KVTokens:           96 << 10,
		CacheBlocks:        1600,
	}
	midEngine = engineKind{
		Class:              "mid",
		StepTime:           22 * time.Millisecond,
		StepTimePerRequest: 800 * time.Microsecond,
		PrefillRate:        4500,
		MaxBatch:           24,
		KVTokens:           64 << 10,
		CacheBlocks:        1000,
	}
	slowEngine = engineKind{
		Class:              "old",
		StepTime:           36 * time.Millisecond,
		StepTimePerRequest: 1500 * time.Microsecond,
		PrefillRate:        2200,
		MaxBatch:           16,
		KVTokens:           40 << 10,
		CacheBlocks:        600,
	}
)

// serviceRunnerConcurrency is the maximum concurrent calls of a service runner.
const serviceRunnerConcurrency = 4

func findDeployment(name string) (deployment, error) {
	switch name {
	case Gemelo:
		return gemelo(), nil
	case Parapluie:
		return parapluie(), nil
	default:
		return deployment{}, errors.Annotatef(ErrUnknownDeployment, "deployment %q", name)
	}
}

func gemelo() deployment {
	d := deployment{name: Gemelo, organisations: organisations()}
	d.addEngines("drafting", "draft", 3, []engineKind{fastEngine, midEngine, midEngine, slowEngine}, 20)
	d.addServices("orders", "orders", 3, 3)
	d.classes = []workClass{
		{
			name: "layout", target: "draft", kind: structs.WorkModel, share: 0.22, rankShares: []float64{0.4, 0.45, 0.15},
			templateTokens: 768, turnTokens: tokenRange{600, 3200}, followUpShare: 0.5, output: tokenRange{250, 700}, maxOutput: 1000,
			deadline: 40 * time.Second,
		},
		{
			name: "lettering", target: "draft", kind: structs.WorkModel, share: 0.28, rankShares: []float64{0.4, 0.4, 0.2},
			templateTokens: 512, turnTokens: tokenRange{100, 400}, followUpShare: 0.4, output: tokenRange{60, 160}, maxOutput: 256,
			deadline: 15 * time.Second,
		},
		{
			name: "tag", target: "draft", kind: structs.WorkModel, share: 0.5, rankShares: []float64{0.2, 0.3, 0.5},
			templateTokens: 256, turnTokens: tokenRange{20, 80}, output: tokenRange{3, 12}, maxOutput: 16,
			deadline: 6 * time.Second,
		},
		serviceClass("order", "orders"),
	}
	return d
}

func parapluie() deployment {
	d := deployment{name: Parapluie, organisations: organisations()}
	d.addEngines("assistant", "assist", 4, []engineKind{midEngine, fastEngine, slowEngine}, 10)
	d.addServices("booking", "bookings", 4, 4)
	d.classes = []workClass{
		{
			name: "diagnosis", target: "assist", kind: structs.WorkModel, share: 0.35, rankShares: []float64{0.33, 0.45, 0.22},
			templateTokens: 1024, turnTokens: tokenRange{500, 2400}, followUpShare: 0.6, output: tokenRange{120, 400}, maxOutput: 600,
			deadline: 25 * time.Second,
		},
		{
			name: "quote", target: "assist", kind: structs.WorkModel, share: 0.3, rankShares: []float64{0.38, 0.42, 0.2},
			templateTokens: 512, turnTokens: tokenRange{120, 400}, followUpShare: 0.5, output: tokenRange{80, 200}, maxOutput: 300,
			deadline: 12 * time.Second,
		},
		{
			name: "label", target: "assist", kind: structs.WorkModel, share: 0.35, rankShares: []float64{0.2, 0.3, 0.5},
			templateTokens: 256, turnTokens: tokenRange{20, 60}, output: tokenRange{4, 10}, maxOutput: 16,
			deadline: 6 * time.Second,
		},
		serviceClass("booking", "bookings"),
	}
	return d
}

func serviceClass(name string, target structs.Target) workClass {
	return workClass{
		name: name, target: target, kind: structs.WorkService, share: 0.1, rankShares: []float64{1},
		deadline: 5 * time.Second, serviceTime: durationRange{150 * time.Millisecond, 400 * time.Millisecond},
	}
}

func organisations() []organisation {
	return []organisation{{"norte", 0.4}, {"plaza", 0.3}, {"sur", 0.15}, {"puerto", 0.1}, {"feria", 0.05}}
}

// addEngines adds count engines. The failure domain changes with each engine
// and the kind after each round of the domains, so that every domain has
// engines of every kind.
func (d *deployment) addEngines(name string, target structs.Target, domains int, kinds []engineKind, count int) {
	for i := range count {
		d.engines = append(d.engines, engineSpec{
			name:   structs.EndpointName(fmt.Sprintf("%s-%02d", name, i)),
			domain: instance.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			target: target,
			kind:   kinds[(i/domains)%len(kinds)],
		})
	}
}

func (d *deployment) addServices(name string, target structs.Target, domains, count int) {
	for i := range count {
		d.engines = append(d.engines, engineSpec{
			name:    structs.EndpointName(fmt.Sprintf("%s-%02d", name, i)),
			domain:  instance.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			target:  target,
			service: true,
			kind:    engineKind{Class: "service", MaxBatch: serviceRunnerConcurrency},
		})
	}
}
