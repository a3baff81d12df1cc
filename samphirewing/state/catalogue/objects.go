// Package catalogue holds what operators declare: tiers, organisations, pools,
// endpoints, services, which pool serves which model, and settings.
//
// The objects live in the configuration store under keys such as "tier/gold".
// Decode turns a consistent view of them into an immutable index; Rules judge
// change sets so that references between objects always hold.
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
	// KindServing keys name a model; the value names the pool that serves it.
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
	// Key is where the object stands in the configuration store.
	Key() configstore.Key
	// Encode returns the stored value; equal objects have equal values.
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

// Tier is a class of urgency. Rank 0 is the most urgent.
type Tier struct {
	Name structs.TierName
	Rank structs.Rank
	// DefaultDeadline holds for requests that name no deadline; zero leaves
	// it to the entry's setting.
	DefaultDeadline time.Duration
}

// Organisation is a customer that sends requests.
type Organisation struct {
	Name structs.OrganisationName
	// Weight is the share inside a tier; 1 is usual.
	Weight float64
	// Tiers are those that the organisation may use. In a Catalogue the most
	// urgent one stands first; in the store they stand as they were written.
	Tiers     []structs.TierName
	TokenHash TokenHash
}

// Allows reports whether the organisation may use a tier.
func (o Organisation) Allows(t structs.TierName) bool {
	return slices.Contains(o.Tiers, t)
}

// Pool is a set of endpoints with one waiting queue per shard.
type Pool struct {
	Name structs.PoolName
	// QueueLimit is the most requests that may wait in one shard.
	QueueLimit int
	Shards     int
	// PreemptLower allows cancelling running lower-tier work. It is stored and
	// not acted on yet.
	PreemptLower bool
}

// Endpoint is one runner: a model engine or a plain service.
type Endpoint struct {
	Name          structs.EndpointName
	Pool          structs.PoolName
	Address       string
	FailureDomain instance.FailureDomain
	SpeedClass    string
	// ChecksFencing is set when the endpoint refuses orders with an old
	// fencing number.
	ChecksFencing bool
	// Drained endpoints get no new work.
	Drained bool
	// Targets are the models or services that it serves; empty stands for all
	// that its pool serves.
	Targets []structs.Target
}

// Service is a plain service whose calls a pool carries.
type Service struct {
	Name structs.Target
	Pool structs.PoolName
	// Repeatable services may be called again when an answer is lost.
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

// TokenHash is the SHA-256 of a bearer token. The token itself is never kept.
type TokenHash [sha256.Size]byte

// HashToken returns the hash of a bearer token.
func HashToken(token string) TokenHash { return sha256.Sum256([]byte(token)) }

// Equal compares in constant time.
func (h TokenHash) Equal(o TokenHash) bool {
	return subtle.ConstantTimeCompare(h[:], o[:]) == 1
}

// IsZero reports whether no token is set.
func (h TokenHash) IsZero() bool { return h == TokenHash{} }

// String returns the lower-case hexadecimal form.
func (h TokenHash) String() string { return hex.EncodeToString(h[:]) }

// ParseTokenHash reads the hexadecimal form.
func ParseTokenHash(s string) (TokenHash, error) {
	var h TokenHash
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(h) {
		return h, errors.Errorf("token hash must be %d hexadecimal digits; use the SHA-256 of the token", 2*len(h))
	}
	copy(h[:], raw)
	return h, nil
}
