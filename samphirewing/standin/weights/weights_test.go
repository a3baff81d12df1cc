package weights_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/standin/weights"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/platformclient"
)

func TestRateIsToldUnlessTheStoreIsDown(t *testing.T) {
	want := edge.WeightRate{BytesPerSecond: 1 << 30, ModelBytes: []edge.ModelSize{{Model: "mender-large", Bytes: 70 << 30}}}
	s, err := weights.Start(weights.Options{Rate: want})
	assert.NilError(t, err)
	defer s.Close()
	client := platformclient.NewWeightStore(s.URL(), platformclient.Options{Timeout: 10 * time.Second})
	rate, err := client.Rate(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, rate, want)
	assert.NilError(t, s.SetFaults(weights.Faults{Down: true}))
	_, err = client.Rate(context.Background())
	assert.Assert(t, errors.Is(err, platformclient.ErrWeightsUnavailable), "%v", err)
}
