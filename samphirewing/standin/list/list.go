// Package list is a stand-in of the platform's membership list, which lags.
package list

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/platformclient/platformwire"
)

// The paths of the debug interface.
const (
	PathPut    = "/debug/put"
	PathRemove = "/debug/remove"
)

const (
	defaultExpiry = 30 * time.Second
	maxBodyBytes  = 64 << 10
)

// Options describes the list.
type Options struct {
	// Listen is the address to listen on; a free loopback port by default.
	Listen string
	// Lag is how late a change shows.
	Lag time.Duration
	// Expiry is how long an announced line stays without renewal; 30 s by
	// default. Lines set by Put never expire.
	Expiry time.Duration
}

// Faults are the fault switches. The zero value is a healthy list.
type Faults struct {
	// Down answers 503 to everything.
	Down bool `json:"down,omitempty"`
	// RefuseConnects makes the system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent.
	SwallowNew bool `json:"swallow_new,omitempty"`
	// SlowMillis is added to the time of each call.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// Empty answers with no lines.
	Empty bool `json:"empty,omitempty"`
}

// Connections returns the switches that all stand-ins share.
func (f Faults) Connections() netfault.ConnectionFaults {
	return netfault.ConnectionFaults{RefuseConnects: f.RefuseConnects, SwallowNew: f.SwallowNew}
}

// Server is a running list. It is safe for concurrent use.
type Server struct {
	*netfault.StandIn[Faults]
	options Options

	mu    sync.Mutex
	lines map[lineKey]*line
}

type lineKey struct {
	kind edge.MemberKind
	name string
}

// line is the history of one listed name, the oldest version first. All but
// the first are younger than the lag.
type line struct {
	versions []version
	// expires is zero for lines that don't expire.
	expires time.Time
}

type version struct {
	at      time.Time
	listed  platformwire.Member
	removed bool
}

// Start starts a list on loopback.
func Start(o Options) (*Server, error) {
	if o.Expiry <= 0 {
		o.Expiry = defaultExpiry
	}
	s := &Server{StandIn: netfault.NewStandIn[Faults](), options: o, lines: make(map[lineKey]*line)}
	s.HandleDebug("POST "+PathPut, s.handleLine(s.put))
	s.HandleDebug("POST "+PathRemove, s.handleLine(func(m platformwire.Member) { s.Remove(m.Kind, m.Name) }))
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+platformwire.PathMembers, s.guard(s.handleMembers))
	routes.HandleFunc("POST "+platformwire.PathAnnounce, s.guard(s.handleLine(s.announce)))
	routes.HandleFunc("POST "+platformwire.PathRetire, s.guard(s.handleLine(s.retire)))
	if err := s.Serve(o.Listen, routes); err != nil {
		return nil, err
	}
	return s, nil
}

// Put sets a line that doesn't expire, such as that of an endpoint.
func (s *Server) Put(l edge.Member) { s.put(platformwire.Member(l)) }

// Remove takes a line out.
func (s *Server) Remove(kind edge.MemberKind, name string) {
	s.change(lineKey{kind, name}, version{removed: true}, time.Time{})
}

func (s *Server) put(m platformwire.Member) {
	s.change(lineKey{m.Kind, m.Name}, version{listed: m}, time.Time{})
}

func (s *Server) announce(m platformwire.Member) {
	s.change(lineKey{m.Kind, m.Name}, version{listed: m}, time.Now().Add(s.options.Expiry))
}

func (s *Server) retire(m platformwire.Member) {
	m.Leaving = true
	s.announce(m)
}

func (s *Server) change(k lineKey, v version, expires time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.lines[k]
	if !ok {
		l = &line{}
		s.lines[k] = l
	}
	v.at = time.Now()
	l.expires = expires
	if n := len(l.versions); n > 0 && l.versions[n-1].listed == v.listed && l.versions[n-1].removed == v.removed {
		return
	}
	l.versions = append(l.versions, v)
}

// Visible returns the lines that callers see now, by kind and name.
func (s *Server) Visible() []edge.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var visible []edge.Member
	for k, l := range s.lines {
		v, ok := l.at(now.Add(-s.options.Lag))
		switch {
		case !l.expires.IsZero() && now.After(l.expires.Add(s.options.Lag)):
			delete(s.lines, k)
		case ok && !v.removed:
			visible = append(visible, edge.Member(v.listed))
		}
	}
	sort.Slice(visible, func(i, j int) bool {
		if visible[i].Kind != visible[j].Kind {
			return visible[i].Kind < visible[j].Kind
		}
		return visible[i].Name < visible[j].Name
	})
	return visible
}

// at returns the version in force at a time and drops those before it.
func (l *line) at(t time.Time) (version, bool) {
	if len(l.versions) == 0 || l.versions[0].at.After(t) {
		return version{}, false
	}
	for len(l.versions) > 1 && !l.versions[1].at.After(t) {
		l.versions = l.versions[1:]
	}
	return l.versions[0], true
}

func (s *Server) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		if f.Down {
			netfault.WriteError(w, http.StatusServiceUnavailable, "down by a fault switch")
			return
		}
		next(w, r)
	}
}

func (s *Server) handleMembers(w http.ResponseWriter, _ *http.Request) {
	answer := platformwire.Members{Members: []platformwire.Member{}}
	if !s.Faults().Empty {
		for _, l := range s.Visible() {
			answer.Members = append(answer.Members, platformwire.Member(l))
		}
	}
	netfault.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) handleLine(change func(platformwire.Member)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var m platformwire.Member
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&m); err != nil {
			netfault.WriteError(w, http.StatusBadRequest, err.Error())
			return
		}
		if m.Name == "" || m.Kind == "" {
			netfault.WriteError(w, http.StatusBadRequest, "kind and name are needed")
			return
		}
		change(m)
		netfault.WriteJSON(w, http.StatusOK, m)
	}
}
