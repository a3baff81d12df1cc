package experiment

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/samphirewing/state/structs"
)

// ErrUnknownDeployment means that no deployment has the name.
const ErrUnknownDeployment = errors.ConstError("unknown deployment; use gemelo or parapluie")

// The deployments' names.
const (
	Gemelo    = "gemelo"
	Parapluie = "parapluie"
)

// deployment is a set of engines and the work that arrives.
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
	// service is set for runners of a plain service.
	service bool
	kind    engineKind
}

type organisation struct {
	name  structs.OrganisationName
	share float64
}

// workClass is one kind of work. Shares are relative.
type workClass struct {
	name   string
	target structs.Target
	kind   structs.WorkKind
	share  float64
	// tiers holds the share of each rank.
	tiers []float64
	// template is the prompt that all requests of an organisation begin with.
	template structs.Tokens
	// fresh bounds the prompt tokens that each turn of a conversation adds.
	fresh tokenRange
	// followUp is the share of requests that continue a conversation.
	followUp  float64
	output    tokenRange
	maxOutput structs.Tokens
	deadline  time.Duration
	// serviceTime bounds the time of a service call.
	serviceTime durationRange
}

type tokenRange struct{ least, most structs.Tokens }

type durationRange struct{ least, most time.Duration }

var (
	fastEngine = engineKind{
		Class:          "new",
		Step:           14 * time.Millisecond,
		StepPerRequest: 400 * time.Microsecond,
		PrefillRate:    9000,
		Batch:          32,
		KVTokens:       96 << 10,
		CacheBlocks:    1600,
	}
	midEngine = engineKind{
		Class:          "mid",
		Step:           22 * time.Millisecond,
		StepPerRequest: 800 * time.Microsecond,
		PrefillRate:    4500,
		Batch:          24,
		KVTokens:       64 << 10,
		CacheBlocks:    1000,
	}
	slowEngine = engineKind{
		Class:          "old",
		Step:           36 * time.Millisecond,
		StepPerRequest: 1500 * time.Microsecond,
		PrefillRate:    2200,
		Batch:          16,
		KVTokens:       40 << 10,
		CacheBlocks:    600,
	}
)

// serviceRunnerCalls is how many calls a service runner works on at once.
const serviceRunnerCalls = 4

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
			name: "layout", target: "draft", kind: structs.WorkModel, share: 0.22, tiers: []float64{0.4, 0.45, 0.15},
			template: 768, fresh: tokenRange{600, 3200}, followUp: 0.5, output: tokenRange{250, 700}, maxOutput: 1000,
			deadline: 40 * time.Second,
		},
		{
			name: "lettering", target: "draft", kind: structs.WorkModel, share: 0.28, tiers: []float64{0.4, 0.4, 0.2},
			template: 512, fresh: tokenRange{100, 400}, followUp: 0.4, output: tokenRange{60, 160}, maxOutput: 256,
			deadline: 15 * time.Second,
		},
		{
			name: "tag", target: "draft", kind: structs.WorkModel, share: 0.5, tiers: []float64{0.2, 0.3, 0.5},
			template: 256, fresh: tokenRange{20, 80}, output: tokenRange{3, 12}, maxOutput: 16,
			deadline: 6 * time.Second,
		},
		orderClass("order", "orders"),
	}
	return d
}

func parapluie() deployment {
	d := deployment{name: Parapluie, organisations: organisations()}
	d.addEngines("assistant", "assist", 4, []engineKind{midEngine, fastEngine, slowEngine}, 10)
	d.addServices("booking", "bookings", 4, 4)
	d.classes = []workClass{
		{
			name: "diagnosis", target: "assist", kind: structs.WorkModel, share: 0.35, tiers: []float64{0.33, 0.45, 0.22},
			template: 1024, fresh: tokenRange{500, 2400}, followUp: 0.6, output: tokenRange{120, 400}, maxOutput: 600,
			deadline: 25 * time.Second,
		},
		{
			name: "quote", target: "assist", kind: structs.WorkModel, share: 0.3, tiers: []float64{0.38, 0.42, 0.2},
			template: 512, fresh: tokenRange{120, 400}, followUp: 0.5, output: tokenRange{80, 200}, maxOutput: 300,
			deadline: 12 * time.Second,
		},
		{
			name: "label", target: "assist", kind: structs.WorkModel, share: 0.35, tiers: []float64{0.2, 0.3, 0.5},
			template: 256, fresh: tokenRange{20, 60}, output: tokenRange{4, 10}, maxOutput: 16,
			deadline: 6 * time.Second,
		},
		orderClass("booking", "bookings"),
	}
	return d
}

func orderClass(name string, target structs.Target) workClass {
	return workClass{
		name: name, target: target, kind: structs.WorkService, share: 0.1, tiers: []float64{1},
		deadline: 5 * time.Second, serviceTime: durationRange{150 * time.Millisecond, 400 * time.Millisecond},
	}
}

func organisations() []organisation {
	return []organisation{{"norte", 0.4}, {"plaza", 0.3}, {"sur", 0.15}, {"puerto", 0.1}, {"feria", 0.05}}
}

// addEngines adds count engines that go round the domains and, more slowly,
// round the kinds, so that each domain has some of each.
func (d *deployment) addEngines(name string, t structs.Target, domains int, kinds []engineKind, count int) {
	for i := range count {
		d.engines = append(d.engines, engineSpec{
			name:   structs.EndpointName(fmt.Sprintf("%s-%02d", name, i)),
			domain: instance.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			target: t,
			kind:   kinds[(i/domains)%len(kinds)],
		})
	}
}

func (d *deployment) addServices(name string, t structs.Target, domains, count int) {
	for i := range count {
		d.engines = append(d.engines, engineSpec{
			name:    structs.EndpointName(fmt.Sprintf("%s-%02d", name, i)),
			domain:  instance.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
			target:  t,
			service: true,
			kind:    engineKind{Class: "service", Batch: serviceRunnerCalls},
		})
	}
}
