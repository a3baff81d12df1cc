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

// maxCallsPerSession bounds the calls of one peer that are answered at a time.
const maxCallsPerSession = 1024

// RemoteError is an error that the called instance returned.
type RemoteError struct {
	Instance instance.ID
	Text     string
}

// Error returns the text with the instance's name.
func (e *RemoteError) Error() string { return string(e.Instance) + ": " + e.Text }

// Call sends a message and waits for its answer. The error is ErrNoPeer,
// ErrNoSession or ErrTooLarge when nothing was sent, ErrUnknownKind or a
// *RemoteError when the peer answered so, and ErrCallLost otherwise.
func (m *Mesh) Call(ctx context.Context, to instance.ID, msg Message) (Message, error) {
	if len(msg.Body) > m.options.MaxFrameBytes-frameOverheadBytes {
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
	return readAnswer(to, answer)
}

// callLocal answers a call of this instance to itself.
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
		return Message{}, callLost(ctx, ctx.Err())
	case r := <-answered:
		if r.err != nil {
			return Message{}, &RemoteError{Instance: m.options.Self.ID, Text: r.err.Error()}
		}
		return r.msg, nil
	}
}

// callLost is ErrCallLost with its cause; it also is the context's error when
// that has ended.
func callLost(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		cause = ctx.Err()
	}
	return fmt.Errorf("%w: %w", ErrCallLost, cause)
}

func readAnswer(from instance.ID, f *meshpb.Frame) (Message, error) {
	switch frame.ErrorKind(f.GetErrorKind()) {
	case frame.ErrorNone:
		return frameMessage(f), nil
	case frame.ErrorUnknownKind:
		return Message{}, errors.Annotatef(ErrUnknownKind, "%s", from)
	case frame.ErrorTooLarge:
		return Message{}, errors.Annotatef(ErrTooLarge, "answer of %s", from)
	}
	return Message{}, &RemoteError{Instance: from, Text: f.GetErrorText()}
}

// beginCall counts a call in unless the session has ended.
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
	s.finishIfDone()
}

// call runs one call on a stream of its own.
func (s *session) call(ctx context.Context, msg Message) (*meshpb.Frame, error) {
	if !s.beginCall() {
		return nil, errors.Trace(ErrNoSession)
	}
	defer s.endCall()
	request := messageFrame(msg)
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
		return nil, callLost(ctx, err)
	}
	answer, err := frame.NewReader(stream, s.mesh.options.MaxFrameBytes).Next()
	if errors.Is(err, frame.ErrMalformed) || errors.Is(err, frame.ErrOversized) {
		s.fail(err)
	}
	if err != nil {
		return nil, callLost(ctx, err)
	}
	return answer, nil
}

// acceptCalls answers the calls of the peer.
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
	// A failed write needs no report: the caller sees its call as lost.
	stream.Write(buf)
}

// answer runs the handler of a call.
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
	answer, err := handle(ctx, s.peerLife, frameMessage(request))
	if err != nil {
		return errorFrame(request, frame.ErrorFailed, err.Error())
	}
	if len(answer.Body) > s.mesh.options.MaxFrameBytes-frameOverheadBytes {
		return errorFrame(request, frame.ErrorTooLarge, ErrTooLarge.Error())
	}
	if answer.Kind == 0 {
		answer.Kind = Kind(request.GetKind())
	}
	return messageFrame(answer)
}

// callContext ends with the session and with the caller's deadline.
func (s *session) callContext(request *meshpb.Frame) (context.Context, context.CancelFunc) {
	if us := request.GetTimeoutUs(); us > 0 {
		return context.WithTimeout(s.ctx, time.Duration(us)*time.Microsecond)
	}
	return context.WithCancel(s.ctx)
}

func errorFrame(request *meshpb.Frame, kind frame.ErrorKind, text string) *meshpb.Frame {
	return &meshpb.Frame{Kind: request.GetKind(), ErrorKind: uint32(kind), ErrorText: text}
}
