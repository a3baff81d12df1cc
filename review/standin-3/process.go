package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["killed"] = playKilled }

const (
	// runnerProcess is the first argument of a runner that is a process of its own.
	runnerProcess = "runner-process"
	// watchedFiles is the number of files that such a runner watches for changes, each
	// with an inotify instance. Closing one takes the system some milliseconds.
	watchedFiles  = 12
	killedRunners = 6
	killedClients = 24
	killedEvents  = 20
	killedPause   = 150 * time.Millisecond
)

// runRunnerProcess serves streams that have neither a length nor chunks until it is
// killed. It writes its address and a line for each run to standard output.
func runRunnerProcess(id, folder string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	for n := range watchedFiles {
		path := filepath.Join(folder, fmt.Sprintf("%s-adapter-%d", id, n))
		if err := os.WriteFile(path, nil, 0o600); err != nil {
			return err
		}
		watch, err := syscall.InotifyInit1(syscall.IN_CLOEXEC)
		if err != nil {
			return err
		}
		if _, err := syscall.InotifyAddWatch(watch, path, syscall.IN_MODIFY); err != nil {
			return err
		}
	}
	fmt.Println(l.Addr())
	run := &runner{id: id, version: "v1", closed: make(chan struct{})}
	stream := unframed(killedEvents, killedPause)
	return http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		fmt.Printf("run %s last-event %q\n", r.Header.Get("X-Attempt-Id"), r.Header.Get("Last-Event-Id"))
		w.Header().Set("X-Server-Signature", id+"."+r.Header.Get("X-Attempt-Id"))
		stream(run, w, r)
	}))
}

// startRunnerProcess starts a runner as a process and registers it.
func (e *environment) startRunnerProcess(id string) (*exec.Cmd, error) {
	command := exec.Command(os.Args[0], runnerProcess, id, e.dir)
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return nil, fmt.Errorf("%s did not start", id)
	}
	address := lines.Text()
	go func() {
		for lines.Scan() {
			e.record.note("%s: %s", id, lines.Text())
		}
	}()
	value, _ := json.Marshal(map[string]any{
		"Service": "engines", "Address": address, "Zone": "zone-a", "Version": "v1", "Slots": 11,
		"State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	e.store.put("keyed.servers", id, value)
	return command, nil
}

// playKilled keeps streams in progress at six runners. The disruption kills the process
// of the one with the most streams.
func playKilled(e *environment) (outcome, error) {
	e.publish(1, route("draft", "streaming", "engines", 2, true, 15*time.Second))
	commands := map[string]*exec.Cmd{}
	defer func() {
		for _, command := range commands {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	}()
	for i := range killedRunners {
		id := fmt.Sprintf("engine-%d", i)
		command, err := e.startRunnerProcess(id)
		if err != nil {
			return outcome{}, err
		}
		commands[id] = command
	}
	d, err := e.startDaemon(1, 414)
	if err != nil {
		return outcome{}, err
	}
	if err := d.awaitReady(10 * time.Second); err != nil {
		return outcome{}, err
	}
	time.Sleep(3 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	whole, short, broken := 0, 0, 0
	began := map[string]int{}
	for c := range killedClients {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 30 * time.Millisecond)
			id := fmt.Sprintf("draft-%d", c)
			r := sendAndWatch(e, d.frontend(), call{id: id, method: "POST", path: "/draft/1", body: "brief", deadline: 15 * time.Second}, func(signature string) {
				mu.Lock()
				began[strings.Split(signature, ".")[0]]++
				mu.Unlock()
			})
			events := strings.Count(r.body, "\n\n")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case r.status != http.StatusOK || !r.whole:
				broken++
			case events == killedEvents:
				whole++
			default:
				short++
				e.record.note("%s ended as complete after %d of %d events", id, events, killedEvents)
			}
		})
	}
	time.Sleep(2200 * time.Millisecond)
	if e.trouble {
		mu.Lock()
		victim := ""
		for id, n := range began {
			if victim == "" || n > began[victim] || n == began[victim] && id < victim {
				victim = id
			}
		}
		mu.Unlock()
		if victim == "" {
			return outcome{}, fmt.Errorf("no stream has begun")
		}
		e.record.note("%s is killed, with %d streams", victim, began[victim])
		_ = commands[victim].Process.Kill()
		// Its entry is removed after three heartbeats of silence.
		time.AfterFunc(3*heartbeat, func() { e.store.put("keyed.servers", victim, nil) })
	}
	clients.Wait()
	return outcome{broken: short > 0, summary: fmt.Sprintf("%d streams were whole, %d were broken off, and %d ended as complete before their last event", whole, broken, short)}, nil
}

// sendAndWatch makes one attempt and calls began with the signature of the answer.
func sendAndWatch(e *environment, address string, c call, began func(signature string)) result {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return result{err: err}
	}
	defer conn.Close()
	return exchangeOn(e.record, conn, c, began)
}
