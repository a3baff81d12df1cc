// Package frame encodes and decodes the frames of the sessions between
// instances: protobuf messages, each prefixed with its length as a varint.
//
// Unknown kinds and unknown fields are not decoding errors, so that a receiver
// understands the known part of a newer sender's frames.
package frame

import (
	"bufio"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/meshpb"
)

// The versions of the session protocol that this build supports.
const (
	MinVersion uint32 = 1
	MaxVersion uint32 = 1
)

// The kinds of frames that the session itself uses.
const (
	KindHello   uint32 = 1
	KindPing    uint32 = 2
	KindGoodbye uint32 = 3
)

// ErrorKind is the reason why a call failed.
type ErrorKind uint32

// The error kinds. An unknown one is treated as ErrorFailed.
const (
	ErrorNone        ErrorKind = 0
	ErrorFailed      ErrorKind = 1
	ErrorUnknownKind ErrorKind = 2
	ErrorTooLarge    ErrorKind = 3
)

const (
	// ErrMalformed means that the bytes are not a frame; the stream cannot be
	// read any further.
	ErrMalformed = errors.ConstError("garbled frame; close the session and check what the peer runs")
	// ErrOversized means that a frame exceeds the size limit.
	ErrOversized = errors.ConstError("frame over the size limit; raise the limit on both ends or split the message")
	// ErrNoCommonVersion means that two instances support no common protocol
	// version.
	ErrNoCommonVersion = errors.ConstError("no common protocol version; upgrade the older instance")
)

const readBufferBytes = 4 << 10

// Append appends the length-prefixed frame to b and returns the extended slice.
func Append(b []byte, f *meshpb.Frame) ([]byte, error) {
	b = protowire.AppendVarint(b, uint64(proto.Size(f)))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	return out, errors.Trace(err)
}

// Reader reads frames up to a size limit from a stream.
type Reader struct {
	r       *bufio.Reader
	options protodelim.UnmarshalOptions
}

// NewReader returns a Reader that rejects frames of more than maxBytes.
func NewReader(r io.Reader, maxBytes int) *Reader {
	return &Reader{
		r:       bufio.NewReaderSize(r, readBufferBytes),
		options: protodelim.UnmarshalOptions{MaxSize: int64(maxBytes)},
	}
}

// SetLimit changes the maximum frame size in bytes.
func (r *Reader) SetLimit(maxBytes int) { r.options.MaxSize = int64(maxBytes) }

// Next returns the next frame. The error is io.EOF at the end of the stream
// between two frames, ErrMalformed, ErrOversized, or the stream's own error.
func (r *Reader) Next() (*meshpb.Frame, error) {
	f := new(meshpb.Frame)
	source := &errorRecordingReader{r: r.r}
	err := r.options.UnmarshalFrom(source, f)
	if err == nil {
		return f, nil
	}
	return nil, classify(err, source.err)
}

// classify distinguishes errors of the stream from malformed bytes in it.
func classify(err, streamErr error) error {
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return errors.Annotatef(ErrOversized, "%d bytes, limit %d", tooLarge.Size, tooLarge.MaxSize)
	case streamErr != nil:
		return err
	}
	return errors.Annotatef(ErrMalformed, "%v", err)
}

// errorRecordingReader records the last error of the underlying stream, so that
// it can be told from a decoding error.
type errorRecordingReader struct {
	r   *bufio.Reader
	err error
}

func (e *errorRecordingReader) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	e.recordError(err)
	return n, err
}

func (e *errorRecordingReader) ReadByte() (byte, error) {
	b, err := e.r.ReadByte()
	e.recordError(err)
	return b, err
}

func (e *errorRecordingReader) recordError(err error) {
	if err != nil {
		e.err = err
	}
}

// CommonVersion returns the highest version that both this build and a peer
// with the given range support.
func CommonVersion(peerMin, peerMax uint32) (uint32, error) {
	version := min(MaxVersion, peerMax)
	if version < MinVersion || version < peerMin {
		return 0, errors.Annotatef(ErrNoCommonVersion, "peer speaks %d to %d, this build %d to %d",
			peerMin, peerMax, MinVersion, MaxVersion)
	}
	return version, nil
}
