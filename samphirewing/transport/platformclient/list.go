package platformclient

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/jsoncall"
	"github.com/samphirewing/samphirewing/transport/platformclient/platformwire"
)

// ErrListUnavailable means that the membership list gave no answer.
const ErrListUnavailable = errors.ConstError("membership list unavailable; the last known members stay in use")

// ErrWeightsUnavailable means that the weight store gave no answer.
const ErrWeightsUnavailable = errors.ConstError("weight store unavailable; loads wait until it answers")

// List is the client of the membership list.
type List struct{ calls *jsoncall.Client }

var _ edge.MembershipList = (*List)(nil)

// NewMembershipList returns the client of the membership list at a base URL.
func NewMembershipList(baseURL string, options Options) *List {
	return &List{calls: jsoncall.New(baseURL, options.timeout())}
}

// Members returns the lines of the list.
func (l *List) Members(ctx context.Context) ([]edge.Member, error) {
	var answer platformwire.Members
	if err := decodeCall(ctx, l.calls, platformwire.PathMembers, &answer); err != nil {
		return nil, fault.New(ErrListUnavailable, err)
	}
	members := make([]edge.Member, len(answer.Members))
	for i, m := range answer.Members {
		members[i] = edge.Member(m)
	}
	return members, nil
}

// Announce adds or renews a line.
func (l *List) Announce(ctx context.Context, line edge.Member) error {
	return l.change(ctx, platformwire.PathAnnounce, line)
}

// Retire marks a line leaving.
func (l *List) Retire(ctx context.Context, line edge.Member) error {
	return l.change(ctx, platformwire.PathRetire, line)
}

func (l *List) change(ctx context.Context, path string, line edge.Member) error {
	answer, err := l.calls.Call(ctx, http.MethodPost, path, platformwire.Member(line))
	if err == nil && answer.Status != http.StatusOK {
		err = errors.Errorf("status %d", answer.Status)
	}
	if err != nil {
		return fault.New(ErrListUnavailable, err)
	}
	return nil
}

// Weights is the client of the weight store.
type Weights struct{ calls *jsoncall.Client }

var _ edge.WeightStore = (*Weights)(nil)

// NewWeightStore returns the client of the weight store at a base URL.
func NewWeightStore(baseURL string, options Options) *Weights {
	return &Weights{calls: jsoncall.New(baseURL, options.timeout())}
}

// Rate returns the store's rate and the sizes of its models.
func (w *Weights) Rate(ctx context.Context) (edge.WeightRate, error) {
	var answer platformwire.Weights
	if err := decodeCall(ctx, w.calls, platformwire.PathWeights, &answer); err != nil {
		return edge.WeightRate{}, fault.New(ErrWeightsUnavailable, err)
	}
	rate := edge.WeightRate{BytesPerSecond: answer.BytesPerSecond}
	for _, m := range answer.Models {
		rate.ModelBytes = append(rate.ModelBytes, edge.ModelSize(m))
	}
	return rate, nil
}

// decodeCall gets a path and decodes the answer.
func decodeCall(ctx context.Context, calls *jsoncall.Client, path string, into any) error {
	answer, err := calls.Call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if answer.Status != http.StatusOK {
		return errors.Errorf("status %d", answer.Status)
	}
	return answer.Decode(into)
}
