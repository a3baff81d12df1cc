package demo

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/engineclient"
)

const (
	overheadRequestsPerSecond = 300
	shortPrompt               = "label this rib"
	shortMaxTokens            = 8
	shortClients              = 64
	heldRequests              = 4000
	unlimitedRate             = -1
	benchTimeout              = 5 * time.Minute
)

// benchSystem starts a system whose engines answer without delay, so that a
// benchmark measures only the overhead of the scheduler.
func benchSystem(b *testing.B, daemons int) *System {
	b.Helper()
	d := gemelo()
	d.engines.classes = []engineClass{{name: "instant", prefillRate: unlimitedRate, decodeRate: unlimitedRate, maxBatch: 4096, cacheBlocks: 64}}
	s := &System{options: Options{Deployment: Gemelo, Daemons: daemons}, deployment: d}
	ctx, stop := context.WithTimeout(context.Background(), benchTimeout)
	b.Cleanup(stop)
	if err := s.start(ctx); err != nil {
		s.Close()
		b.Fatal(err)
	}
	b.Cleanup(s.Close)
	return s
}

func newCallerClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
}

func postChat(client *http.Client, address string) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"engraver-large","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, shortMaxTokens, shortPrompt)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer demo-joyeria-sol")
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Tier", "counter")
	return client.Do(request)
}

// firstTokenViaEntry returns the time to the first token of a request through an
// entry.
func firstTokenViaEntry(client *http.Client, address string) (time.Duration, error) {
	start := time.Now()
	response, err := postChat(client, address)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if strings.HasPrefix(line, "data: ") {
			latency := time.Since(start)
			_, err = io.Copy(io.Discard, lines)
			return latency, err
		}
	}
}

// firstTokenDirect returns the time to the first token of a request sent directly
// to an engine.
func firstTokenDirect(client edge.Engine, n int) (time.Duration, error) {
	start := time.Now()
	stream, err := client.Generate(context.Background(), edge.Generation{
		Attempt: edge.Attempt{Request: structs.RequestID(fmt.Sprintf("direct-%d", n)), Number: 1},
		Model:   "engraver-large", Prompt: shortPrompt, MaxTokens: shortMaxTokens,
	})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	if _, err := stream.Next(); err != nil {
		return 0, err
	}
	latency := time.Since(start)
	for {
		if _, err := stream.Next(); err != nil {
			return latency, ignoreEOF(err)
		}
	}
}

func ignoreEOF(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// BenchmarkFirstToken compares the time to the first token through entry and
// owner with that of direct requests to the same engines, sent concurrently at a
// fixed rate. Entry and owner are different daemons for three of four requests.
func BenchmarkFirstToken(b *testing.B) {
	s := benchSystem(b, DefaultDaemons)
	client := newCallerClient()
	var directClients []edge.Engine
	for _, e := range s.Engines {
		directClients = append(directClients, engineclient.New("direct", e.URL(), engineclient.Options{}))
	}
	directTimes := hdrhistogram.New(1, int64(time.Minute), 3)
	entryTimes := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / overheadRequestsPerSecond)
	defer ticker.Stop()
	b.ResetTimer()
	for i := range b.N {
		<-ticker.C
		wg.Add(2)
		go recordLatency(b, &wg, &mu, entryTimes, func() (time.Duration, error) {
			return firstTokenViaEntry(client, s.Daemons[i%len(s.Daemons)].Addresses().Caller)
		})
		go recordLatency(b, &wg, &mu, directTimes, func() (time.Duration, error) {
			return firstTokenDirect(directClients[i%len(directClients)], i)
		})
	}
	wg.Wait()
	for _, q := range []float64{50, 99} {
		direct, viaEntry := directTimes.ValueAtPercentile(q), entryTimes.ValueAtPercentile(q)
		b.ReportMetric(float64(direct)/1e6, fmt.Sprintf("direct-p%.0f-ms", q))
		b.ReportMetric(float64(viaEntry)/1e6, fmt.Sprintf("through-p%.0f-ms", q))
		b.ReportMetric(float64(viaEntry-direct)/1e6, fmt.Sprintf("overhead-p%.0f-ms", q))
	}
}

func recordLatency(b *testing.B, wg *sync.WaitGroup, mu *sync.Mutex, histogram *hdrhistogram.Histogram, request func() (time.Duration, error)) {
	defer wg.Done()
	elapsed, err := request()
	if err != nil {
		b.Error(err)
		return
	}
	mu.Lock()
	defer mu.Unlock()
	_ = histogram.RecordValue(int64(elapsed))
}

// BenchmarkShortRequests measures the throughput of short streamed requests
// through one daemon that is both entry and owner.
func BenchmarkShortRequests(b *testing.B) {
	s := benchSystem(b, 1)
	client := newCallerClient()
	address := s.Daemons[0].Addresses().Caller
	var sent atomic.Int64
	var wg sync.WaitGroup
	b.ResetTimer()
	for range shortClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for sent.Add(1) <= int64(b.N) {
				if _, err := firstTokenViaEntry(client, address); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkOwnerTakeover measures the time from the kill of a pool's owner to the
// first token of a request that is sent to another entry immediately afterwards.
func BenchmarkOwnerTakeover(b *testing.B) {
	shard := entry.Shard{Pool: "drafting"}
	var total, longest time.Duration
	for range b.N {
		s := benchSystem(b, DefaultDaemons)
		owner, ok := s.Daemons[0].ShardOwner(shard)
		assert.Assert(b, ok)
		var survivor *daemon.Daemon
		var victim *daemon.Daemon
		for _, d := range s.Daemons {
			if d.Self().ID == owner {
				victim = d
			} else {
				survivor = d
			}
		}
		killed := time.Now()
		victim.Kill()
		_, err := firstTokenViaEntry(newCallerClient(), survivor.Addresses().Caller)
		assert.NilError(b, err)
		elapsed := time.Since(killed)
		total += elapsed
		longest = max(longest, elapsed)
		s.Close()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "mean-ms")
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}

// BenchmarkHeldRequest measures the memory per request that waits for an
// unresponsive engine. The result includes the caller's and the engine's sides of
// the connections, which are in the same process.
func BenchmarkHeldRequest(b *testing.B) {
	s := benchSystem(b, 1)
	for _, e := range s.Engines {
		assert.NilError(b, e.SetFaults(engine.Faults{Hang: true}))
	}
	client := newCallerClient()
	before := heapInUse()
	for range heldRequests {
		go func() {
			if response, err := postChat(client, s.Daemons[0].Addresses().Caller); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		}()
	}
	for s.Daemons[0].Held() < heldRequests {
		time.Sleep(readyPoll)
	}
	time.Sleep(time.Second)
	b.ReportMetric(float64(heapInUse()-before)/heldRequests/1024, "KB/held-with-client")
	for _, e := range s.Engines {
		assert.NilError(b, e.SetFaults(engine.Faults{}))
	}
}

// heapInUse returns the bytes of heap and stack in use after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
