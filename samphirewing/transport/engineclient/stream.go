package engineclient

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sync"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
	"github.com/samphirewing/samphirewing/transport/oneshot"
)

const initialFrameBytes = 1 << 10

// frameDecoder turns the lines of an answer into frames of one attempt.
type frameDecoder struct {
	lines   *bufio.Scanner
	attempt enginewire.Attempt
	// last is the sequence number of the last frame returned.
	last uint64
	// done is set after the final frame.
	done bool
}

func newFrameDecoder(r io.Reader, a edge.Attempt, after uint64, maxFrameBytes int) *frameDecoder {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, min(initialFrameBytes, maxFrameBytes)), maxFrameBytes)
	return &frameDecoder{lines: lines, attempt: wireAttempt(a), last: after}
}

// next returns the next frame, io.EOF after the last one, or an error that is
// edge.ErrBroken, edge.ErrFailed or edge.ErrMismatch.
func (d *frameDecoder) next() (edge.Frame, error) {
	if d.done {
		return edge.Frame{}, io.EOF
	}
	line, err := d.nextLine()
	if err != nil {
		return edge.Frame{}, fault.New(edge.ErrIndeterminate, err)
	}
	var f enginewire.Frame
	if err := json.Unmarshal(line, &f); err != nil {
		return edge.Frame{}, fault.New(edge.ErrIndeterminate, err)
	}
	if err := d.check(f); err != nil {
		return edge.Frame{}, err
	}
	d.last = f.Sequence
	d.done = f.Last
	return edge.Frame{
		Sequence:     f.Sequence,
		Text:         f.Text,
		Tokens:       f.Tokens,
		Last:         f.Last,
		FinishReason: f.FinishReason,
		PromptTokens: f.PromptTokens,
		CachedTokens: f.CachedTokens,
		OutputTokens: f.OutputTokens,
	}, nil
}

// nextLine skips keep-alives.
func (d *frameDecoder) nextLine() ([]byte, error) {
	for d.lines.Scan() {
		if line := bytes.TrimSpace(d.lines.Bytes()); len(line) > 0 {
			return line, nil
		}
	}
	if err := d.lines.Err(); err != nil {
		return nil, errors.Trace(err)
	}
	return nil, io.ErrUnexpectedEOF
}

func (d *frameDecoder) check(f enginewire.Frame) error {
	if f.Attempt != d.attempt {
		return fault.Newf(edge.ErrFrameMismatch, "request %q attempt %d on the stream of request %q attempt %d",
			f.Request, f.Attempt.Attempt, d.attempt.Request, d.attempt.Attempt)
	}
	if f.Error != "" {
		return fault.Newf(edge.ErrFailed, "%s", f.Error)
	}
	if f.Sequence != d.last+1 {
		return fault.Newf(edge.ErrFrameMismatch, "frame %d follows frame %d", f.Sequence, d.last)
	}
	return nil
}

// stream is the answer of one attempt on one connection.
type stream struct {
	client   *Client
	attempt  edge.Attempt
	response *oneshot.Response
	decoder  *frameDecoder
	// err is the first error; later calls return it again.
	err   error
	close sync.Once
}

func newStream(c *Client, r *oneshot.Response, a edge.Attempt, after uint64) *stream {
	return &stream{
		client:   c,
		attempt:  a,
		response: r,
		decoder:  newFrameDecoder(r, a, after, c.options.MaxFrameBytes),
	}
}

// Next returns the next frame. It is called by one goroutine.
func (s *stream) Next() (edge.Frame, error) {
	if s.err != nil {
		return edge.Frame{}, s.err
	}
	f, err := s.decoder.next()
	if err == nil {
		return f, nil
	}
	if err != io.EOF {
		err = errors.Annotatef(err, "engine %s", s.client.name)
		s.client.reportStream(s.attempt, s.decoder.last, err)
	}
	s.err = err
	_ = s.Close()
	return edge.Frame{}, err
}

// Close closes the connection.
func (s *stream) Close() error {
	s.close.Do(s.response.Close)
	return nil
}
