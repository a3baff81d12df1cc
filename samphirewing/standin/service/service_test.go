package service_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/samphirewing/standin/service"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/serviceclient"
)

const testTimeout = 20 * time.Second

var booking = edge.ServiceCall{Service: "parts-booking", Key: "k1", Body: []byte(`{"rib":2}`)}

func start(t *testing.T, faults service.Faults) *service.Server {
	t.Helper()
	s, err := service.Start(service.Options{Services: []string{booking.Service}})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	assert.NilError(t, s.SetFaults(faults))
	return s
}

func call(s *service.Server, c edge.ServiceCall) (edge.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	options := serviceclient.Options{ResponseTimeout: 200 * time.Millisecond}
	return serviceclient.New("s1", s.URL(), options).Call(ctx, c)
}

func TestCallRunsOnceAndIsAnswered(t *testing.T) {
	s := start(t, service.Faults{})
	answer, err := call(s, booking)
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusOK)
	assert.DeepEqual(t, answer.Body, service.Answer(booking.Service, booking.Key, booking.Body))
	assert.DeepEqual(t, s.Runs(), []service.RunCount{{Service: "parts-booking", Key: "k1", Runs: 1}})
}

func TestFaultsAreToldApart(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults service.Faults
		want   error
		runs   int
	}{
		{"answer lost after the effect", service.Faults{LoseAnswers: 1}, edge.ErrIndeterminate, 1},
		{"refused before the effect", service.Faults{Reject: true}, edge.ErrRejected, 0},
		{"failed", service.Faults{Fail: true}, edge.ErrFailed, 1},
		{"hangs after the effect", service.Faults{Hang: true}, edge.ErrIndeterminate, 1},
		{"too slow", service.Faults{SlowMillis: 10_000}, edge.ErrIndeterminate, 1},
		{"connection refused", service.Faults{RefuseConnects: true}, edge.ErrNotSent, 0},
		{"connection swallowed", service.Faults{SwallowNew: true}, edge.ErrIndeterminate, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := start(t, c.faults)
			_, err := call(s, booking)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if total(s) == c.runs {
					return poll.Success()
				}
				return poll.Continue("%d runs", total(s))
			}, poll.WithTimeout(testTimeout))
		})
	}
}

func total(s *service.Server) int {
	sum := 0
	for _, r := range s.Runs() {
		sum += r.Runs
	}
	return sum
}

func TestUnknownServiceIsRejected(t *testing.T) {
	s := start(t, service.Faults{})
	_, err := call(s, edge.ServiceCall{Service: "mail", Key: "k"})
	assert.Assert(t, errors.Is(err, edge.ErrRejected), "%v", err)
	assert.Equal(t, total(s), 0)
}
