package estimate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

func TestLearnsPerOrganisationAndClass(t *testing.T) {
	l := New(100)
	for range 50 {
		l.Observe(Kind{"a", "label"}, 10)
		l.Observe(Kind{"a", "layout"}, 800)
		l.Observe(Kind{"b", "label"}, 30)
	}
	near := func(k Kind, want float64) {
		got := float64(l.Output(k, 1000))
		assert.Assert(t, math.Abs(got-want) <= want*0.5, "%v: %v, want about %v", k, got, want)
	}
	near(Kind{"a", "label"}, 10)
	near(Kind{"a", "layout"}, 800)
	near(Kind{"b", "label"}, 30)
	near(Kind{"new", "layout"}, 800)
}

func TestStaysWithinLimits(t *testing.T) {
	l := New(10)
	for i := range 1000 {
		l.Observe(Kind{structs.OrganisationName(fmt.Sprint(i)), "layout"}, 5000)
	}
	assert.Equal(t, l.Kinds(), 10)
	assert.Equal(t, l.Output(Kind{"999", "layout"}, 64), structs.Tokens(64))
	assert.Equal(t, l.Output(Kind{"999", "layout"}, 0), structs.Tokens(1))
}

func TestFewAnswersExceedUpper(t *testing.T) {
	l := New(10)
	k := Kind{"a", "layout"}
	r := rand.New(rand.NewPCG(1, 1))
	above := 0
	for i := range 2000 {
		length := structs.Tokens(200 + r.IntN(500))
		if i >= 100 && length > l.UpperBound(k, 1000) {
			above++
		}
		l.Observe(k, length)
	}
	assert.Assert(t, above < 1900/5, "%d of 1900 above", above)
	assert.Assert(t, l.UpperBound(k, 1000) < 1000)
	assert.Equal(t, l.UpperBound(k, 300), structs.Tokens(300))
}
