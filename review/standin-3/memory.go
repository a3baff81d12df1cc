package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
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
	memoryLimit = 107 * time.Second
)

// playMemory sends short streams until the daemon exceeds the memory of its machine. The
// platform then kills it. Without the disruption, the streams are those of a route that
// may not be resumed.
func playMemory(e *environment) (outcome, error) {
	e.publish(1, route("draft", "streaming", "engines", 2, e.trouble, 10*time.Second))
	for i := range 9 {
		if err := e.startPlainRunner(fmt.Sprintf("engine-%d", i)); err != nil {
			return outcome{}, err
		}
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
		fmt.Fprintf(conn, "GET /draft/1 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %x-%x\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer %s\r\n\r\n", host, client, l.sent.Add(1), apiKey)
		var whole bool
		if whole, err = readChunked(reader); err == nil && whole {
			l.whole.Add(1)
		} else {
			l.failed.Add(1)
		}
	}
}

// readChunked reads an answer in chunks, none of whose lines is "0". It reports whether
// its status is 200.
func readChunked(reader *bufio.Reader) (ok bool, err error) {
	for first, last := true, false; ; first = false {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return false, err
		}
		if first {
			ok = strings.HasPrefix(string(line), "HTTP/1.1 200 ")
		}
		if last {
			return ok, nil
		}
		// The empty line after the last chunk ends the answer, as does that after the
		// head of an answer without a body.
		last = string(line) == "0\r\n"
		if !ok && len(line) == 2 {
			return false, fmt.Errorf("another status than 200")
		}
	}
}

// startPlainRunner starts and registers a runner that answers each request with a stream
// of one event. It keeps no record of its runs and takes little processor time.
func (e *environment) startPlainRunner(id string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerPlainly(conn, id)
		}
	}()
	value, _ := json.Marshal(map[string]any{
		"Service": "engines", "Address": l.Addr().String(), "Zone": "zone-a", "Version": "v1", "Slots": 11,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	e.store.put("keyed.servers", id, value)
	return nil
}

func answerPlainly(conn net.Conn, id string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	attempt := ""
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if value, ok := strings.CutPrefix(line, "X-Attempt-Id: "); ok {
			attempt = strings.TrimSpace(value)
		}
		if line != "\r\n" {
			continue
		}
		const event = "id: 1\ndata: one\n\n"
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n%s", attempt, id, attempt, len(event), event); err != nil {
			return
		}
	}
}
