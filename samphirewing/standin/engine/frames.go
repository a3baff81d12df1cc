package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

const wrongRequestSuffix = "-crossed"

// serveFrames writes the frames of a run after a sequence number, until the
// run ends or the client disconnects. It aborts the connection after cutAfter
// frames if that is positive.
func (s *Server) serveFrames(w http.ResponseWriter, request *http.Request, r *run, after uint64, cutAfter int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := frameWriter{encoder: json.NewEncoder(w), response: w, flusher: http.NewResponseController(w)}
	out.flush()
	keepAlive := time.NewTicker(s.options.KeepAlive)
	defer keepAlive.Stop()
	for next := after + 1; ; {
		progress := r.snapshot()
		for ; next <= progress.frameCount; next++ {
			if !s.writeFrame(&out, r.frame(next)) {
				return
			}
			if cutAfter > 0 && out.written >= cutAfter {
				out.flush()
				panic(http.ErrAbortHandler)
			}
		}
		if progress.failure != "" {
			out.write(r.errorFrame(progress.failure))
			return
		}
		out.flush()
		if !s.waitForFrames(&out, request, progress.changed, keepAlive.C) {
			return
		}
	}
}

// writeFrame writes a frame, unless a fault switch skips or alters it. It
// returns false after the last frame.
func (s *Server) writeFrame(out *frameWriter, f enginewire.Frame) bool {
	faults := s.Faults()
	switch {
	case faults.SkipFrame > 0 && f.Sequence == uint64(faults.SkipFrame):
		return !f.Last
	case faults.WrongAttemptFrame > 0 && f.Sequence == uint64(faults.WrongAttemptFrame):
		altered := f
		altered.Request += wrongRequestSuffix
		out.write(altered)
	default:
		out.write(f)
	}
	return !f.Last
}

// waitForFrames waits until the run changes, and sends keep-alives meanwhile.
// It returns false when the client has disconnected.
func (s *Server) waitForFrames(out *frameWriter, request *http.Request, changed <-chan struct{}, keepAlive <-chan time.Time) bool {
	for {
		select {
		case <-changed:
			return true
		case <-request.Context().Done():
			return false
		case <-keepAlive:
			if !s.Faults().Hang {
				out.keepAlive()
			}
		}
	}
}

// frameWriter writes frames and counts them. It ignores write errors: a lost
// connection cancels the request's context.
type frameWriter struct {
	encoder  *json.Encoder
	response http.ResponseWriter
	flusher  *http.ResponseController
	written  int
}

func (f *frameWriter) write(frame enginewire.Frame) {
	_ = f.encoder.Encode(frame)
	f.written++
}

func (f *frameWriter) keepAlive() {
	_, _ = f.response.Write([]byte("\n"))
	f.flush()
}

func (f *frameWriter) flush() { _ = f.flusher.Flush() }
