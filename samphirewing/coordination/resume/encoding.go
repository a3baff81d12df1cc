package resume

import (
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Encode returns the message of a list. Lists with the same content have the same
// message.
func (l List) Encode() *peerpb.Streams {
	m := &peerpb.Streams{}
	indices := map[Origin]uint32{}
	for _, key := range slices.Sorted(maps.Keys(l)) {
		o := l[key]
		index, known := indices[o]
		if !known {
			index = uint32(len(indices))
			indices[o] = index
			m.Pools, m.Versions = append(m.Pools, string(o.Pool)), append(m.Versions, o.Version)
		}
		m.Ids, m.Origins = append(m.Ids, uint64(key)), append(m.Origins, index)
	}
	return m
}

// DecodeList returns the list of a message.
func DecodeList(m *peerpb.Streams) (List, error) {
	if len(m.GetPools()) != len(m.GetVersions()) || len(m.GetIds()) != len(m.GetOrigins()) {
		return nil, errors.NotValidf("a list of streams with %d pools, %d versions, %d ids and %d origins", len(m.GetPools()), len(m.GetVersions()), len(m.GetIds()), len(m.GetOrigins()))
	}
	l := make(List, len(m.GetIds()))
	for i, id := range m.GetIds() {
		index := m.GetOrigins()[i]
		if int(index) >= len(m.GetPools()) {
			return nil, errors.NotValidf("origin %d of %d", index, len(m.GetPools()))
		}
		l[Key(id)] = Origin{Pool: structs.PoolName(m.GetPools()[index]), Version: m.GetVersions()[index]}
	}
	return l, nil
}
