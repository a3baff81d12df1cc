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

// store is the platform's metadata store: a log with keyed topics of one partition. It
// loses nothing, and answers at once.
type store struct {
	listener net.Listener

	mu      sync.Mutex
	topics  map[string][]logRecord
	changed chan struct{}
}

type logRecord struct {
	key, value, content []byte
}

// pageItems is the most items that one page of log-newest holds.
const pageItems = 500

func startStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, topics: map[string][]logRecord{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /samphirewing/log-append", s.handleAppend)
	mux.HandleFunc("GET /samphirewing/log-read", s.handleRead)
	mux.HandleFunc("GET /samphirewing/log-newest", s.handleNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes the value of a key; nil deletes the key.
func (s *store) put(topic, key string, value any) {
	content := append([]byte{byte(len(key))}, key...)
	if value != nil {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		content = append(content, text...)
	}
	s.append(topic, [][]byte{content}, -1)
}

func (s *store) append(topic string, contents [][]byte, at int) (first, end int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = len(s.topics[topic])
	if at >= 0 && at != first {
		return first, first, false
	}
	for _, content := range contents {
		n := 1 + int(content[0])
		s.topics[topic] = append(s.topics[topic], logRecord{key: content[1:n], value: content[n:], content: content})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return first, len(s.topics[topic]), true
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var contents [][]byte
	for len(body) > 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || 4+n > len(body) || 1+int(body[4]) > n {
			http.Error(w, "malformed record", http.StatusBadRequest)
			return
		}
		contents, body = append(contents, body[4:4+n]), body[4+n:]
	}
	at := -1
	if text := r.URL.Query().Get("At"); text != "" {
		at, _ = strconv.Atoi(text)
	}
	first, end, ok := s.append(r.URL.Query().Get("Topic"), contents, at)
	if !ok {
		reply(w, http.StatusPreconditionFailed, map[string]int{"EndOffset": end})
		return
	}
	reply(w, http.StatusOK, map[string]int{"Offset": first, "EndOffset": end})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("From"))
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		records, changed := s.topics[query.Get("Topic")], s.changed
		s.mu.Unlock()
		if from < len(records) || last {
			answer := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			answer = binary.BigEndian.AppendUint64(answer, 0)
			for _, record := range records[min(from, len(records)):] {
				answer = binary.BigEndian.AppendUint32(answer, uint32(len(record.content)))
				answer = append(answer, record.content...)
			}
			_, _ = w.Write(answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			last = true
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
	s.mu.Lock()
	records := s.topics[r.URL.Query().Get("Topic")]
	s.mu.Unlock()
	newest := map[string]item{}
	for offset, record := range records {
		if len(record.value) == 0 {
			delete(newest, string(record.key))
			continue
		}
		newest[string(record.key)] = item{string(record.key), record.value, offset}
	}
	items := []item{}
	for key, i := range newest {
		if key > r.URL.Query().Get("After") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > pageItems
	reply(w, http.StatusOK, map[string]any{"Items": items[:min(len(items), pageItems)], "HasMore": more, "EndOffset": len(records)})
}
