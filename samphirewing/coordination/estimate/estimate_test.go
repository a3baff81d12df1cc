package estimate

import (
	"fmt"
	"math"
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
