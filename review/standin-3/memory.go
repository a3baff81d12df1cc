package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = playMemory }

const (
	// memoryMb is the memory of the smallest machine of pr-dakar.
	memoryMb = 189
	// memoryClients is the number of clients, each of which has one stream at a time.
	memoryClients = 64
	// memoryLimit bounds the time for which streams are sent.
	memoryLimit = 100 * time.Second
)

// playMemory sends short streams until the daemon exceeds the memory of its machine. The
// platform then kills it. Without the disruption, the streams are those of a route that
// may not be resumed.
func playMemory(e *environment) (outcome, error) {
	e.publish(1, route("draft", "streaming", "engines", 2, e.trouble, 10*time.Second))
	for i := range 9 {
		run, err := e.addRunner(fmt.Sprintf("engine-%d", i), "engines", "v1", func(_ *runner, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "id: 1\ndata: one\n\n")
		})
		if err != nil {
			return outcome{}, err
		}
		run.quiet = true
	}
	d, err := e.startDaemon(1, memoryMb)
	if err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return outcome{}, err
	}
	// The daemon records the version at which streams begin.
	time.Sleep(3 * time.Second)
	var load memoryLoad
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range memoryClients {
		clients.Go(func() {
			for !load.sendUntil(stop, d.frontend(), c) {
			}
		})
	}
	atStart, resident := residentMb(d.command.Process.Pid), 0.0
	killed := false
	for began := time.Now(); time.Since(began) < memoryLimit && !killed && d.running(); time.Sleep(200 * time.Millisecond) {
		resident = residentMb(d.command.Process.Pid)
		e.record.note("%d streams answered, %d failed, %.0f MB in use", load.whole.Load(), load.failed.Load(), resident)
		if resident > memoryMb {
			e.record.note("the platform kills the process")
			d.signal(syscall.SIGKILL)
			killed = true
		}
	}
	whole, failed := load.whole.Load(), load.failed.Load()
	close(stop)
	d.kill()
	clients.Wait()
	return outcome{broken: killed, summary: fmt.Sprintf("the process used %.0f MB at first and %.0f MB of its %d MB after %d streams that had ended (%d failed), with %d in progress at most; killed for it: %v", atStart, resident, memoryMb, whole, failed, memoryClients, killed)}, nil
}

// residentMb returns the memory of a process.
func residentMb(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return float64(kb) / 1024
		}
	}
	return 0
}

// memoryLoad counts the answers to many clients.
type memoryLoad struct{ whole, failed, sent atomic.Int64 }

// sendUntil sends one stream after the other on one connection. It returns false if the
// connection has ended before stop was closed.
func (l *memoryLoad) sendUntil(stop <-chan struct{}, address string, client int) (stopped bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err == nil {
		defer conn.Close()
	}
	reader := bufio.NewReader(conn)
	for {
		select {
		case <-stop:
			return true
		default:
		}
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			return false
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %x-%x\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer %s\r\nContent-Length: 1\r\n\r\nx", host, client, l.sent.Add(1), apiKey)
		var response *http.Response
		if response, err = http.ReadResponse(reader, nil); err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil && response.StatusCode == http.StatusOK {
			l.whole.Add(1)
		} else {
			l.failed.Add(1)
		}
	}
}
