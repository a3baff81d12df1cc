package frame

import (
	"bytes"
	"io"
	"testing"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/protocol/meshpb"
)

const testLimit = 1 << 10

func encode(t testing.TB, frames ...*meshpb.Frame) []byte {
	t.Helper()
	var buf []byte
	for _, f := range frames {
		var err error
		buf, err = Append(buf, f)
		assert.NilError(t, err)
	}
	return buf
}

func TestFramesComeBackInOrder(t *testing.T) {
	frames := []*meshpb.Frame{
		{Kind: 1000, Body: []byte("one"), TraceParent: "00-a-b-01"},
		{},
		{Kind: 1001, ErrorKind: uint32(ErrorFailed), ErrorText: "text", TimeoutUs: 5},
	}
	r := NewReader(bytes.NewReader(encode(t, frames...)), testLimit)
	for _, want := range frames {
		got, err := r.Next()
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(got, want))
	}
	_, err := r.Next()
	assert.Assert(t, errors.Is(err, io.EOF))
}

func TestBadInputHasItsKind(t *testing.T) {
	whole := encode(t, &meshpb.Frame{Kind: 1000, Body: []byte("body")})
	for _, c := range []struct {
		name string
		data []byte
		want error
	}{
		{"oversized", encode(t, &meshpb.Frame{Body: make([]byte, testLimit)}), ErrOversized},
		{"garbled", []byte{2, 0xff, 0xff}, ErrMalformed},
		{"endless length", bytes.Repeat([]byte{0xff}, 11), ErrMalformed},
		{"cut", whole[:len(whole)-1], io.ErrUnexpectedEOF},
	} {
		_, err := NewReader(bytes.NewReader(c.data), testLimit).Next()
		assert.Assert(t, errors.Is(err, c.want), "%s: %v", c.name, err)
	}
}

func TestCommonVersion(t *testing.T) {
	for _, c := range []struct {
		lowest, highest, want uint32
	}{{MinVersion, MaxVersion, MaxVersion}, {MinVersion, MaxVersion + 7, MaxVersion}, {MaxVersion + 1, MaxVersion + 7, 0}, {0, MinVersion - 1, 0}} {
		got, err := CommonVersion(c.lowest, c.highest)
		assert.Equal(t, got, c.want)
		assert.Equal(t, errors.Is(err, ErrNoCommonVersion), c.want == 0)
	}
}

// FuzzReader checks that any bytes end in a frame within the limit or in an
// error, and that a frame that was read encodes to itself again.
func FuzzReader(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{2, 0xff, 0xff})
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Add(encode(f, &meshpb.Frame{Kind: KindHello, Body: []byte("hello")}, &meshpb.Frame{Kind: 1000, TraceParent: "00-a-b-01"}))
	f.Add(encode(f, &meshpb.Frame{Body: make([]byte, testLimit)}))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data), testLimit)
		for {
			got, err := r.Next()
			if err != nil {
				return
			}
			again, err := NewReader(bytes.NewReader(encode(t, got)), 2*testLimit).Next()
			assert.NilError(t, err)
			assert.Assert(t, proto.Equal(got, again))
		}
	})
}
