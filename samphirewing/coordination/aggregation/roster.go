package aggregation

import (
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// roster is a list of daemons as last sent, with a version that changes with
// it.
type roster struct {
	members []*peerpb.Member
	version uint64
	sentAt  time.Time
}

// next replaces the members. It returns the version, and the members if they
// must be sent: because they have changed, or were last sent long ago.
func (r *roster) next(now time.Time, members []*peerpb.Member) (version uint64, send []*peerpb.Member) {
	changed := !slices.EqualFunc(r.members, members, func(a, b *peerpb.Member) bool { return proto.Equal(a, b) })
	if changed || r.version == 0 {
		r.members, r.version = members, r.version+1
	}
	if !changed && now.Sub(r.sentAt) < rosterInterval {
		return r.version, nil
	}
	r.sentAt = now
	return r.version, r.members
}

// rosterVersions holds the last roster received from each daemon.
type rosterVersions map[instance.ID]receivedRoster

type receivedRoster struct {
	from    instance.Process
	version uint64
	members []*peerpb.Member
}

func (v rosterVersions) put(from instance.Process, version uint64, members []*peerpb.Member) {
	v[from.ID] = receivedRoster{from, version, members}
}

// get returns the roster of a version, or nil if another one was received last.
func (v rosterVersions) get(from instance.Process, version uint64) []*peerpb.Member {
	if r := v[from.ID]; r.from == from && r.version == version {
		return r.members
	}
	return nil
}

// merge returns the daemons of several rosters, sorted by instance. The first
// entry of the newest incarnation wins.
func merge(rosters ...[]*peerpb.Member) []*peerpb.Member {
	newest := map[string]*peerpb.Member{}
	for _, members := range rosters {
		for _, m := range members {
			if old := newest[m.GetInstance()]; old == nil || m.GetIncarnation() > old.GetIncarnation() {
				newest[m.GetInstance()] = m
			}
		}
	}
	all := make([]*peerpb.Member, 0, len(newest))
	for _, m := range newest {
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].GetInstance() < all[j].GetInstance() })
	return all
}
