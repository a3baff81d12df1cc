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

// ErrListUnavailable means that the membership list gave no valid response.
const ErrListUnavailable = errors.ConstError("membership list unavailable; the last known members stay in use")

// ErrWeightsUnavailable means that the weight store gave no valid response.
const ErrWeightsUnavailable = errors.ConstError("weight store unavailable; loads wait until it answers")

// MembershipList is the client of the membership list.
type MembershipList struct{ calls *jsoncall.Client }

var _ edge.MembershipList = (*MembershipList)(nil)

// NewMembershipList returns a client of the membership list at a base URL.
func NewMembershipList(baseURL string, options Options) *MembershipList {
	return &MembershipList{calls: jsoncall.New(baseURL, options.timeout())}
}

// Members returns the entries of the list.
func (l *MembershipList) Members(ctx context.Context) ([]edge.Member, error) {
	var response platformwire.Members
	if err := getJSON(ctx, l.calls, platformwire.PathMembers, &response); err != nil {
		return nil, fault.New(ErrListUnavailable, err)
	}
	members := make([]edge.Member, len(response.Members))
	for i, m := range response.Members {
		members[i] = edge.Member(m)
	}
	return members, nil
}

// Announce adds or renews an entry.
func (l *MembershipList) Announce(ctx context.Context, member edge.Member) error {
	return l.post(ctx, platformwire.PathAnnounce, member)
}

// Retire marks an entry as leaving.
func (l *MembershipList) Retire(ctx context.Context, member edge.Member) error {
	return l.post(ctx, platformwire.PathRetire, member)
}

func (l *MembershipList) post(ctx context.Context, path string, member edge.Member) error {
	response, err := l.calls.Call(ctx, http.MethodPost, path, platformwire.Member(member))
	if err == nil && response.Status != http.StatusOK {
		err = errors.Errorf("status %d", response.Status)
	}
	if err != nil {
		return fault.New(ErrListUnavailable, err)
	}
	return nil
}

// WeightStore is the client of the weight store.
type WeightStore struct{ calls *jsoncall.Client }

var _ edge.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client of the weight store at a base URL.
func NewWeightStore(baseURL string, options Options) *WeightStore {
	return &WeightStore{calls: jsoncall.New(baseURL, options.timeout())}
}

// Rate returns the store's bandwidth and the sizes of its models.
func (w *WeightStore) Rate(ctx context.Context) (edge.WeightRate, error) {
	var response platformwire.Weights
	if err := getJSON(ctx, w.calls, platformwire.PathWeights, &response); err != nil {
		return edge.WeightRate{}, fault.New(ErrWeightsUnavailable, err)
	}
	rate := edge.WeightRate{BytesPerSecond: response.BytesPerSecond}
	for _, m := range response.Models {
		rate.ModelBytes = append(rate.ModelBytes, edge.ModelSize(m))
	}
	return rate, nil
}

// getJSON gets a path and decodes the response into result.
func getJSON(ctx context.Context, calls *jsoncall.Client, path string, result any) error {
	response, err := calls.Call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		return errors.Errorf("status %d", response.Status)
	}
	return response.Decode(result)
}
