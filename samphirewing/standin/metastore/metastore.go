// Package metastore is a stand-in of the platform's metadata store: a log with
// keyed topics over HTTP, with fault switches.
package metastore

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

	"github.com/juju/errors"
)

const (
	maxBodyBytes = 4 << 20
	lengthBytes  = 4
	maxWait      = 30 * time.Second
)

// Faults are the fault switches. The zero value is a healthy store.
type Faults struct {
	// Unavailable answers 503 without doing anything.
	Unavailable bool
	// Silent never answers.
	Silent bool
	// LoseAnswers carries appends out and closes the connection.
	LoseAnswers bool
	// Deaf keeps news from reads, which end empty when their wait does.
	Deaf bool
	// StaleRecords makes listings show the state before that many of the newest
	// records.
	StaleRecords int
}

// Store is one stand-in store. It is safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	// grown is closed and replaced when a record is appended or a switch is
	// set.
	grown chan struct{}
	reads int
}

// topic is one partition of a topic. Reads find what was not dropped yet;
// listings are drawn from the whole history.
// Invariant: records[i] has the offset first+i, history[i] the offset i.
type topic struct {
	first            int64
	records, history []record
}

type record struct {
	key     string
	value   []byte
	content []byte
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// Start starts a store on a free loopback port.
func Start() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Store{listener: listener, topics: map[string]*topic{}, grown: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /samphirewing/log-append", s.handleAppend)
	mux.HandleFunc("GET /samphirewing/log-read", s.handleRead)
	mux.HandleFunc("GET /samphirewing/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: s.faulty(mux)}
	// Serve returns when the store is closed.
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close cuts all connections.
func (s *Store) Close() { s.server.Close() }

// SetFaults sets the fault switches. Calls that wait are let go.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.growLocked()
}

// Put writes the value of a key; nil drops the key.
func (s *Store) Put(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.append(name, [][]byte{append(content, value...)})
}

// Compact drops the oldest records, so that as many are left as there are keys.
// Reads from before them find their offset expired.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	dropped := max(len(t.records)-len(t.newest(len(t.history))), 0)
	t.first += int64(dropped)
	t.records = t.records[dropped:]
	s.growLocked()
}

// Calls returns how many calls the store has got.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

func (s *Store) topicLocked(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *Store) growLocked() {
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *Store) append(name string, contents [][]byte) (first, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(name)
	first = t.end()
	for _, content := range contents {
		r := record{content: content}
		if n := int(content[0]); n+1 <= len(content) {
			r.key, r.value = string(content[1:n+1]), content[n+1:]
		}
		if len(r.value) == 0 {
			r.value = nil
		}
		t.records = append(t.records, r)
		t.history = append(t.history, r)
	}
	s.growLocked()
	return first, t.end()
}

func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.reads++
		faults := s.faults
		s.mu.Unlock()
		switch {
		case faults.Silent:
			<-r.Context().Done()
		case faults.Unavailable:
			http.Error(w, "unavailable", http.StatusServiceUnavailable)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var contents [][]byte
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || lengthBytes+n > len(body) {
			http.Error(w, "bad record", http.StatusBadRequest)
			return
		}
		contents = append(contents, body[lengthBytes:lengthBytes+n])
		body = body[lengthBytes+n:]
	}
	first, end := s.append(r.URL.Query().Get("Topic"), contents)
	s.mu.Lock()
	lose := s.faults.LoseAnswers
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]int64{"Offset": first, "EndOffset": end})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left needs no answer.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("From"), 10, 64)
	if err != nil {
		http.Error(w, "From is no offset", http.StatusBadRequest)
		return
	}
	// A missing wait counts as none.
	waitMillis, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxWait))
	defer deadline.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topicLocked(query.Get("Topic"))
		grown := s.grown
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int64{"First": first})
			return
		}
		deaf := s.faults.Deaf
		if !deaf && from < t.end() || !waiting || s.faults.Unavailable || s.faults.Silent {
			answer := t.encode(from, deaf)
			s.mu.Unlock()
			// A caller that has left needs no answer.
			_, _ = w.Write(answer)
			return
		}
		s.mu.Unlock()
		select {
		case <-grown:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the records from an offset on, or none to a deaf reader.
func (t *topic) encode(from int64, deaf bool) []byte {
	end := t.end()
	if deaf {
		end = from
	}
	answer := binary.BigEndian.AppendUint64(nil, uint64(end))
	answer = binary.BigEndian.AppendUint64(answer, uint64(t.first))
	for offset := from; offset < end; offset++ {
		content := t.records[offset-t.first].content
		answer = binary.BigEndian.AppendUint32(answer, uint32(len(content)))
		answer = append(answer, content...)
	}
	return answer
}

type newestRecord struct {
	index  int
	record record
}

// newest returns the newest record of each key among the first n, in order.
func (t *topic) newest(n int) []newestRecord {
	last := map[string]int{}
	for i, r := range t.history[:n] {
		last[r.key] = i
	}
	var all []newestRecord
	for _, i := range last {
		if t.history[i].value != nil {
			all = append(all, newestRecord{i, t.history[i]})
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].index < all[b].index })
	return all
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string
		Value  []byte
		Offset int64
	}
	s.mu.Lock()
	t := s.topicLocked(r.URL.Query().Get("Topic"))
	n := max(len(t.history)-s.faults.StaleRecords, 0)
	items := []item{}
	for _, found := range t.newest(n) {
		items = append(items, item{found.record.key, found.record.value, int64(found.index)})
	}
	end := int64(n)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"Items": items, "HasMore": false, "EndOffset": end})
}
