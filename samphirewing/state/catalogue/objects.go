// Package catalogue defines the objects that operators declare: tiers,
// organisations, pools, endpoints, services, the pools that serve models, and
// settings.
//
// The objects are stored in the configuration store under keys such as
// "tier/gold". Decode builds an immutable index of a consistent view of them.
// Rules validate change sets, so that references between objects are always
// valid.
package catalogue

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Kind is the first part of an object's key.
type Kind string

// The kinds of object.
const (
	KindTier         Kind = "tier"
	KindOrganisation Kind = "organisation"
	KindPool         Kind = "pool"
	KindEndpoint     Kind = "endpoint"
	KindService      Kind = "service"
	// The key of a KindServing object names a model, the value the pool that
	// serves it.
	KindServing Kind = "serving"
	KindSetting Kind = "setting"
)

// Key returns the key of the object of this kind with the given name.
func (k Kind) Key(name string) configstore.Key {
	return configstore.Key(string(k) + "/" + name)
}

// Prefix returns the prefix that all keys of this kind share.
func (k Kind) Prefix() configstore.Key { return configstore.Key(string(k) + "/") }

// Object is one entry of the catalogue.
type Object interface {
	// Key returns the object's key in the configuration store.
	Key() configstore.Key
	// Encode returns the stored value. Equal objects have equal values.
	Encode() []byte
}

// Put returns the write that creates or replaces an object.
func Put(o Object) configstore.Write {
	return configstore.Write{Key: o.Key(), Value: o.Encode()}
}

// Remove returns the write that deletes the object under a key.
func Remove(k configstore.Key) configstore.Write {
	return configstore.Write{Key: k, Delete: true}
}

// Tier is an urgency class. Rank 0 is the most urgent.
type Tier struct {
	Name structs.TierName
	Rank structs.Rank
	// DefaultDeadline applies to requests without a deadline; zero selects the
	// entry's setting.
	DefaultDeadline time.Duration
}

// Organisation is a customer that sends requests.
type Organisation struct {
	Name structs.OrganisationName
	// Weight is the organisation's relative share within a tier; 1 is usual.
	Weight float64
	// Tiers lists the tiers that the organisation may use. A Catalogue sorts
	// them, most urgent first; the store keeps the order in which they were
	// written.
	Tiers     []structs.TierName
	TokenHash TokenHash
}

// Allows reports whether the organisation may use a tier.
func (o Organisation) Allows(t structs.TierName) bool {
	return slices.Contains(o.Tiers, t)
}

// Pool is a set of endpoints with one request queue per shard.
type Pool struct {
	Name structs.PoolName
	// QueueLimit is the maximum number of requests queued in one shard.
	QueueLimit int
	Shards     int
	// PreemptLower allows running work of lower tiers to be cancelled. It is
	// stored but has no effect yet.
	PreemptLower bool
}

// Endpoint is one back end: a model engine or an instance of a plain service.
type Endpoint struct {
	Name          structs.EndpointName
	Pool          structs.PoolName
	Address       string
	FailureDomain instance.FailureDomain
	SpeedClass    string
	// ChecksFencing is set when the endpoint rejects orders with an outdated
	// fencing number.
	ChecksFencing bool
	// Drained is set when the endpoint gets no new work.
	Drained bool
	// Targets lists the models or services that the endpoint serves; empty means
	// all that its pool serves.
	Targets []structs.Target
}

// Service is a plain service whose calls are handled by the endpoints of a pool.
type Service struct {
	Name structs.Target
	Pool structs.PoolName
	// Repeatable is set when a call may be sent again after its answer was lost.
	Repeatable bool
}

// Serving declares that a pool serves a model.
type Serving struct {
	Model structs.Target
	Pool  structs.PoolName
}

// Setting is a named value that all daemons share.
type Setting struct {
	Name  string
	Value string
}

// TokenHash is the SHA-256 of a bearer token. The token itself is never stored.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a bearer token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Equal reports whether two hashes are equal. It takes constant time.
func (h TokenHash) Equal(o TokenHash) bool {
	return subtle.ConstantTimeCompare(h[:], o[:]) == 1
}

// IsZero reports whether no token is set.
func (h TokenHash) IsZero() bool { return h == TokenHash{} }

// String returns the lower-case hexadecimal form.
func (h TokenHash) String() string { return hex.EncodeToString(h[:]) }

// ParseTokenHash parses the hexadecimal form.
func ParseTokenHash(s string) (TokenHash, error) {
	var h TokenHash
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(h) {
		return h, errors.Errorf("token hash must be %d hexadecimal digits; use the SHA-256 of the token", 2*len(h))
	}
	copy(h[:], raw)
	return h, nil
}
