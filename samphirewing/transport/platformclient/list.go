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

// MembershipList is the client of the membership list.
type MembershipList struct{ calls *jsoncall.Client }

var _ edge.MembershipList = (*MembershipList)(nil)

// NewList returns the client of the membership list at a base URL.
func NewList(baseURL string, options Options) *MembershipList {
	return &MembershipList{calls: jsoncall.New(baseURL, options.timeout())}
}

// Members returns the lines of the list.
func (l *MembershipList) Members(ctx context.Context) ([]edge.Listed, error) {
	var answer platformwire.Members
	if err := decodeCall(ctx, l.calls, platformwire.PathMembers, &answer); err != nil {
		return nil, fault.New(ErrListUnavailable, err)
	}
	members := make([]edge.Listed, len(answer.Members))
	for i, m := range answer.Members {
		members[i] = edge.Listed(m)
	}
	return members, nil
}

// Announce adds or renews a line.
func (l *MembershipList) Announce(ctx context.Context, line edge.Listed) error {
	return l.change(ctx, platformwire.PathAnnounce, line)
}

// Retire marks a line leaving.
func (l *MembershipList) Retire(ctx context.Context, line edge.Listed) error {
	return l.change(ctx, platformwire.PathRetire, line)
}

func (l *MembershipList) change(ctx context.Context, path string, line edge.Listed) error {
	answer, err := l.calls.Call(ctx, http.MethodPost, path, platformwire.Member(line))
	if err == nil && answer.Status != http.StatusOK {
		err = errors.Errorf("status %d", answer.Status)
	}
	if err != nil {
		return fault.New(ErrListUnavailable, err)
	}
	return nil
}

// WeightStore is the client of the weight store.
type WeightStore struct{ calls *jsoncall.Client }

var _ edge.WeightStore = (*WeightStore)(nil)

// NewWeights returns the client of the weight store at a base URL.
func NewWeights(baseURL string, options Options) *WeightStore {
	return &WeightStore{calls: jsoncall.New(baseURL, options.timeout())}
}

// Rate returns the store's rate and the sizes of its models.
func (w *WeightStore) Rate(ctx context.Context) (edge.WeightRate, error) {
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
