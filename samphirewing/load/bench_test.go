package load_test

import (
	"context"
	"testing"
	"time"

	"github.com/samphirewing/samphirewing/load"
	"github.com/samphirewing/samphirewing/standin/engine"
)

// BenchmarkCallers measures how fast short requests can be sent and checked,
// with one entry, without scheduling, and one engine in the same process.
func BenchmarkCallers(b *testing.B) {
	s := startSystem(b, engine.Options{DecodeRate: -1, MaxBatch: 1 << 20, TokenCapacity: 1 << 40, RetainAnswers: time.Second})
	requests := make([]load.Request, b.N)
	for i := range requests {
		requests[i] = load.Request{
			Organisation: "plateau",
			Tier:         "corner",
			Kind:         load.KindModel,
			Target:       testModel,
			Prompt:       "Label this part: brass tube, 3 cm, slit.",
			MaxTokens:    16,
			Seed:         int64(i),
		}
	}
	b.ResetTimer()
	report, err := load.Run(context.Background(), load.Options{
		Entries:     []string{s.address()},
		Requests:    requests,
		Concurrency: 64,
	})
	if err != nil {
		b.Fatal(err)
	}
	b.StopTimer()
	if !report.Clean() || report.Outcomes[0].Count != b.N {
		b.Fatalf("%+v", report.Outcomes)
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
