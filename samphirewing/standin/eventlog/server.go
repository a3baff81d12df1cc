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

// The paths of the debug interface.
const (
	PathFaults  = "/debug/faults"
	PathReset   = "/debug/reset"
	PathSilence = "/debug/silence-open"
	PathCut     = "/debug/cut-open"
)

// Server serves a Memory over HTTP on loopback.
type Server struct {
	log   *Memory
	net   *netfault.Server
	debug http.Handler
}

// Serve starts a server on an address, or on a free loopback port when it is
// empty.
func Serve(address string, log *Memory) (*Server, error) {
	s := &Server{log: log}
	debug := http.NewServeMux()
	debug.Handle(PathFaults, netfault.SwitchHandler(log.Faults, log.SetFaults))
	debug.Handle(PathReset, netfault.ActionHandler(log.Reset))
	debug.Handle(PathSilence, netfault.ActionHandler(s.SilenceOpen))
	debug.Handle(PathCut, netfault.ActionHandler(s.CutOpen))
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

// Close cuts all connections.
func (s *Server) Close() { s.net.Close() }

// Debug returns the handler of the debug paths.
func (s *Server) Debug() http.Handler { return s.debug }

// SilenceOpen makes the open connections silent for good.
func (s *Server) SilenceOpen() { s.net.SilenceOpen() }

// SilenceNew makes every later connection silent, or no longer does.
func (s *Server) SilenceNew(on bool) { s.net.SilenceNew(on) }

// Refuse makes the system refuse new connections, or accept them again.
func (s *Server) Refuse(on bool) error { return s.net.Refuse(on) }

// CutOpen cuts the open connections.
func (s *Server) CutOpen() { s.net.CutOpen() }

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		netfault.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	offset, err := s.log.Append(r.Context(), eventlog.Stream(r.PathValue("stream")), data)
	switch {
	case errors.Is(err, eventlog.ErrFateUnknown):
		panic(http.ErrAbortHandler)
	case err != nil:
		netfault.WriteError(w, http.StatusServiceUnavailable, err.Error())
	default:
		netfault.WriteJSON(w, http.StatusOK, platformwire.Appended{Offset: offset})
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
