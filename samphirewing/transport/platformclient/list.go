package platformclient

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/platformclient/platformwire"
)

// ErrListUnavailable means that the membership list gave no answer.
const ErrListUnavailable = errors.ConstError("membership list unavailable; the last known members stay in use")

// ErrWeightsUnavailable means that the weight store gave no answer.
const ErrWeightsUnavailable = errors.ConstError("weight store unavailable; loads wait until it answers")

// List is the client of the membership list.
type List struct{ caller caller }

var _ edge.MembershipList = (*List)(nil)

// NewList returns the client of the membership list at a base URL.
func NewList(baseURL string, options Options) *List {
	return &List{caller: newCaller(baseURL, options)}
}

// Members returns the lines of the list.
func (l *List) Members(ctx context.Context) ([]edge.Listed, error) {
	var answer platformwire.Members
	status, err := l.caller.call(ctx, http.MethodGet, platformwire.PathMembers, nil, &answer)
	if err := listFault(status, err); err != nil {
		return nil, err
	}
	members := make([]edge.Listed, len(answer.Members))
	for i, m := range answer.Members {
		members[i] = edge.Listed(m)
	}
	return members, nil
}

// Announce adds or renews a line.
func (l *List) Announce(ctx context.Context, line edge.Listed) error {
	status, err := l.caller.call(ctx, http.MethodPost, platformwire.PathAnnounce, platformwire.Member(line), nil)
	return listFault(status, err)
}

// Retire marks a line leaving.
func (l *List) Retire(ctx context.Context, line edge.Listed) error {
	status, err := l.caller.call(ctx, http.MethodPost, platformwire.PathRetire, platformwire.Member(line), nil)
	return listFault(status, err)
}

func listFault(status int, err error) error {
	if err != nil {
		return fault.New(ErrListUnavailable, err)
	}
	if status != http.StatusOK {
		return fault.Newf(ErrListUnavailable, "status %d", status)
	}
	return nil
}

// Weights is the client of the weight store.
type Weights struct{ caller caller }

var _ edge.WeightStore = (*Weights)(nil)

// NewWeights returns the client of the weight store at a base URL.
func NewWeights(baseURL string, options Options) *Weights {
	return &Weights{caller: newCaller(baseURL, options)}
}

// Rate returns the store's rate and the sizes of its models.
func (w *Weights) Rate(ctx context.Context) (edge.WeightRate, error) {
	var answer platformwire.Weights
	status, err := w.caller.call(ctx, http.MethodGet, platformwire.PathWeights, nil, &answer)
	if err != nil {
		return edge.WeightRate{}, fault.New(ErrWeightsUnavailable, err)
	}
	if status != http.StatusOK {
		return edge.WeightRate{}, fault.Newf(ErrWeightsUnavailable, "status %d", status)
	}
	rate := edge.WeightRate{BytesPerSecond: answer.BytesPerSecond}
	for _, m := range answer.Models {
		rate.ModelBytes = append(rate.ModelBytes, edge.ModelSize(m))
	}
	return rate, nil
}
