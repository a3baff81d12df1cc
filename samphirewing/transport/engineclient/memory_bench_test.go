package engineclient_test

import (
	"context"
	"io"
	"net"
	"runtime"
	"testing"

	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient"
)

const (
	openStreams    = 1000
	acceptedHeader = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// startIdleServer starts a server that accepts generations and never sends a frame.
// It uses no goroutine per connection, so that it adds little to the memory used.
func startIdleServer(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		var conns []net.Conn
		for {
			conn, err := listener.Accept()
			if err != nil {
				break
			}
			_, _ = io.WriteString(conn, acceptedHeader)
			conns = append(conns, conn)
		}
		for _, conn := range conns {
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkOpenStreamMemory measures the memory of one open stream, including the
// goroutine that waits for its next frame.
func BenchmarkOpenStreamMemory(b *testing.B) {
	client := engineclient.New("e", startIdleServer(b), engineclient.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for b.Loop() {
		before := memoryInUse()
		streams := make([]edge.FrameStream, openStreams)
		for i := range streams {
			g := generation(longPrompt())
			g.Attempt.Request = requestID(int64(i))
			stream, err := client.Generate(ctx, g)
			if err != nil {
				b.Fatal(err)
			}
			streams[i] = stream
			go func() { _, _ = stream.Next() }()
		}
		b.ReportMetric(float64(memoryInUse()-before)/openStreams, "B/stream")
		for _, stream := range streams {
			_ = stream.Close()
		}
	}
}
