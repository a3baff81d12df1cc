package membership

import (
	"github.com/samphirewing/coordkit/coordination/ownership"
	"github.com/samphirewing/coordkit/transport/mesh"
)

// HeartbeatKind is the message kind of an encoded memberpb.Heartbeat.
const HeartbeatKind mesh.Kind = 100

// Candidates returns the members that may own shards: those in state Ready.
func Candidates(live []Member) []ownership.Candidate {
	var all []ownership.Candidate
	for _, m := range live {
		if m.State == Ready {
			all = append(all, ownership.Candidate{ID: m.ID, FailureDomain: m.FailureDomain})
		}
	}
	return all
}

// Peers returns the mesh addresses of the members, for Mesh.SetPeers.
func Peers(all []Member) []mesh.Peer {
	var peers []mesh.Peer
	for _, m := range all {
		if m.Addresses.Mesh != "" {
			peers = append(peers, mesh.Peer{ID: m.ID, Address: m.Addresses.Mesh})
		}
	}
	return peers
}
