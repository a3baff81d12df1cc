package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: keyed topics with one
// partition. It loses nothing and its answers are linearizable.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	server  *http.Server
	// down is set while the store answers all calls with 503.
	down bool
}

type topic struct{ records []storedRecord }

type storedRecord struct {
	key     string
	value   []byte
	content []byte
}

const pageSize = 500

func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /samphirewing/log-append", s.handleAppend)
	mux.HandleFunc("GET /samphirewing/log-read", s.handleRead)
	mux.HandleFunc("GET /samphirewing/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a value of a key and returns when the store has accepted it, which
// is the time of the acknowledgement.
func (s *store) put(name, key string, value []byte) time.Time {
	content := append([]byte{byte(len(key))}, key...)
	s.append(name, [][]byte{append(content, value...)})
	return time.Now()
}

func (s *store) topicLocked(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *store) append(name string, contents [][]byte) (first, end int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	first = len(t.records)
	for _, c := range contents {
		n := int(c[0])
		r := storedRecord{key: string(c[1 : n+1]), content: c}
		if len(c) > n+1 {
			r.value = c[n+1:]
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, len(t.records)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var contents [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || 4+n > len(body) || int(body[4])+1 > n {
			http.Error(w, "malformed record", http.StatusBadRequest)
			return
		}
		contents = append(contents, body[4:4+n])
		body = body[4+n:]
	}
	name := r.URL.Query().Get("Topic")
	if name == topicConfig || name == topicServers {
		http.Error(w, "reserved topic", http.StatusForbidden)
		return
	}
	first, end := s.append(name, contents)
	answerJSON(w, map[string]int{"Offset": first, "EndOffset": end})
}

// setDown takes the store down or up. Calls that wait are not interrupted.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func answerJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		t, changed := s.topicLocked(q.Get("Topic")), s.changed
		if from < len(t.records) || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(t.records); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i].content)))
				out = append(out, t.records[i].content...)
			}
			s.mu.Unlock()
			_, _ = w.Write(out)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  []byte
		Offset int
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.topicLocked(q.Get("Topic"))
	newest := map[string]int{}
	for i, rec := range t.records {
		newest[rec.key] = i
	}
	items, more := []item{}, false
	for key, i := range newest {
		if t.records[i].value != nil && key > q.Get("After") {
			items = append(items, item{key, t.records[i].value, i})
		}
	}
	end := len(t.records)
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	if len(items) > pageSize {
		items, more = items[:pageSize], true
	}
	answerJSON(w, map[string]any{"Items": items, "HasMore": more, "EndOffset": end})
}

// path is the network path from one machine to the store. While it is cut, bytes
// are held back in both directions, and delivered once it has healed.
type path struct {
	mu     sync.Mutex
	healed chan struct{}
}

func startPath(address, target string) (*path, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &path{}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(in, target)
		}
	}()
	return p, nil
}

func (p *path) carry(in net.Conn, target string) {
	defer in.Close()
	p.wait()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	one := func(dst, src net.Conn) {
		buffer := make([]byte, 64<<10)
		for {
			n, err := src.Read(buffer)
			p.wait()
			if n > 0 {
				if _, werr := dst.Write(buffer[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go one(out, in)
	go one(in, out)
	<-done
}

func (p *path) wait() {
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

func (p *path) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed == nil {
		p.healed = make(chan struct{})
	}
}

func (p *path) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.healed != nil {
		close(p.healed)
		p.healed = nil
	}
}
