// Package estimate predicts the output length of answers, in tokens, from past
// answers of the same organisation and work class.
package estimate

import (
	"container/list"
	"math"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// smoothing is the minimum weight of a new answer in a mean.
	smoothing = 0.05
	// priorWeight is the weight of the prior in a blend, in answers.
	priorWeight = 4
	// defaultOutputShare is the share of the client's limit that is predicted
	// before the first observation.
	defaultOutputShare = 0.5
	// defaultUpperShare is the share of the limit that UpperBound uses until
	// priorWeight answers were observed.
	defaultUpperShare = 0.75
	// upperDeviations is the number of standard deviations between the mean
	// and UpperBound.
	upperDeviations = 1.1
)

// DefaultMaxKinds is the default bound on the number of kinds.
const DefaultMaxKinds = 8192

// Kind is the key by which answers are grouped.
type Kind struct {
	Organisation structs.OrganisationName
	WorkClass    string
}

// LengthPredictor predicts output lengths. It is not safe for concurrent use.
// Invariant: it holds at most maxKinds kinds; the least recently observed ones
// are evicted.
type LengthPredictor struct {
	maxKinds int
	kinds    map[Kind]*list.Element
	lru      *list.List
	classes  map[string]*mean
}

type entry struct {
	kind Kind
	mean mean
}

// mean is an exponential moving average with its variance.
type mean struct {
	count    float64
	value    float64
	variance float64
}

// New returns a predictor without observations that holds at most maxKinds
// kinds.
func New(maxKinds int) *LengthPredictor {
	return &LengthPredictor{
		maxKinds: max(maxKinds, 1),
		kinds:    map[Kind]*list.Element{},
		lru:      list.New(),
		classes:  map[string]*mean{},
	}
}

// Observe updates the averages with a complete answer.
func (l *LengthPredictor) Observe(k Kind, output structs.Tokens) {
	if output <= 0 {
		return
	}
	l.observeClass(k.WorkClass, float64(output))
	el, ok := l.kinds[k]
	if !ok {
		el = l.lru.PushFront(&entry{kind: k})
		l.kinds[k] = el
		l.evict()
	}
	l.lru.MoveToFront(el)
	el.Value.(*entry).mean.add(float64(output))
}

// Output predicts the length of an answer, from 1 to the client's limit.
func (l *LengthPredictor) Output(k Kind, limit structs.Tokens) structs.Tokens {
	prediction := defaultOutputShare * float64(limit)
	if m, ok := l.classes[k.WorkClass]; ok {
		prediction = m.blend(prediction)
	}
	if el, ok := l.kinds[k]; ok {
		prediction = el.Value.(*entry).mean.blend(prediction)
	}
	return max(1, min(structs.Tokens(prediction), limit))
}

// UpperBound predicts a length that few answers exceed, at least Output and at
// most the client's limit.
func (l *LengthPredictor) UpperBound(k Kind, limit structs.Tokens) structs.Tokens {
	output := l.Output(k, limit)
	el, ok := l.kinds[k]
	if !ok || el.Value.(*entry).mean.count < priorWeight {
		return max(output, structs.Tokens(defaultUpperShare*float64(limit)))
	}
	deviation := math.Sqrt(el.Value.(*entry).mean.variance)
	return min(output+structs.Tokens(upperDeviations*deviation), max(limit, output))
}

// Kinds returns the number of kinds held.
func (l *LengthPredictor) Kinds() int { return len(l.kinds) }

func (l *LengthPredictor) observeClass(class string, output float64) {
	m, ok := l.classes[class]
	if !ok {
		if len(l.classes) >= l.maxKinds {
			return
		}
		m = &mean{}
		l.classes[class] = m
	}
	m.add(output)
}

func (l *LengthPredictor) evict() {
	for len(l.kinds) > l.maxKinds {
		oldest := l.lru.Back()
		l.lru.Remove(oldest)
		delete(l.kinds, oldest.Value.(*entry).kind)
	}
}

func (m *mean) add(x float64) {
	m.count++
	weight := max(1/m.count, smoothing)
	deviation := x - m.value
	m.value += weight * deviation
	m.variance += weight * (deviation*deviation - m.variance)
}

// blend returns the average of m's value and a prior that counts as priorWeight
// observations.
func (m *mean) blend(prior float64) float64 {
	return (m.count*m.value + priorWeight*prior) / (m.count + priorWeight)
}
