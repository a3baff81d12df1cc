package mesh

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/frame"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/meshpb"
)

// maxCallsPerSession bounds the concurrent calls of a session. Further calls of
// the peer are rejected.
const maxCallsPerSession = 1024

// RemoteError is an error returned by the called instance.
type RemoteError struct {
	Instance instance.ID
	Text     string
}

// Error returns the text prefixed with the instance's ID.
func (e *RemoteError) Error() string { return string(e.Instance) + ": " + e.Text }

// Call sends a message and waits for its answer. The error is ErrNoPeer,
// ErrNoSession or ErrTooLarge if nothing was sent; ErrUnknownKind, ErrTooLarge
// or a *RemoteError if the peer answered with it; and ErrCallLost otherwise.
func (m *Mesh) Call(ctx context.Context, to instance.ID, msg Message) (Message, error) {
	if len(msg.Body) > m.options.MaxFrameBytes-maxFrameOverheadBytes {
		return Message{}, errors.Annotatef(ErrTooLarge, "%d bytes, limit %d", len(msg.Body), m.options.MaxFrameBytes)
	}
	if to == m.options.Self.ID {
		return m.callLocal(ctx, msg)
	}
	p, err := m.lookup(to)
	if err != nil {
		return Message{}, err
	}
	s, err := p.session(ctx)
	if err != nil {
		return Message{}, err
	}
	answer, err := s.call(ctx, msg)
	if err != nil {
		return Message{}, errors.Annotatef(err, "call of %s", to)
	}
	return decodeAnswer(to, answer)
}

// callLocal runs a call from this instance to itself.
func (m *Mesh) callLocal(ctx context.Context, msg Message) (Message, error) {
	handle := m.handlers.calls[msg.Kind]
	if handle == nil {
		return Message{}, errors.Trace(ErrUnknownKind)
	}
	type result struct {
		msg Message
		err error
	}
	answered := make(chan result, 1)
	go func() {
		answer, err := handle(ctx, m.options.Self, msg)
		answered <- result{answer, err}
	}()
	select {
	case <-ctx.Done():
		return Message{}, callLostError(ctx, ctx.Err())
	case r := <-answered:
		if r.err != nil {
			return Message{}, &RemoteError{Instance: m.options.Self.ID, Text: r.err.Error()}
		}
		return r.msg, nil
	}
}

// callLostError wraps ErrCallLost and its cause, or the context's error instead
// of the cause if the context has ended.
func callLostError(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		cause = ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrCallLost, cause)
}

func decodeAnswer(from instance.ID, f *meshpb.Frame) (Message, error) {
	switch frame.ErrorKind(f.GetErrorKind()) {
	case frame.ErrorNone:
		return messageFromFrame(f), nil
	case frame.ErrorUnknownKind:
		return Message{}, errors.Annotatef(ErrUnknownKind, "%s", from)
	case frame.ErrorTooLarge:
		return Message{}, errors.Annotatef(ErrTooLarge, "answer of %s", from)
	}
	return Message{}, &RemoteError{Instance: from, Text: f.GetErrorText()}
}

// beginCall counts a call as in progress. It returns false if the session has
// ended.
func (s *session) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.calls++
	s.lastUse = time.Now()
	return true
}

func (s *session) endCall() {
	s.mu.Lock()
	s.calls--
	s.lastUse = time.Now()
	s.mu.Unlock()
	s.closeIfDrained()
}

// call runs a call on its own stream.
func (s *session) call(ctx context.Context, msg Message) (*meshpb.Frame, error) {
	if !s.beginCall() {
		return nil, errors.Trace(ErrNoSession)
	}
	defer s.endCall()
	request := frameFromMessage(msg)
	if deadline, ok := ctx.Deadline(); ok {
		request.TimeoutUs = max(1, time.Until(deadline).Microseconds())
	}
	buf, err := frame.Append(nil, request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Annotatef(ErrNoSession, "%v", err)
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := stream.Write(buf); err != nil {
		return nil, callLostError(ctx, err)
	}
	answer, err := frame.NewReader(stream, s.mesh.options.MaxFrameBytes).Next()
	if errors.Is(err, frame.ErrMalformed) || errors.Is(err, frame.ErrOversized) {
		s.fail(err)
	}
	if err != nil {
		return nil, callLostError(ctx, err)
	}
	return answer, nil
}

// acceptCalls accepts and answers the calls of the peer.
func (s *session) acceptCalls() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.fail(err)
			return
		}
		if !s.beginCall() {
			stream.Close()
			return
		}
		s.running.Go(func() {
			defer s.endCall()
			defer stream.Close()
			s.serveCall(stream)
		})
	}
}

func (s *session) serveCall(stream *yamux.Stream) {
	stream.SetReadDeadline(time.Now().Add(s.mesh.options.SilenceLimit))
	request, err := frame.NewReader(stream, s.mesh.options.MaxFrameBytes).Next()
	if errors.Is(err, frame.ErrMalformed) || errors.Is(err, frame.ErrOversized) {
		s.fail(err)
	}
	if err != nil {
		return
	}
	answer := s.answer(request)
	buf, err := frame.Append(nil, answer)
	if err != nil {
		return
	}
	stream.SetWriteDeadline(time.Now().Add(s.mesh.options.SilenceLimit))
	// A failed write is not reported: the caller gets ErrCallLost.
	stream.Write(buf)
}

// answer runs the handler of a call and returns its answer.
func (s *session) answer(request *meshpb.Frame) *meshpb.Frame {
	handle := s.mesh.handlers.calls[Kind(request.GetKind())]
	if handle == nil {
		return errorFrame(request, frame.ErrorUnknownKind, "unknown kind of call")
	}
	if s.info().Calls > maxCallsPerSession {
		return errorFrame(request, frame.ErrorFailed, "too many calls at a time; call again later")
	}
	ctx, cancel := s.callContext(request)
	defer cancel()
	answer, err := handle(ctx, s.remote, messageFromFrame(request))
	if err != nil {
		return errorFrame(request, frame.ErrorFailed, err.Error())
	}
	if len(answer.Body) > s.mesh.options.MaxFrameBytes-maxFrameOverheadBytes {
		return errorFrame(request, frame.ErrorTooLarge, ErrTooLarge.Error())
	}
	if answer.Kind == 0 {
		answer.Kind = Kind(request.GetKind())
	}
	return frameFromMessage(answer)
}

// callContext returns a context that ends with the session or at the caller's
// deadline.
func (s *session) callContext(request *meshpb.Frame) (context.Context, context.CancelFunc) {
	if us := request.GetTimeoutUs(); us > 0 {
		return context.WithTimeout(s.ctx, time.Duration(us)*time.Microsecond)
	}
	return context.WithCancel(s.ctx)
}

func errorFrame(request *meshpb.Frame, kind frame.ErrorKind, text string) *meshpb.Frame {
	return &meshpb.Frame{Kind: request.GetKind(), ErrorKind: uint32(kind), ErrorText: text}
}
