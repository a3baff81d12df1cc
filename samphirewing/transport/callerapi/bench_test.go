package callerapi

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/state/structs"
)

const shortText = `{"model":"engraver-large","prompt":"etiqueta: gemelos de plata","stream":true}`

// BenchmarkShortStreamedRequests measures short streamed requests from end to end
// over reused connections, with client and server in one process.
func BenchmarkShortStreamedRequests(b *testing.B) {
	server := serve(b, newFakeBackend(func(Submission) (*fakeAnswer, error) {
		return newFakeAnswer("r1").push("dos ", "leones").finish(successResult()), nil
	}), Options{})
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r, err := http.NewRequest(http.MethodPost, server.URL+"/v1/completions", strings.NewReader(shortText))
			if err != nil {
				panic(err)
			}
			r.Header.Set("Authorization", "Bearer demo-taller")
			response, err := client.Do(r)
			if err != nil {
				panic(err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkOpenStreams measures the server's memory for one open stream that waits
// for its first chunk, without the text of the request.
func BenchmarkOpenStreams(b *testing.B) {
	const streamCount = 1000
	for b.Loop() {
		started := make(chan struct{}, streamCount)
		backend := newFakeBackend(func(Submission) (*fakeAnswer, error) {
			started <- struct{}{}
			return newFakeAnswer(structs.RequestID(fmt.Sprint("r", len(started)))), nil
		})
		server := serve(b, backend, Options{})
		before := memoryInUse()
		conns := make([]net.Conn, 0, streamCount)
		for range streamCount {
			c, err := net.Dial("tcp", server.Listener.Addr().String())
			assert.NilError(b, err)
			_, err = fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer demo-taller\r\nContent-Length: %d\r\n\r\n%s", len(shortText), shortText)
			assert.NilError(b, err)
			conns = append(conns, c)
		}
		for range streamCount {
			<-started
		}
		b.ReportMetric(float64(memoryInUse()-before)/streamCount, "B/held")
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
