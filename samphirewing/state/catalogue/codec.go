package catalogue

import (
	"strings"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/samphirewing/protocol/catalogpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// ErrUnknownKind means that this release does not know the kind of a key.
const ErrUnknownKind = errors.ConstError("unknown kind of object; upgrade this daemon")

// Key returns "tier/name".
func (t Tier) Key() configstore.Key { return KindTier.Key(string(t.Name)) }

// Key returns "organisation/name".
func (o Organisation) Key() configstore.Key { return KindOrganisation.Key(string(o.Name)) }

// Key returns "pool/name".
func (p Pool) Key() configstore.Key { return KindPool.Key(string(p.Name)) }

// Key returns "endpoint/name".
func (e Endpoint) Key() configstore.Key { return KindEndpoint.Key(string(e.Name)) }

// Key returns "service/name".
func (s Service) Key() configstore.Key { return KindService.Key(string(s.Name)) }

// Key returns "serving/model".
func (s Serving) Key() configstore.Key { return KindServing.Key(string(s.Model)) }

// Key returns "setting/name".
func (s Setting) Key() configstore.Key { return KindSetting.Key(s.Name) }

// Encode returns the stored value.
func (t Tier) Encode() []byte {
	return marshal(&catalogpb.Tier{
		Rank:              int32(t.Rank),
		DefaultDeadlineMs: t.DefaultDeadline.Milliseconds(),
	})
}

// Encode returns the stored value.
func (o Organisation) Encode() []byte {
	m := &catalogpb.Organisation{Weight: o.Weight, Tiers: toStrings(o.Tiers)}
	if !o.TokenHash.IsZero() {
		m.TokenHash = o.TokenHash[:]
	}
	return marshal(m)
}

// Encode returns the stored value.
func (p Pool) Encode() []byte {
	return marshal(&catalogpb.Pool{
		QueueLimit:   int64(p.QueueLimit),
		Shards:       int64(p.Shards),
		PreemptLower: p.PreemptLower,
	})
}

// Encode returns the stored value.
func (e Endpoint) Encode() []byte {
	return marshal(&catalogpb.Endpoint{
		Pool:          string(e.Pool),
		Address:       e.Address,
		FailureDomain: string(e.FailureDomain),
		SpeedClass:    e.SpeedClass,
		ChecksFencing: e.ChecksFencing,
		Drained:       e.Drained,
		Targets:       toStrings(e.Targets),
	})
}

// Encode returns the stored value.
func (s Service) Encode() []byte {
	return marshal(&catalogpb.Service{Pool: string(s.Pool), Repeatable: s.Repeatable})
}

// Encode returns the stored value.
func (s Serving) Encode() []byte { return marshal(&catalogpb.Serving{Pool: string(s.Pool)}) }

// Encode returns the stored value.
func (s Setting) Encode() []byte { return marshal(&catalogpb.Setting{Value: s.Value}) }

func marshal(m proto.Message) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Only invalid UTF-8 in a string field can fail; names and values are
		// checked before they reach an object.
		panic(errors.Annotate(err, "encode catalogue object"))
	}
	return data
}

// SplitKey returns the kind and the name of a key. The name is empty if the key
// has no slash.
func SplitKey(k configstore.Key) (Kind, string) {
	kind, name, _ := strings.Cut(string(k), "/")
	return Kind(kind), name
}

// DecodeObject decodes a stored object. It returns ErrUnknownKind for kinds of a
// newer release.
func DecodeObject(k configstore.Key, value []byte) (Object, error) {
	kind, name := SplitKey(k)
	o, err := decodeKind(kind, name, value)
	if err != nil {
		return nil, errors.Annotatef(err, "object %s", k)
	}
	return o, nil
}

// HasUnknownFields reports whether a stored object has fields of a newer release,
// which would be lost if this release wrote the object, or cannot be decoded.
func HasUnknownFields(k configstore.Key, value []byte) bool {
	kind, _ := SplitKey(k)
	m := newMessage(kind)
	if m == nil || proto.Unmarshal(value, m) != nil {
		return true
	}
	return len(m.ProtoReflect().GetUnknown()) > 0
}

