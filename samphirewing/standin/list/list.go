// Package list is a stand-in for the platform's membership list. Changes become
// visible after a configurable lag.
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

// Options configures the list.
type Options struct {
	// Listen is the listen address; a free loopback port by default.
	Listen string
	// Lag is the delay before a change becomes visible.
	Lag time.Duration
	// Expiry is how long an announced entry is valid without renewal; 30 s by
	// default. Entries set by Put don't expire.
	Expiry time.Duration
}

// Faults are the fault switches. The zero value is a healthy list.
type Faults struct {
	// Down answers all requests with 503.
	Down bool `json:"down,omitempty"`
	// RefuseConnects makes the operating system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent.
	SwallowNew bool `json:"swallow_new,omitempty"`
	// SlowMillis is added to the duration of each call, in milliseconds.
	SlowMillis int64 `json:"slow_ms,omitempty"`
	// Empty returns an empty list.
	Empty bool `json:"empty,omitempty"`
}

// ConnectionFaults returns the switches that all stand-ins share.
func (f Faults) ConnectionFaults() netfault.ConnectionFaults {
	return netfault.ConnectionFaults{RefuseConnects: f.RefuseConnects, SwallowNew: f.SwallowNew}
}

// Server is a running list. It is safe for concurrent use.
type Server struct {
	*netfault.StandIn[Faults]
	options Options

	mu      sync.Mutex
	entries map[entryKey]*entry
}

type entryKey struct {
	kind edge.MemberKind
	name string
}

// entry is the history of one listed member, oldest version first. versionAt
// drops the versions that were superseded before the time it is asked for.
type entry struct {
	versions []version
	// expires is zero for entries that don't expire.
	expires time.Time
}

type version struct {
	changedAt time.Time
	member    platformwire.Member
	removed   bool
}

// Start starts a list on Options.Listen.
func Start(o Options) (*Server, error) {
	if o.Expiry <= 0 {
		o.Expiry = defaultExpiry
	}
	s := &Server{StandIn: netfault.NewStandIn[Faults](), options: o, entries: make(map[entryKey]*entry)}
	s.HandleDebug("POST "+PathPut, s.handleEntry(s.put))
	s.HandleDebug("POST "+PathRemove, s.handleEntry(func(m platformwire.Member) { s.Remove(m.Kind, m.Name) }))
	routes := http.NewServeMux()
	routes.HandleFunc("GET "+platformwire.PathMembers, s.withFaults(s.handleMembers))
	routes.HandleFunc("POST "+platformwire.PathAnnounce, s.withFaults(s.handleEntry(s.announce)))
	routes.HandleFunc("POST "+platformwire.PathRetire, s.withFaults(s.handleEntry(s.retire)))
	if err := s.Serve(o.Listen, routes); err != nil {
		return nil, err
	}
	return s, nil
}

// Put sets an entry that doesn't expire, such as that of an endpoint.
func (s *Server) Put(l edge.Member) { s.put(platformwire.Member(l)) }

// Remove removes an entry.
func (s *Server) Remove(kind edge.MemberKind, name string) {
	s.addVersion(entryKey{kind, name}, version{removed: true}, time.Time{})
}

func (s *Server) put(m platformwire.Member) {
	s.addVersion(entryKey{m.Kind, m.Name}, version{member: m}, time.Time{})
}

func (s *Server) announce(m platformwire.Member) {
	s.addVersion(entryKey{m.Kind, m.Name}, version{member: m}, time.Now().Add(s.options.Expiry))
}

func (s *Server) retire(m platformwire.Member) {
	m.Leaving = true
	s.announce(m)
}

func (s *Server) addVersion(k entryKey, v version, expires time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[k]
	if !ok {
		e = &entry{}
		s.entries[k] = e
	}
	v.changedAt = time.Now()
	e.expires = expires
	if n := len(e.versions); n > 0 && e.versions[n-1].member == v.member && e.versions[n-1].removed == v.removed {
		return
	}
	e.versions = append(e.versions, v)
}

// Visible returns the entries that callers currently see, sorted by kind and
// name.
func (s *Server) Visible() []edge.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var visible []edge.Member
	for k, e := range s.entries {
		v, ok := e.versionAt(now.Add(-s.options.Lag))
		switch {
		case !e.expires.IsZero() && now.After(e.expires.Add(s.options.Lag)):
			delete(s.entries, k)
		case ok && !v.removed:
			visible = append(visible, edge.Member(v.member))
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

// versionAt returns the version that was current at time t, and drops the
// earlier ones. It returns false if there was none.
func (e *entry) versionAt(t time.Time) (version, bool) {
	if len(e.versions) == 0 || e.versions[0].changedAt.After(t) {
		return version{}, false
	}
	for len(e.versions) > 1 && !e.versions[1].changedAt.After(t) {
		e.versions = e.versions[1:]
	}
	return e.versions[0], true
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
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
	members := platformwire.Members{Members: []platformwire.Member{}}
	if !s.Faults().Empty {
		for _, member := range s.Visible() {
			members.Members = append(members.Members, platformwire.Member(member))
		}
	}
	netfault.WriteJSON(w, http.StatusOK, members)
}

func (s *Server) handleEntry(change func(platformwire.Member)) http.HandlerFunc {
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
