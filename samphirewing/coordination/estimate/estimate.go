// Package estimate predicts how many tokens an answer will have, learned from
// past answers per organisation and work class.
package estimate

import (
	"container/list"
	"math"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// smoothing is the weight of the newest answer once a mean is settled.
	smoothing = 0.05
	// priorAnswers is how many answers the wider mean counts for.
	priorAnswers = 4
	// unknownShare is the share of the caller's limit that is assumed while
	// nothing was learned.
	unknownShare = 0.5
	// unknownUpper is the share of the limit that Upper assumes then.
	unknownUpper = 0.75
	// upperSpread is how many mean distances lie between the mean and Upper.
	upperSpread = 1.1
)

// DefaultMaxKinds bounds the kinds of work that are told apart.
const DefaultMaxKinds = 8192

// Kind is what answers are told apart by.
type Kind struct {
	Organisation structs.OrganisationName
	WorkClass    string
}

// LengthPredictor predicts answer lengths in tokens. It is not safe for concurrent use.
// Invariant: at most limit kinds are held, the least lately observed leave.
type LengthPredictor struct {
	limit   int
	kinds   map[Kind]*list.Element
	recent  *list.List
	classes map[string]*mean
}

type entry struct {
	kind Kind
	mean mean
}

// mean is a running mean with the mean square of its distance.
type mean struct {
	count  float64
	value  float64
	square float64
}

// New returns Lengths that know nothing and hold at most limit kinds.
func New(limit int) *LengthPredictor {
	return &LengthPredictor{
		limit:   max(limit, 1),
		kinds:   map[Kind]*list.Element{},
		recent:  list.New(),
		classes: map[string]*mean{},
	}
}

// Observe learns from one whole answer.
func (l *LengthPredictor) Observe(k Kind, output structs.Tokens) {
	if output <= 0 {
		return
	}
	l.observeClass(k.WorkClass, float64(output))
	el, ok := l.kinds[k]
	if !ok {
		el = l.recent.PushFront(&entry{kind: k})
		l.kinds[k] = el
		l.evict()
	}
	l.recent.MoveToFront(el)
	el.Value.(*entry).mean.add(float64(output))
}

// Output predicts an answer's length, from 1 to the caller's limit.
func (l *LengthPredictor) Output(k Kind, limit structs.Tokens) structs.Tokens {
	guess := unknownShare * float64(limit)
	if m, ok := l.classes[k.WorkClass]; ok {
		guess = m.blend(guess)
	}
	if el, ok := l.kinds[k]; ok {
		guess = el.Value.(*entry).mean.blend(guess)
	}
	return max(1, min(structs.Tokens(guess), limit))
}

// UpperBound predicts a length that few answers exceed, at least Output and at
// most the caller's limit.
func (l *LengthPredictor) UpperBound(k Kind, limit structs.Tokens) structs.Tokens {
	output := l.Output(k, limit)
	el, ok := l.kinds[k]
	if !ok || el.Value.(*entry).mean.count < priorAnswers {
		return max(output, structs.Tokens(unknownUpper*float64(limit)))
	}
	spread := math.Sqrt(el.Value.(*entry).mean.square)
	return min(output+structs.Tokens(upperSpread*spread), max(limit, output))
}

// Kinds returns how many kinds are held.
func (l *LengthPredictor) Kinds() int { return len(l.kinds) }

func (l *LengthPredictor) observeClass(class string, output float64) {
	m, ok := l.classes[class]
	if !ok {
		if len(l.classes) >= l.limit {
			return
		}
		m = &mean{}
		l.classes[class] = m
	}
	m.add(output)
}

func (l *LengthPredictor) evict() {
	for len(l.kinds) > l.limit {
		oldest := l.recent.Back()
		l.recent.Remove(oldest)
		delete(l.kinds, oldest.Value.(*entry).kind)
	}
}

func (m *mean) add(x float64) {
	m.count++
	share := max(1/m.count, smoothing)
	distance := x - m.value
	m.value += share * distance
	m.square += share * (distance*distance - m.square)
}

// blend draws the mean towards a wider guess while it rests on few answers.
func (m *mean) blend(prior float64) float64 {
	return (m.count*m.value + priorAnswers*prior) / (m.count + priorAnswers)
}
