// Package directory serves the debug paths of several stand-ins at one address
// that has no faults.
package directory

import (
	"net/http"

	"github.com/samphirewing/samphirewing/standin/netfault"
)

// PathList is the path of the List.
const PathList = "/stand-ins"

// Kind is the kind of system that a stand-in simulates.
type Kind string

// The kinds.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindLog     Kind = "log"
	KindMembers Kind = "members"
	KindWeights Kind = "weights"
	// KindDaemon is a daemon of a demo. Its debug paths can kill it.
	KindDaemon Kind = "daemon"
)

// Entry describes one stand-in. Its debug paths are served under "/" + Name.
type Entry struct {
	Name    string
	Kind    Kind
	URL     string
	Handler http.Handler
}

// List is the response body of PathList.
type List struct {
	StandIns []StandIn `json:"stand_ins"`
}

// StandIn is one element of a List. Debug is the prefix of its debug paths.
type StandIn struct {
	Name  string `json:"name"`
	Kind  Kind   `json:"kind"`
	URL   string `json:"url"`
	Debug string `json:"debug"`
}

// Start serves the entries on an address, or on a free loopback port if it is
// empty.
func Start(address string, entries []Entry) (*netfault.Server, error) {
	mux := http.NewServeMux()
	var list List
	for _, e := range entries {
		root := "/" + e.Name
		mux.Handle(root+"/", http.StripPrefix(root, e.Handler))
		list.StandIns = append(list.StandIns, StandIn{Name: e.Name, Kind: e.Kind, URL: e.URL, Debug: root})
	}
	mux.Handle("GET "+PathList, netfault.DumpHandler(func() List { return list }))
	return netfault.Start(address, mux)
}
