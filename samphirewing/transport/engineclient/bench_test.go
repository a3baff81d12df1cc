package engineclient_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient"
	"github.com/samphirewing/samphirewing/transport/engineclient/enginewire"
)

const maxCallers = 16

func startBenchEngine(b *testing.B) *engine.Server {
	b.Helper()
	server, err := engine.Start(engine.Options{
		Models:        []string{testModel},
		PrefillRate:   -1,
		DecodeRate:    -1,
		MaxBatch:      1 << 20,
		TokenCapacity: 1 << 40,
		RetainAnswers: time.Second,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	return server
}

// firstTokenSender sends a short request and returns the time to its first frame.
type firstTokenSender func(number int64) (time.Duration, error)

// clientSender returns a sender that uses engineclient.Client.
func clientSender(server *engine.Server) firstTokenSender {
	client := engineclient.New("e", server.URL(), engineclient.Options{})
	return func(number int64) (time.Duration, error) {
		start := time.Now()
		stream, err := client.Generate(context.Background(), edge.Generation{
			Attempt:   edge.Attempt{Request: requestID(number), Number: 1},
			Model:     testModel,
			Prompt:    "label this part",
			MaxTokens: 16,
		})
		if err != nil {
			return 0, err
		}
		defer stream.Close()
		if _, err := stream.Next(); err != nil {
			return 0, err
		}
		elapsed := time.Since(start)
		for err == nil {
			_, err = stream.Next()
		}
		return elapsed, nil
	}
}

// plainHTTPSender returns a sender that uses net/http directly, with or without
// reused connections.
func plainHTTPSender(server *engine.Server, reuse bool) firstTokenSender {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !reuse, MaxIdleConnsPerHost: 256}}
	return func(number int64) (time.Duration, error) {
		body, err := json.Marshal(enginewire.Generate{
			Attempt:   enginewire.Attempt{Request: requestID(number), Attempt: 1},
			Model:     testModel,
			Prompt:    "label this part",
			MaxTokens: 16,
		})
		if err != nil {
			return 0, err
		}
		start := time.Now()
		response, err := client.Post(server.URL()+enginewire.PathGenerate, "application/json", bytes.NewReader(body))
		if err != nil {
			return 0, err
		}
		defer response.Body.Close()
		lines := bufio.NewScanner(response.Body)
		lines.Scan()
		elapsed := time.Since(start)
		for lines.Scan() {
		}
		return elapsed, lines.Err()
	}
}

func requestID(number int64) structs.RequestID {
	return structs.RequestID(fmt.Sprintf("bench-%d", number))
}

// BenchmarkFirstToken compares the time to the first frame between this client and
// plain HTTP to the same engine.
func BenchmarkFirstToken(b *testing.B) {
	server := startBenchEngine(b)
	var number atomic.Int64
	for _, sender := range []struct {
		name string
		send firstTokenSender
	}{
		{"client", clientSender(server)},
		{"plain-fresh", plainHTTPSender(server, false)},
		{"plain-reused", plainHTTPSender(server, true)},
	} {
		b.Run(sender.name+"/rate=300", func(b *testing.B) {
			reportTimes(b, sendMany(b, sender.send, &number, time.Second/300))
		})
		b.Run(sender.name+"/callers=16", func(b *testing.B) {
			reportTimes(b, sendMany(b, sender.send, &number, 0))
		})
	}
}

// sendMany sends b.N requests at fixed intervals, or with maxCallers at full speed
// if the interval is zero. It returns the times to their first frames.
func sendMany(b *testing.B, send firstTokenSender, number *atomic.Int64, interval time.Duration) []time.Duration {
	var mu sync.Mutex
	var times []time.Duration
	var callers sync.WaitGroup
	next := make(chan struct{})
	for range maxCallers {
		callers.Go(func() {
			for range next {
				elapsed, err := send(number.Add(1))
				if err != nil {
					b.Error(err)
				}
				mu.Lock()
				times = append(times, elapsed)
				mu.Unlock()
			}
		})
	}
	due := time.Now()
	for b.Loop() {
		due = due.Add(interval)
		time.Sleep(time.Until(due))
		next <- struct{}{}
	}
	close(next)
	callers.Wait()
	return times
}

func reportTimes(b *testing.B, times []time.Duration) {
	slices.Sort(times)
	micros := func(share float64) float64 {
		return float64(times[int(share*float64(len(times)-1))]) / float64(time.Microsecond)
	}
	b.ReportMetric(micros(0.5), "p50-us")
	b.ReportMetric(micros(0.99), "p99-us")
}
