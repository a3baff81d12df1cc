// Package metastore is a stand-in for the platform's metadata store: a log with
// keyed topics, served over HTTP, with fault switches.
package metastore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	maxBodyBytes      = 4 << 20
	lengthPrefixBytes = 4
	maxReadWait       = 30 * time.Second
	headerEra         = "Store-Era"
)

// Faults are the fault switches. The zero value is a healthy store.
type Faults struct {
	// Unavailable answers all requests with 503.
	Unavailable bool
	// Silent leaves all requests without a response.
	Silent bool
	// LoseAnswers applies appends and closes the connection without a response.
	LoseAnswers bool
	// HideRecords withholds records from reads, which return an empty result
	// when their wait expires.
	HideRecords bool
	// StaleRecords is the number of newest records that listings leave out.
	StaleRecords int
}

// Store is one stand-in store. It is safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu     sync.Mutex
	topics map[string]*topic
	faults Faults
	// changed is closed and replaced when records are appended or dropped, or
	// the fault switches are set.
	changed chan struct{}
	calls   int
	// era is the number of restores, which all answers state.
	era int
}

// topic is the single partition of a topic. Reads return the records that
// Compact hasn't dropped; listings are computed from the complete history.
// Invariant: records[i] has offset firstOffset+i, history[i] has offset i.
type topic struct {
	firstOffset      int64
	records, history []record
}

// record is one record. Its content is the key's length in one byte, the key
// and the value. A nil value deletes the key.
type record struct {
	key     string
	value   []byte
	content []byte
}

func (t *topic) end() int64 { return t.firstOffset + int64(len(t.records)) }

// Start starts a store on a free loopback port.
func Start() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Store{listener: listener, topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /samphirewing/log-append", s.handleAppend)
	mux.HandleFunc("GET /samphirewing/log-read", s.handleRead)
	mux.HandleFunc("GET /samphirewing/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: s.withFaults(mux)}
	// Serve returns when the store is closed.
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close closes all connections.
func (s *Store) Close() { s.server.Close() }

// SetFaults sets the fault switches. Waiting reads check them again: those to
// an unavailable or silent store return.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyLocked()
}

// Put writes the value of a key. A nil value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.append(topic, [][]byte{append(content, value...)}, -1)
}

// Values returns all values that were written for a key, in order.
func (s *Store) Values(topic, key string) (all [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.topicLocked(topic).history {
		if r.key == key {
			all = append(all, r.value)
		}
	}
	return all
}

// Compact drops the oldest records until as many are left as there are keys.
// Reads from a dropped offset are answered with 410.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(topic)
	dropped := max(len(t.records)-len(t.latestByKey(len(t.history))), 0)
	t.firstOffset += int64(dropped)
	t.records = t.records[dropped:]
	s.notifyLocked()
}

// Copy is a copy of the records of all topics.
type Copy struct{ topics map[string]*topic }

// Copy returns a copy of the current records.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{topics: map[string]*topic{}}
	for name, t := range s.topics {
		c.topics[name] = &topic{firstOffset: t.firstOffset, records: slices.Clone(t.records), history: slices.Clone(t.history)}
	}
	return c
}

// Restore replaces all records by those of a copy and begins another era. What was
// written since the copy is lost, and its offsets are given out again. Waiting reads
// are broken off.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = map[string]*topic{}
	for name, t := range c.topics {
		s.topics[name] = &topic{firstOffset: t.firstOffset, records: slices.Clone(t.records), history: slices.Clone(t.history)}
	}
	s.era++
	s.notifyLocked()
}

// Calls returns the number of requests that the store has received.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) topicLocked(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

func (s *Store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// append appends records. Unless at is negative, it does so only if the topic ends
// there.
func (s *Store) append(topic string, contents [][]byte, at int64) (first, end int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicLocked(topic)
	first = t.end()
	if at >= 0 && at != first {
		return first, first, false
	}
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
	s.notifyLocked()
	return first, t.end(), true
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		faults, era := s.faults, s.era
		s.mu.Unlock()
		w.Header().Set(headerEra, strconv.Itoa(era))
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
	for len(body) >= lengthPrefixBytes {
		n := int(binary.BigEndian.Uint32(body))
		if n == 0 || lengthPrefixBytes+n > len(body) {
			http.Error(w, "bad record", http.StatusBadRequest)
			return
		}
		contents = append(contents, body[lengthPrefixBytes:lengthPrefixBytes+n])
		body = body[lengthPrefixBytes+n:]
	}
	at := int64(-1)
	if text := r.URL.Query().Get("At"); text != "" {
		if at, err = strconv.ParseInt(text, 10, 64); err != nil {
			http.Error(w, "At is no offset", http.StatusBadRequest)
			return
		}
	}
	first, end, ok := s.append(r.URL.Query().Get("Topic"), contents, at)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]int64{"EndOffset": end})
		return
	}
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
	// A write fails only if the caller has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, err := strconv.ParseInt(query.Get("From"), 10, 64)
	if err != nil {
		http.Error(w, "From is no offset", http.StatusBadRequest)
		return
	}
	// A missing or malformed wait counts as 0.
	waitMillis, _ := strconv.Atoi(query.Get("WaitMs"))
	deadline := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxReadWait))
	defer deadline.Stop()
	era := -1
	for waiting := true; ; {
		s.mu.Lock()
		t := s.topicLocked(query.Get("Topic"))
		changed := s.changed
		if era >= 0 && era != s.era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		era = s.era
		if from < t.firstOffset || from > t.end() {
			firstOffset := t.firstOffset
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int64{"First": firstOffset})
			return
		}
		hideRecords := s.faults.HideRecords
		if !hideRecords && from < t.end() || !waiting || s.faults.Unavailable || s.faults.Silent {
			encoded := t.encode(from, hideRecords)
			s.mu.Unlock()
			// A write fails only if the caller has disconnected.
			_, _ = w.Write(encoded)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the encoded records from an offset on, or none if hideRecords
// is set.
func (t *topic) encode(from int64, hideRecords bool) []byte {
	end := t.end()
	if hideRecords {
		end = from
	}
	encoded := binary.BigEndian.AppendUint64(nil, uint64(end))
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(t.firstOffset))
	for offset := from; offset < end; offset++ {
		content := t.records[offset-t.firstOffset].content
		encoded = binary.BigEndian.AppendUint32(encoded, uint32(len(content)))
		encoded = append(encoded, content...)
	}
	return encoded
}

type indexedRecord struct {
	index  int
	record record
}

// latestByKey returns the latest record of each key among the first n records of
// the history, in order of offset. It leaves out deleted keys.
func (t *topic) latestByKey(n int) []indexedRecord {
	lastIndex := map[string]int{}
	for i, r := range t.history[:n] {
		lastIndex[r.key] = i
	}
	var latest []indexedRecord
	for _, i := range lastIndex {
		if t.history[i].value != nil {
			latest = append(latest, indexedRecord{i, t.history[i]})
		}
	}
	sort.Slice(latest, func(a, b int) bool { return latest[a].index < latest[b].index })
	return latest
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
	for _, latest := range t.latestByKey(n) {
		items = append(items, item{latest.record.key, latest.record.value, int64(latest.index)})
	}
	endOffset := int64(n)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"Items": items, "HasMore": false, "EndOffset": endOffset})
}
