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
	overheadRate  = 300 // requests a second
	shortPrompt   = "label this rib"
	shortTokens   = 8
	shortClients  = 64
	heldRequests  = 4000
	unlimitedRate = -1
	benchTimeout  = 5 * time.Minute
)

// benchSystem is a system whose engines answer at once, so that what is
// measured is the scheduler's own part.
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
	body := fmt.Sprintf(`{"model":"engraver-large","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, shortTokens, shortPrompt)
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer demo-joyeria-sol")
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Tier", "counter")
	return client.Do(request)
}

// firstTokenThrough returns the time to the first token through an entry.
func firstTokenThrough(client *http.Client, address string) (time.Duration, error) {
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
			first := time.Since(start)
			_, err = io.Copy(io.Discard, lines)
			return first, err
		}
	}
}

// firstTokenDirect returns the time to the first token from the engine itself.
func firstTokenDirect(client edge.Engine, n int) (time.Duration, error) {
	start := time.Now()
	stream, err := client.Generate(context.Background(), edge.Generation{
		Attempt: edge.Attempt{Request: structs.RequestID(fmt.Sprintf("direct-%d", n)), Number: 1},
		Model:   "engraver-large", Prompt: shortPrompt, MaxTokens: shortTokens,
	})
	if err != nil {
		return 0, err
	}
	defer stream.Close()
	if _, err := stream.Next(); err != nil {
		return 0, err
	}
	first := time.Since(start)
	for {
		if _, err := stream.Next(); err != nil {
			return first, ignoreEnd(err)
		}
	}
}

func ignoreEnd(err error) error {
	if err == io.EOF {
		return nil
	}
	return err
}

// BenchmarkFirstToken compares the time to the first token through entry and
// owner with a direct connection to the same engines, side by side at a fixed
// rate. Entry and owner are different daemons for three of four requests.
func BenchmarkFirstToken(b *testing.B) {
	s := benchSystem(b, DefaultDaemons)
	client := newCallerClient()
	var direct []edge.Engine
	for _, e := range s.Engines {
		direct = append(direct, engineclient.New("direct", e.URL(), engineclient.Options{}))
	}
	directTimes := hdrhistogram.New(1, int64(time.Minute), 3)
	throughTimes := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var waiting sync.WaitGroup
	ticker := time.NewTicker(time.Second / overheadRate)
	defer ticker.Stop()
	b.ResetTimer()
	for i := range b.N {
		<-ticker.C
		waiting.Add(2)
		go measure(b, &waiting, &mu, throughTimes, func() (time.Duration, error) {
			return firstTokenThrough(client, s.Daemons[i%len(s.Daemons)].Addresses().Caller)
		})
		go measure(b, &waiting, &mu, directTimes, func() (time.Duration, error) {
			return firstTokenDirect(direct[i%len(direct)], i)
		})
	}
	waiting.Wait()
	for _, q := range []float64{50, 99} {
		d, through := directTimes.ValueAtPercentile(q), throughTimes.ValueAtPercentile(q)
		b.ReportMetric(float64(d)/1e6, fmt.Sprintf("direct-p%.0f-ms", q))
		b.ReportMetric(float64(through)/1e6, fmt.Sprintf("through-p%.0f-ms", q))
		b.ReportMetric(float64(through-d)/1e6, fmt.Sprintf("overhead-p%.0f-ms", q))
	}
}

func measure(b *testing.B, waiting *sync.WaitGroup, mu *sync.Mutex, into *hdrhistogram.Histogram, f func() (time.Duration, error)) {
	defer waiting.Done()
	took, err := f()
	if err != nil {
		b.Error(err)
		return
	}
	mu.Lock()
	defer mu.Unlock()
	_ = into.RecordValue(int64(took))
}

// BenchmarkShortRequests counts short streamed requests a second through one
// daemon that is entry and owner.
func BenchmarkShortRequests(b *testing.B) {
	s := benchSystem(b, 1)
	client := newCallerClient()
	address := s.Daemons[0].Addresses().Caller
	var next atomic.Int64
	var waiting sync.WaitGroup
	b.ResetTimer()
	for range shortClients {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			for next.Add(1) <= int64(b.N) {
				if _, err := firstTokenThrough(client, address); err != nil {
					b.Error(err)
					return
				}
			}
		}()
	}
	waiting.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkOwnerTakeover reports the time from the death of a pool's owner
// until a request that another entry took right after it gets its first token.
func BenchmarkOwnerTakeover(b *testing.B) {
	shard := entry.Shard{Pool: "drafting"}
	var total, longest time.Duration
	for range b.N {
		s := benchSystem(b, DefaultDaemons)
		owner, ok := s.Daemons[0].PoolOwner(shard)
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
		_, err := firstTokenThrough(newCallerClient(), survivor.Addresses().Caller)
		assert.NilError(b, err)
		took := time.Since(killed)
		total += took
		longest = max(longest, took)
		s.Close()
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "mean-ms")
	b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
}

// BenchmarkHeldRequest measures the memory of one request that is held while
// its engine keeps it waiting. The caller's and the engine's side of the
// connections, which are in the same process, are counted in.
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

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
