package engineclient

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

const testFrameBytes = 1 << 10

var decoderAttempt = edge.Attempt{Request: "r1", Number: 2}

func frameLine(f enginewire.Frame) string {
	line, err := json.Marshal(f)
	if err != nil {
		panic(err)
	}
	return string(line) + "\n"
}

func goodFrame(sequence uint64, last bool) enginewire.Frame {
	return enginewire.Frame{Attempt: wireAttempt(decoderAttempt), Sequence: sequence, Text: "rib ", Tokens: 1, Last: last}
}

// decodeAll returns how many frames came before the error.
func decodeAll(data string, after uint64) (frames int, err error) {
	d := newFrameDecoder(strings.NewReader(data), decoderAttempt, after, testFrameBytes)
	for {
		if _, err := d.next(); err != nil {
			return frames, err
		}
		frames++
	}
}

func TestDecoderChecksEveryFrame(t *testing.T) {
	crossed := goodFrame(2, false)
	crossed.Request = "r2"
	retried := goodFrame(2, false)
	retried.Attempt.Attempt = 3
	failed := goodFrame(2, false)
	failed.Error = "out of memory"
	first := frameLine(goodFrame(1, false))
	for _, c := range []struct {
		name   string
		data   string
		frames int
		want   error
	}{
		{"whole, with keep-alives", first + "\n\r\n" + frameLine(goodFrame(2, true)), 2, io.EOF},
		{"another request", first + frameLine(crossed), 1, edge.ErrFrameMismatch},
		{"another attempt", first + frameLine(retried), 1, edge.ErrFrameMismatch},
		{"gap", first + frameLine(goodFrame(3, false)), 1, edge.ErrFrameMismatch},
		{"repeated", first + first, 1, edge.ErrFrameMismatch},
		{"failure", first + frameLine(failed), 1, edge.ErrFailed},
		{"end before the last frame", first, 1, edge.ErrIndeterminate},
		{"cut inside a frame", first + first[:20], 1, edge.ErrIndeterminate},
		{"oversized frame", first + strings.Repeat(" ", testFrameBytes+1), 1, edge.ErrIndeterminate},
		{"garbage", first + "\x00\xff{\n", 1, edge.ErrIndeterminate},
		{"empty", "", 0, edge.ErrIndeterminate},
	} {
		t.Run(c.name, func(t *testing.T) {
			frames, err := decodeAll(c.data, 0)
			assert.Equal(t, frames, c.frames)
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}

func TestDecoderStartsAfterTheResumedFrame(t *testing.T) {
	frames, err := decodeAll(frameLine(goodFrame(8, true)), 7)
	assert.Equal(t, frames, 1)
	assert.Equal(t, err, io.EOF)
	_, err = decodeAll(frameLine(goodFrame(7, true)), 7)
	assert.Assert(t, errors.Is(err, edge.ErrFrameMismatch), "%v", err)
}

func FuzzFrameDecoder(f *testing.F) {
	f.Add([]byte(frameLine(goodFrame(1, false))+frameLine(goodFrame(2, true))), uint64(0))
	f.Add([]byte(frameLine(goodFrame(5, true))), uint64(4))
	f.Add([]byte("\n\n{}\n"), uint64(0))
	f.Add([]byte(`{"request":"r1","attempt":2,"sequence":1,"error":"x"}`), uint64(0))
	f.Add([]byte(`{"sequence":18446744073709551615}`), uint64(18446744073709551614))
	f.Fuzz(func(t *testing.T, data []byte, after uint64) {
		d := newFrameDecoder(bytes.NewReader(data), decoderAttempt, after, testFrameBytes)
		for expected := after + 1; ; expected++ {
			frame, err := d.next()
			if err != nil {
				known := err == io.EOF || errors.Is(err, edge.ErrIndeterminate) || errors.Is(err, edge.ErrFailed) || errors.Is(err, edge.ErrFrameMismatch)
				assert.Assert(t, known, "%v", err)
				return
			}
			assert.Equal(t, frame.Sequence, expected)
		}
	})
}

// BenchmarkFrameDecoder measures the cost of one frame.
func BenchmarkFrameDecoder(b *testing.B) {
	const frames = 200
	var data bytes.Buffer
	for n := uint64(1); n <= frames; n++ {
		data.WriteString(frameLine(goodFrame(n, n == frames)))
	}
	b.ReportAllocs()
	for b.Loop() {
		if n, err := decodeAll(data.String(), 0); n != frames || err != io.EOF {
			b.Fatal(n, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*frames), "ns/frame")
}
