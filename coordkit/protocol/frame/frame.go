// Package frame encodes and decodes the frames that sessions between
// instances carry: protobuf messages, each after its length as a varint.
//
// Unknown kinds and unknown fields are kept out of the way of the decoder, so
// that a newer sender is understood as far as the receiver can.
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

// The versions of the session protocol that this build speaks.
const (
	MinVersion uint32 = 1
	MaxVersion uint32 = 1
)

// The kinds that the session itself uses.
const (
	KindHello   uint32 = 1
	KindPing    uint32 = 2
	KindGoodbye uint32 = 3
)

// ErrorKind tells why a call failed.
type ErrorKind uint32

// The error kinds. An unknown one counts as ErrorFailed.
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
	// ErrOversized means that a frame is longer than the limit.
	ErrOversized = errors.ConstError("frame over the size limit; raise the limit on both ends or split the message")
	// ErrNoCommonVersion means that two ends share no protocol version.
	ErrNoCommonVersion = errors.ConstError("no common protocol version; upgrade the older instance")
)

const readBufferBytes = 4 << 10

// Append appends the frame with its length to b and returns the longer slice.
func Append(b []byte, f *meshpb.Frame) ([]byte, error) {
	b = protowire.AppendVarint(b, uint64(proto.Size(f)))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, f)
	return out, errors.Trace(err)
}

// Reader reads frames of at most a fixed length from a stream.
type Reader struct {
	r       *bufio.Reader
	options protodelim.UnmarshalOptions
}

// NewReader returns a Reader that refuses frames of more than maxBytes.
func NewReader(r io.Reader, maxBytes int) *Reader {
	return &Reader{
		r:       bufio.NewReaderSize(r, readBufferBytes),
		options: protodelim.UnmarshalOptions{MaxSize: int64(maxBytes)},
	}
}

// SetLimit changes the longest frame that the Reader takes.
func (r *Reader) SetLimit(maxBytes int) { r.options.MaxSize = int64(maxBytes) }

// Next returns the next frame. The error is io.EOF at the end of the stream
// between two frames, ErrGarbled, ErrOversized, or the stream's own error.
func (r *Reader) Next() (*meshpb.Frame, error) {
	f := new(meshpb.Frame)
	source := &errorReader{r: r.r}
	err := r.options.UnmarshalFrom(source, f)
	if err == nil {
		return f, nil
	}
	return nil, classify(err, source.failed)
}

// classify tells errors of the stream from errors of the bytes in it.
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

// errorReader remembers the error of the stream below.
type errorReader struct {
	r      *bufio.Reader
	failed error
}

func (c *errorReader) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	c.note(err)
	return n, err
}

func (c *errorReader) ReadByte() (byte, error) {
	b, err := c.r.ReadByte()
	c.note(err)
	return b, err
}

func (c *errorReader) note(err error) {
	if err != nil {
		c.failed = err
	}
}

// CommonVersion returns the highest version that this build and a peer with
// the given range both speak.
func CommonVersion(peerMin, peerMax uint32) (uint32, error) {
	version := min(MaxVersion, peerMax)
	if version < MinVersion || version < peerMin {
		return 0, errors.Annotatef(ErrNoCommonVersion, "peer speaks %d to %d, this build %d to %d",
			peerMin, peerMax, MinVersion, MaxVersion)
	}
	return version, nil
}