func newMessage(kind Kind) proto.Message {
	switch kind {
	case KindTier:
		return &catalogpb.Tier{}
	case KindOrganisation:
		return &catalogpb.Organisation{}
	case KindPool:
		return &catalogpb.Pool{}
	case KindEndpoint:
		return &catalogpb.Endpoint{}
	case KindService:
		return &catalogpb.Service{}
	case KindServing:
		return &catalogpb.Serving{}
	case KindSetting:
		return &catalogpb.Setting{}
	default:
		return nil
	}
}

func decodeKind(kind Kind, name string, value []byte) (Object, error) {
	switch kind {
	case KindTier:
		return decodeTier(name, value)
	case KindOrganisation:
		return decodeOrganisation(name, value)
	case KindPool:
		return decodePool(name, value)
	case KindEndpoint:
		return decodeEndpoint(name, value)
	case KindService:
		var m catalogpb.Service
		err := proto.Unmarshal(value, &m)
		return Service{Name: structs.Target(name), Pool: structs.PoolName(m.Pool), Repeatable: m.Repeatable}, err
	case KindServing:
		var m catalogpb.Serving
		err := proto.Unmarshal(value, &m)
		return Serving{Model: structs.Target(name), Pool: structs.PoolName(m.Pool)}, err
	case KindSetting:
		var m catalogpb.Setting
		err := proto.Unmarshal(value, &m)
		return Setting{Name: name, Value: m.Value}, err
	default:
		return nil, ErrUnknownKind
	}
}

func decodeTier(name string, value []byte) (Object, error) {
	var m catalogpb.Tier
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, errors.Trace(err)
	}
	return Tier{
		Name:            structs.TierName(name),
		Rank:            structs.Rank(m.Rank),
		DefaultDeadline: time.Duration(m.DefaultDeadlineMs) * time.Millisecond,
	}, nil
}

func decodeOrganisation(name string, value []byte) (Object, error) {
	var m catalogpb.Organisation
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, errors.Trace(err)
	}
	o := Organisation{
		Name:   structs.OrganisationName(name),
		Weight: m.Weight,
		Tiers:  fromStrings[structs.TierName](m.Tiers),
	}
	if len(m.TokenHash) != 0 && len(m.TokenHash) != len(o.TokenHash) {
		return nil, errors.Errorf("token hash has %d bytes, want %d; set the token again", len(m.TokenHash), len(o.TokenHash))
	}
	copy(o.TokenHash[:], m.TokenHash)
	return o, nil
}

func decodePool(name string, value []byte) (Object, error) {
	var m catalogpb.Pool
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, errors.Trace(err)
	}
	return Pool{
		Name:         structs.PoolName(name),
		QueueLimit:   int(m.QueueLimit),
		Shards:       int(m.Shards),
		PreemptLower: m.PreemptLower,
	}, nil
}

func decodeEndpoint(name string, value []byte) (Object, error) {
	var m catalogpb.Endpoint
	if err := proto.Unmarshal(value, &m); err != nil {
		return nil, errors.Trace(err)
	}
	return Endpoint{
		Name:          structs.EndpointName(name),
		Pool:          structs.PoolName(m.Pool),
		Address:       m.Address,
		FailureDomain: instance.FailureDomain(m.FailureDomain),
		SpeedClass:    m.SpeedClass,
		ChecksFencing: m.ChecksFencing,
		Drained:       m.Drained,
		Targets:       fromStrings[structs.Target](m.Targets),
	}, nil
}

func toStrings[S ~string](in []S) []string {
	out := make([]string, 0, len(in))
	for _, s := range in {
		out = append(out, string(s))
	}
	return out
}

func fromStrings[S ~string](in []string) []S {
	if len(in) == 0 {
		return nil
	}
	out := make([]S, 0, len(in))
	for _, s := range in {
		out = append(out, S(s))
	}
	return out
}

// tokenHashField is the field number of Organisation.token_hash.
const tokenHashField protowire.Number = 3

// storedTokenHash returns the token hash of an encoded organisation without
// decoding the other fields, or zero when it has none.
func storedTokenHash(value []byte) TokenHash {
	var h TokenHash
	for len(value) > 0 {
		number, kind, n := protowire.ConsumeTag(value)
		if n < 0 {
			return h
		}
		value = value[n:]
		if number == tokenHashField && kind == protowire.BytesType {
			field, n := protowire.ConsumeBytes(value)
			if n < 0 {
				return h
			}
			copy(h[:], field)
		}
		if n = protowire.ConsumeFieldValue(number, kind, value); n < 0 {
			return h
		}
		value = value[n:]
	}
	return h
}
