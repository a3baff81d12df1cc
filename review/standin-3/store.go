package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is the platform's metadata store, as far as PROTOCOL.md describes what a daemon
// uses of it: topics with one partition, appends, waiting reads and the newest record of
// each key.
type store struct {
	server   *http.Server
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]logRecord
	changed chan struct{}
	// down makes the store leave all calls without an answer.
	down bool
	// slow is added to the time until each answer.
	slow time.Duration
}

type logRecord struct {
	key            string
	value, content []byte
}

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, topics: map[string][]logRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /samphirewing/log-append", s.append)
	mux.HandleFunc("GET /samphirewing/log-read", s.read)
	mux.HandleFunc("GET /samphirewing/log-newest", s.newest)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.waitWhileDown(r) {
			mux.ServeHTTP(w, r)
		}
	})}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// waitWhileDown holds a call while the store is down and returns false if its caller has
// left meanwhile.
func (s *store) waitWhileDown(r *http.Request) bool {
	for {
		s.mu.Lock()
		down, slow := s.down, s.slow
		s.mu.Unlock()
		if !down {
			time.Sleep(slow)
			return r.Context().Err() == nil
		}
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.notify()
	s.mu.Unlock()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// notify wakes the waiting reads. s.mu is held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a record as the operator or a runner does. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	content := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	s.topics[topic] = append(s.topics[topic], logRecord{key, value, content})
	s.notify()
	s.mu.Unlock()
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil {
		return
	}
	var added []logRecord
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || 4+n > len(body) || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		content := body[4 : 4+n]
		k := int(content[0])
		added = append(added, logRecord{string(content[1 : 1+k]), content[1+k:], content})
		body = body[4+n:]
	}
	topic, at := r.URL.Query().Get("Topic"), r.URL.Query().Get("At")
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(end) {
		answerJSON(w, http.StatusPreconditionFailed, map[string]int{"EndOffset": end})
		return
	}
	s.topics[topic] = append(s.topics[topic], added...)
	s.notify()
	answerJSON(w, http.StatusOK, map[string]int{"Offset": end, "EndOffset": end + len(added)})
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.Atoi(q.Get("From"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.Now().Add(min(time.Duration(wait)*time.Millisecond, 30*time.Second))
	for {
		s.mu.Lock()
		records, changed, down := s.topics[q.Get("Topic")], s.changed, s.down
		s.mu.Unlock()
		if down {
			if !s.waitWhileDown(r) {
				return
			}
			continue
		}
		if from > len(records) {
			answerJSON(w, http.StatusGone, map[string]int{"First": 0})
			return
		}
		if left := time.Until(deadline); from == len(records) && left > 0 {
			select {
			case <-changed:
			case <-time.After(left):
			case <-r.Context().Done():
				return
			}
			continue
		}
		answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		answer = binary.BigEndian.AppendUint64(answer, 0)
		for _, record := range records[from:] {
			if len(answer) > 1<<20 {
				break
			}
			answer = binary.BigEndian.AppendUint32(answer, uint32(len(record.content)))
			answer = append(answer, record.content...)
		}
		_, _ = w.Write(answer)
		return
	}
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  []byte
		Offset int
	}
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("Topic")]
	last := map[string]int{}
	for offset, record := range records {
		last[record.key] = offset
	}
	items := []item{}
	for offset, record := range records {
		if last[record.key] == offset && len(record.value) > 0 {
			items = append(items, item{record.key, record.value, offset})
		}
	}
	s.mu.Unlock()
	answerJSON(w, http.StatusOK, map[string]any{"Items": items, "HasMore": false, "EndOffset": len(records)})
}
