package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

func TestPredictsPerOrganisationAndClass(t *testing.T) {
	l := New(100)
	for range 50 {
		l.Observe(Kind{"a", "label"}, 10)
		l.Observe(Kind{"a", "layout"}, 800)
		l.Observe(Kind{"b", "label"}, 30)
	}
	checkNear := func(k Kind, want float64) {
		got := float64(l.Output(k, 1000))
		assert.Assert(t, math.Abs(got-want) <= want*0.5, "%v: %v, want about %v", k, got, want)
	}
	checkNear(Kind{"a", "label"}, 10)
	checkNear(Kind{"a", "layout"}, 800)
	checkNear(Kind{"b", "label"}, 30)
	checkNear(Kind{"new", "layout"}, 800)
}

func TestKindsAndPredictionsAreBounded(t *testing.T) {
	l := New(10)
	for i := range 1000 {
		l.Observe(Kind{structs.OrganisationName(fmt.Sprint(i)), "layout"}, 5000)
	}
	assert.Equal(t, l.Kinds(), 10)
	assert.Equal(t, l.Output(Kind{"999", "layout"}, 64), structs.Tokens(64))
	assert.Equal(t, l.Output(Kind{"999", "layout"}, 0), structs.Tokens(1))
}

func TestFewAnswersExceedUpperBound(t *testing.T) {
	l := New(10)
	k := Kind{"a", "layout"}
	r := rand.New(rand.NewPCG(1, 1))
	exceeded := 0
	for i := range 2000 {
		length := structs.Tokens(200 + r.IntN(500))
		if i >= 100 && length > l.UpperBound(k, 1000) {
			exceeded++
		}
		l.Observe(k, length)
	}
	assert.Assert(t, exceeded < 1900/5, "%d of 1900 above", exceeded)
	assert.Assert(t, l.UpperBound(k, 1000) < 1000)
	assert.Equal(t, l.UpperBound(k, 300), structs.Tokens(300))
}
