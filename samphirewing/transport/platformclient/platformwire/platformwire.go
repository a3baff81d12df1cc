// Package platformwire holds the messages of the platform's HTTP interfaces:
// the log service, the membership list and the weight store.
package platformwire

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// The paths of the interfaces. PathStreams is followed by a stream's name.
const (
	PathStreams  = "/v1/streams/"
	PathMembers  = "/v1/members"
	PathAnnounce = "/v1/announce"
	PathRetire   = "/v1/retire"
	PathWeights  = "/v1/weights"
)

// AppendResponse is the answer to an append.
type AppendResponse struct {
	Offset eventlog.Offset `json:"offset"`
}

// Record is one record of a Batch.
type Record struct {
	Offset eventlog.Offset `json:"offset"`
	Time   time.Time       `json:"time"`
	Data   []byte          `json:"data"`
}

// Batch is the answer to a read, also when the records have expired.
type Batch struct {
	Records []Record        `json:"records"`
	Oldest  eventlog.Offset `json:"oldest"`
	Next    eventlog.Offset `json:"next"`
}

// Member is one line of the membership list.
type Member struct {
	Kind          edge.MemberKind        `json:"kind"`
	Name          string                 `json:"name"`
	Address       string                 `json:"address"`
	FailureDomain instance.FailureDomain `json:"failure_domain"`
	Leaving       bool                   `json:"leaving,omitempty"`
}

// Members is the answer of PathMembers.
type Members struct {
	Members []Member `json:"members"`
}

// Weights is the answer of PathWeights.
type Weights struct {
	BytesPerSecond int64       `json:"bytes_per_second"`
	Models         []ModelSize `json:"models"`
}

// ModelSize is the size of one model's weights.
type ModelSize struct {
	Model string `json:"model"`
	Bytes int64  `json:"bytes"`
}

// Error is the body of an answer that isn't 200.
type Error struct {
	Error string `json:"error"`
}
