package eventlog

import (
	"io"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/samphirewing/standin/netfault"
	"github.com/samphirewing/samphirewing/transport/platformclient/platformwire"
)

// PathReset is the debug path that drops all streams.
const PathReset = "/debug/reset"

// ServerFaults are the fault switches of the service and of its connections.
type ServerFaults struct {
	Faults
	// RefuseConnects makes the operating system refuse new connections.
	RefuseConnects bool `json:"refuse_connects,omitempty"`
	// SwallowNew makes new connections silent: bytes are discarded in both
	// directions.
	SwallowNew bool `json:"swallow_new,omitempty"`
}

// Server serves a Memory over HTTP.
type Server struct {
	log    *Memory
	net    *netfault.Server
	debug  http.Handler
	faults netfault.Switches[ServerFaults]
}

// Serve starts a server on an address, or on a free loopback port if it is
// empty.
func Serve(address string, log *Memory) (*Server, error) {
	s := &Server{log: log}
	debug := http.NewServeMux()
	debug.Handle(netfault.PathFaults, netfault.SwitchHandler(s.Faults, s.SetFaults))
	debug.Handle(PathReset, netfault.ActionHandler(log.Reset))
	debug.Handle(netfault.PathSilence, netfault.ActionHandler(s.SilenceOpen))
	debug.Handle(netfault.PathCut, netfault.ActionHandler(s.CutOpen))
	s.debug = debug
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platformwire.PathStreams+"{stream}", s.handleAppend)
	mux.HandleFunc("GET "+platformwire.PathStreams+"{stream}", s.handleRead)
	mux.Handle("/debug/", debug)
	server, err := netfault.Start(address, mux)
	if err != nil {
		return nil, err
	}
	s.net = server
	return s, nil
}

// URL returns the base URL.
func (s *Server) URL() string { return s.net.URL() }

// Close closes all connections.
func (s *Server) Close() { s.net.Close() }

// Debug returns the handler of the debug paths.
func (s *Server) Debug() http.Handler { return s.debug }

// SilenceOpen makes the open connections silent for good.
func (s *Server) SilenceOpen() { s.net.SilenceOpen() }

// Faults returns the fault switches.
func (s *Server) Faults() ServerFaults {
	f, _ := s.faults.Get()
	f.Faults = s.log.Faults()
	return f
}

// SetFaults replaces the fault switches, including those of the Memory.
func (s *Server) SetFaults(f ServerFaults) error {
	s.faults.Set(f)
	s.net.SetSilenceNew(f.SwallowNew)
	if err := s.log.SetFaults(f.Faults); err != nil {
		return err
	}
	return s.net.SetRefuse(f.RefuseConnects)
}

// CutOpen closes the open connections.
func (s *Server) CutOpen() { s.net.CutOpen() }

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		netfault.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	offset, err := s.log.Append(r.Context(), eventlog.Stream(r.PathValue("stream")), data)
	switch {
	case errors.Is(err, eventlog.ErrIndeterminate):
		panic(http.ErrAbortHandler)
	case err != nil:
		netfault.WriteError(w, http.StatusServiceUnavailable, err.Error())
	default:
		netfault.WriteJSON(w, http.StatusOK, platformwire.AppendResponse{Offset: offset})
	}
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("from"), 10, 64)
	if err != nil {
		netfault.WriteError(w, http.StatusBadRequest, "from must be an offset")
		return
	}
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		netfault.WriteError(w, http.StatusBadRequest, "limit must be a number")
		return
	}
	batch, err := s.log.Read(r.Context(), eventlog.Stream(r.PathValue("stream")), eventlog.Offset(from), limit)
	switch {
	case errors.Is(err, eventlog.ErrExpired):
		netfault.WriteJSON(w, http.StatusGone, wireBatch(batch))
	case err != nil:
		netfault.WriteError(w, http.StatusServiceUnavailable, err.Error())
	default:
		netfault.WriteJSON(w, http.StatusOK, wireBatch(batch))
	}
}

func wireBatch(b eventlog.Batch) platformwire.Batch {
	answer := platformwire.Batch{Records: make([]platformwire.Record, len(b.Records)), Oldest: b.Oldest, Next: b.Next}
	for i, r := range b.Records {
		answer.Records[i] = platformwire.Record(r)
	}
	return answer
}
