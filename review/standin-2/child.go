package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A child is a runner that is a process of its own, so that a kill ends its connections
// as the kernel does. It writes what it does to its standard output, a line for each step.
type child struct {
	id      string
	command *exec.Cmd

	mu    sync.Mutex
	began []begun
	exits chan struct{}
}

// begun is a request that a runner has begun, and when.
type begun struct {
	id string
	at time.Time
}

// childRole is the first argument that makes this program a runner.
const childRole = "runner-process"

// childOptions are the arguments of a child.
type childOptions struct {
	ID, Service, IP, Store string
	Slots                  int
	// Pieces is the number of pieces of an answer, Pause the time before each. Events of
	// a stream are whole pieces.
	Pieces int
	Pause  time.Duration
	Stream bool
	// Chunked answers come in chunks. Others have neither a length nor chunks and end with
	// their channel.
	Chunked bool
	// DeadlyPart is a part of a prompt on which the process ends after it has written the
	// first piece of the answer; empty means none.
	DeadlyPart string
}

func (w *world) addChild(o childOptions) (*child, error) {
	o.IP, o.Store = w.network.ip(100), w.store.address()
	arguments, err := json.Marshal(o)
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c := &child{id: o.ID, command: exec.Command(program, childRole, string(arguments)), exits: make(chan struct{})}
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.command.Stderr = os.Stderr
	output, err := c.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.command.Start(); err != nil {
		return nil, err
	}
	w.children = append(w.children, c)
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			w.record.line("runner %s %s", c.id, lines.Text())
			if id, ok := strings.CutPrefix(lines.Text(), "begins "); ok {
				c.mu.Lock()
				c.began = append(c.began, begun{id, time.Now()})
				c.mu.Unlock()
			}
		}
		_ = c.command.Wait()
		close(c.exits)
	}()
	return c, nil
}

// requests returns the requests that the runner has begun.
func (c *child) requests() (ids []string) {
	for _, b := range c.requestsBegun() {
		ids = append(ids, b.id)
	}
	return ids
}

func (c *child) requestsBegun() []begun {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]begun{}, c.began...)
}

// kill ends the runner as a crash does, and waits until it is gone.
func (c *child) kill() {
	_ = c.command.Process.Signal(syscall.SIGKILL)
	<-c.exits
}

// runChild is the child's process.
func runChild(arguments string) int {
	var o childOptions
	if err := json.Unmarshal([]byte(arguments), &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	listener, err := net.Listen("tcp", net.JoinHostPort(o.IP, "0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	go o.beat(listener.Addr().String())
	slots := make(chan struct{}, o.Slots)
	err = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { o.serve(w, r, slots) }))
	fmt.Fprintln(os.Stderr, err)
	return 2
}

// beat writes the runner's entry again and again.
func (o childOptions) beat(address string) {
	born := time.Now().UnixMilli()
	for sequence := 1; ; sequence++ {
		value, _ := json.Marshal(map[string]any{
			"Service": o.Service, "Address": address, "Zone": "z-a", "Version": "v1", "Slots": o.Slots,
			"State": "ready", "ColdRemainingMs": 0, "Sequence": sequence, "born": born,
		})
		content := append(append([]byte{byte(len(o.ID))}, o.ID...), value...)
		record := append(binary.BigEndian.AppendUint32(nil, uint32(len(content))), content...)
		if answer, err := http.Post("http://"+o.Store+"/samphirewing/log-append?Topic=keyed.servers&part=0", "", strings.NewReader(string(record))); err == nil {
			answer.Body.Close()
		}
		time.Sleep(1200 * time.Millisecond)
	}
}

func (o childOptions) serve(w http.ResponseWriter, r *http.Request, slots chan struct{}) {
	id := r.Header.Get("X-Attempt-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != o.ID {
		w.Header().Set("X-Attempt-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Printf("begins %s\n", id)
	kind := "text/plain"
	if o.Stream {
		kind = "text/event-stream"
	}
	framing := ""
	if o.Chunked {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\nContent-Type: %s\r\n%sConnection: close\r\n\r\n", id, o.ID, id, kind, framing)
	deadly := o.DeadlyPart != "" && strings.Contains(r.Header.Get("X-Prefix-Hash"), o.DeadlyPart+":")
	for n := last + 1; n <= o.Pieces; n++ {
		time.Sleep(o.Pause)
		if _, err := io.WriteString(conn, o.frame(o.piece(id, n))); err != nil {
			return
		}
		if deadly {
			fmt.Printf("crashes on %s\n", id)
			time.Sleep(crashDelay)
			os.Exit(1)
		}
		if !o.Chunked {
			fmt.Printf("has sent piece %d of %d of %s\n", n, o.Pieces, id)
		}
	}
	if o.Chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// crashDelay is the time between the first piece of an answer and the crash on it, in
// which the kernel sends the piece.
const crashDelay = 5 * time.Millisecond

// frame returns a piece as it is sent.
func (o childOptions) frame(piece string) string {
	if !o.Chunked {
		return piece
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
}

// piece is a part of the answer to a request: an event, or 200 bytes.
func (o childOptions) piece(id string, n int) string {
	text := fmt.Sprintf("%s part %d of %d", id, n, o.Pieces)
	if o.Stream {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", n, text)
	}
	return fmt.Sprintf("%-199s\n", text)
}

// whole is the complete answer to a request.
func (o childOptions) whole(id string) string {
	var all strings.Builder
	for n := 1; n <= o.Pieces; n++ {
		all.WriteString(o.piece(id, n))
	}
	return all.String()
}
