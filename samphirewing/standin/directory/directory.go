// Package directory serves the debug paths of many stand-ins at one address
// that no fault switch touches.
package directory

import (
	"net/http"

	"github.com/samphirewing/samphirewing/standin/netfault"
)

// PathList answers with a List.
const PathList = "/stand-ins"

// Kind tells what a stand-in stands in for.
type Kind string

// The kinds.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
	KindLog     Kind = "log"
	KindMembers Kind = "members"
	KindWeights Kind = "weights"
	// KindDaemon is a daemon of a demo, which can be killed.
	KindDaemon Kind = "daemon"
)

// Part is one stand-in. Its debug paths are served under "/" + Name.
type Part struct {
	Name    string
	Kind    Kind
	URL     string
	Handler http.Handler
}

// List is the answer of PathList.
type List struct {
	StandIns []StandIn `json:"stand_ins"`
}

// StandIn is one line of a List. Debug is the path that its debug paths
// follow.
type StandIn struct {
	Name  string `json:"name"`
	Kind  Kind   `json:"kind"`
	URL   string `json:"url"`
	Debug string `json:"debug"`
}

// Start serves the parts on an address, or on a free loopback port when it is
// empty.
func Start(address string, parts []Part) (*netfault.Server, error) {
	mux := http.NewServeMux()
	var list List
	for _, p := range parts {
		root := "/" + p.Name
		mux.Handle(root+"/", http.StripPrefix(root, p.Handler))
		list.StandIns = append(list.StandIns, StandIn{Name: p.Name, Kind: p.Kind, URL: p.URL, Debug: root})
	}
	mux.Handle("GET "+PathList, netfault.DumpHandler(func() List { return list }))
	return netfault.Start(address, mux)
}
