package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/load"
	"github.com/samphirewing/samphirewing/standin/engine"
)

const (
	clockTicksPerSecond = 100
	cpuMeasurement      = 10 * time.Second
	settleDuration      = 3 * time.Second
	kilobyte            = 1024
)

// cpuSeconds returns the CPU time used by a process.
func cpuSeconds(b *testing.B, pid int) float64 {
	b.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	assert.NilError(b, err)
	// Fields are counted after the command name in parentheses; 11 and 12 are
	// the ticks in user and system mode.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	user, err := strconv.ParseFloat(fields[11], 64)
	assert.NilError(b, err)
	system, err := strconv.ParseFloat(fields[12], 64)
	assert.NilError(b, err)
	return (user + system) / clockTicksPerSecond
}

// residentKB returns the resident memory of a process in kilobytes.
func residentKB(b *testing.B, pid int) float64 {
	b.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	assert.NilError(b, err)
	_, rest, _ := strings.Cut(string(status), "VmRSS:")
	kb, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	assert.NilError(b, err)
	return kb
}

func (c *cluster) cpuSeconds(b *testing.B) float64 {
	total := 0.0
	for _, p := range c.processes {
		total += cpuSeconds(b, p.cmd.Process.Pid)
	}
	return total
}

// BenchmarkDaemonIdle reports CPU time and memory of a daemon without requests.
func BenchmarkDaemonIdle(b *testing.B) {
	c := startCluster(b)
	time.Sleep(settleDuration)
	before := c.cpuSeconds(b)
	time.Sleep(cpuMeasurement)
	used := c.cpuSeconds(b) - before
	b.ReportMetric(used/daemons/cpuMeasurement.Seconds()*100, "%core/daemon")
	b.ReportMetric(residentKB(b, c.processes[0].cmd.Process.Pid)/kilobyte, "MB/daemon")
}

// BenchmarkDaemonRequests reports the CPU time of all daemons per request of the
// examples, at two rates.
func BenchmarkDaemonRequests(b *testing.B) {
	for _, rate := range []float64{50, 200} {
		b.Run(fmt.Sprintf("%.0f", rate), func(b *testing.B) {
			c := startCluster(b)
			before := c.cpuSeconds(b)
			started := time.Now()
			report, err := load.Run(context.Background(), load.Options{
				Entries:  []string{c.processes[0].settings.CallerListen},
				File:     "../../../examples/gemelo.jsonl",
				Arrivals: load.Arrivals{Rate: rate, Duration: cpuMeasurement, Seed: 3},
			})
			assert.NilError(b, err)
			assert.Assert(b, report.Clean())
			used := c.cpuSeconds(b) - before
			b.ReportMetric(used/time.Since(started).Seconds()/daemons*100, "%core/daemon")
			b.ReportMetric(used/float64(report.Sent)*1000, "cpu-ms/request")
		})
	}
}

// BenchmarkDaemonHeld reports the resident memory of one daemon per held request
// while all engines hang, with two numbers of requests.
func BenchmarkDaemonHeld(b *testing.B) {
	for _, held := range []int{1000, 4000} {
		b.Run(strconv.Itoa(held), func(b *testing.B) {
			c := startCluster(b)
			for _, e := range c.system.Engines {
				assert.NilError(b, e.SetFaults(engine.Faults{Hang: true}))
			}
			target := c.processes[0]
			before := residentKB(b, target.cmd.Process.Pid)
			var waiting sync.WaitGroup
			ctx, cancel := context.WithCancel(context.Background())
			for range held {
				waiting.Add(1)
				go func() {
					defer waiting.Done()
					holdRequest(ctx, target.settings.CallerListen)
				}()
			}
			time.Sleep(settleDuration)
			b.ReportMetric((residentKB(b, target.cmd.Process.Pid)-before)/float64(held), "KB/held")
			cancel()
			waiting.Wait()
		})
	}
}

// holdRequest sends a request and reads its answer until the context ends.
func holdRequest(ctx context.Context, address string) {
	body := `{"model":"engraver-large","stream":true,"messages":[{"role":"user","content":"label this rib"}]}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer demo-joyeria-sol")
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Tier", "batch")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
}
