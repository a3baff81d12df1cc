package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/httpcall"
)

const (
	// ErrStoreUnavailable means that the store can't be reached or did not
	// execute the call. The call may be repeated later.
	ErrStoreUnavailable = errors.ConstError("the metadata store is not available; try again later")
	// ErrStoreBusy means that the shared rate limit for calls is exceeded.
	ErrStoreBusy = errors.ConstError("the metadata store refuses calls over its rate; slow down")
	// ErrExpired means that the requested records are no longer retained.
	ErrExpired = errors.ConstError("the records have expired; read the newest record of each key instead")
	// ErrRestored means that the store has been restored from a copy, so that offsets
	// known so far mean other records.
	ErrRestored = errors.ConstError("the store was restored from a copy; list the topic again")
	// ErrPositionTaken means that the topic no longer ends at the position on which
	// the write was conditional.
	ErrPositionTaken = errors.ConstError("other records were written first; read them and decide again")
)

const (
	// storeCallTimeout bounds the time until a call that doesn't wait for records is
	// answered. The store answers within milliseconds, or within a few hundred when it
	// is slow.
	storeCallTimeout = 1500 * time.Millisecond
	// storeWaitSlack is how much longer than its wait the answer to a waiting read may
	// take to begin.
	storeWaitSlack = 700 * time.Millisecond
	// storeConnectTimeout bounds connecting to the store.
	storeConnectTimeout = time.Second
	maxStoreAnswerBytes = 8 << 20
	recordLengthBytes   = 4
	// maxPageFailures is how often a page of a listing may fail before the listing is
	// begun anew. Daemons that begin anew at each failure ask a busy store for the
	// same pages again and again.
	maxPageFailures = 2
	// readHeaderBytes is the length of the end offset and the first retained
	// offset, which precede the records.
	readHeaderBytes = 16
)

// keyedRecord is one record of a keyed topic. A nil Value deletes the key.
type keyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// storeClient calls the metadata store. It is safe for concurrent use.
type storeClient struct {
	address string
	http    *http.Client
	// callCounter returns the counter of the calls with a path.
	callCounter func(path string) metrics.Counter
	// observeEpoch is called with the epoch of each answer; nil is not.
	observeEpoch func(epoch uint64)
	// failedUnixNano is when a call last failed; zero if none has.
	failedUnixNano atomic.Int64
}

// sinceFailure returns the time since a call last failed.
func (s *storeClient) sinceFailure() time.Duration {
	return time.Since(time.Unix(0, s.failedUnixNano.Load()))
}

func newStoreClient(address string, registry metrics.Registry) *storeClient {
	dialer := &net.Dialer{Timeout: storeConnectTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
	}
	return &storeClient{
		address: address, http: &http.Client{Transport: transport},
		callCounter: func(path string) metrics.Counter {
			return telemetry.Counter(registry, "store_calls_total", telemetry.L("call", path))
		},
	}
}

// closeIdleConnections closes idle connections, which may be unresponsive.
func (s *storeClient) closeIdleConnections() { s.http.CloseIdleConnections() }

// call calls the store. limit bounds the time until the answer begins.
func (s *storeClient) call(ctx context.Context, method, path string, query url.Values, body []byte, limit time.Duration) (httpcall.Answer, error) {
	answer, err := s.callOnce(ctx, method, path, query, body, limit)
	if errors.Is(err, ErrStoreUnavailable) && ctx.Err() == nil {
		s.failedUnixNano.Store(time.Now().UnixNano())
	}
	return answer, err
}

func (s *storeClient) callOnce(ctx context.Context, method, path string, query url.Values, body []byte, limit time.Duration) (httpcall.Answer, error) {
	s.callCounter(path).Inc(1)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return httpcall.Answer{}, errors.Trace(err)
	}
	// Without GetBody the transport can't retry an append by itself.
	request.GetBody = nil
	answer, err := httpcall.Do(s.http, request, limit, maxStoreAnswerBytes)
	if err != nil {
		s.closeIdleConnections()
		return httpcall.Answer{}, errors.WithType(errors.Annotatef(err, "store call %s", path), ErrStoreUnavailable)
	}
	if s.observeEpoch != nil {
		s.observeEpoch(epochOf(answer))
	}
	return answer, statusError(path, answer.Status, answer.Content)
}

// epochOf returns the epoch of the offsets in an answer. Stores that are never restored
// need not state any.
func epochOf(answer httpcall.Answer) uint64 {
	epoch, err := strconv.ParseUint(answer.Header.Get(headerEra), 10, 64)
	if err != nil {
		return 0
	}
	return epoch
}

func statusError(path string, status int, answer []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return ErrExpired
	case http.StatusTooManyRequests:
		return ErrStoreBusy
	case http.StatusPreconditionFailed:
		return ErrPositionTaken
	default:
		err := errors.Errorf("store call %s: status %d: %.200s", path, status, answer)
		return errors.WithType(err, ErrStoreUnavailable)
	}
}

// newestRecords returns the newest record of each key of a topic, and the
// offset from which later records are to be read.
func (s *storeClient) newestRecords(ctx context.Context, topic string) (listing, error) {
	l := listing{end: -1, readAt: time.Now()}
	after := ""
	for failures := 0; ; {
		query := url.Values{"Topic": {topic}, "part": {"0"}}
		if after != "" {
			query.Set("After", after)
		}
		answer, err := s.call(ctx, http.MethodGet, pathLogNewest, query, nil, storeCallTimeout)
		if failures++; err != nil && after != "" && failures <= maxPageFailures {
			sleep(ctx, jitter(followRetryMin))
			continue
		}
		if err != nil {
			return listing{}, err
		}
		failures = 0
		var page struct {
			Items []struct {
				Key    string
				Value  []byte
				Offset int64
			}
			HasMore   bool
			EndOffset int64
		}
		if err := json.Unmarshal(answer.Content, &page); err != nil {
			return listing{}, errors.WithType(errors.Annotate(err, "newest records"), ErrStoreUnavailable)
		}
		if epoch := epochOf(answer); l.end >= 0 && epoch != l.epoch {
			return listing{}, ErrRestored
		} else {
			l.epoch = epoch
		}
		// Records written while the pages are read are read again from the end
		// offset of the first page.
		if l.end < 0 {
			l.end = page.EndOffset
		}
		for _, item := range page.Items {
			l.records = append(l.records, keyedRecord{Key: item.Key, Value: item.Value, Offset: item.Offset})
			after = item.Key
		}
		if !page.HasMore || len(page.Items) == 0 {
			return l, nil
		}
	}
}

// readAnswer is the answer to a read of a keyed topic.
type readAnswer struct {
	records []keyedRecord
	// next is the offset after the last of the records, end where the topic ended. It is
	// higher if the answer was cut by its size limit.
	next, end int64
	// begunAt is when the answer began to arrive.
	begunAt time.Time
	epoch   uint64
}

// readRecords waits for records of a keyed topic from an offset on.
func (s *storeClient) readRecords(ctx context.Context, topic string, from int64, wait time.Duration) (readAnswer, error) {
	query := url.Values{
		"Topic": {topic}, "part": {"0"}, "From": {strconv.FormatInt(from, 10)},
		"WaitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	read, err := s.call(ctx, http.MethodGet, pathLogRead, query, nil, wait+storeWaitSlack)
	if err != nil {
		return readAnswer{}, err
	}
	answer, err := decodeRecords(read.Content, from)
	if err != nil && !errors.Is(err, ErrExpired) {
		err = errors.WithType(err, ErrStoreUnavailable)
	}
	answer.begunAt, answer.epoch = read.BegunAt, epochOf(read)
	return answer, err
}

func decodeRecords(content []byte, from int64) (readAnswer, error) {
	if len(content) < readHeaderBytes {
		return readAnswer{}, errors.Errorf("read answer of %d bytes is too short", len(content))
	}
	if first := int64(binary.BigEndian.Uint64(content[8:])); first > from {
		return readAnswer{}, ErrExpired
	}
	answer := readAnswer{next: from, end: int64(binary.BigEndian.Uint64(content))}
	for rest := content[readHeaderBytes:]; len(rest) > 0; answer.next++ {
		if len(rest) < recordLengthBytes {
			return readAnswer{}, errors.New("record length is cut off")
		}
		n := int(binary.BigEndian.Uint32(rest))
		rest = rest[recordLengthBytes:]
		if n > len(rest) {
			return readAnswer{}, errors.Errorf("record of %d bytes is cut off", n)
		}
		if r, ok := decodeKeyed(rest[:n], answer.next); ok {
			answer.records = append(answer.records, r)
		}
		rest = rest[n:]
	}
	return answer, nil
}

// decodeKeyed decodes the key's length (one byte), the key, and the value.
func decodeKeyed(content []byte, offset int64) (keyedRecord, bool) {
	if len(content) == 0 || int(content[0])+1 > len(content) {
		return keyedRecord{}, false
	}
	end := 1 + int(content[0])
	r := keyedRecord{Key: string(content[1:end]), Offset: offset}
	if end < len(content) {
		r.Value = append([]byte(nil), content[end:]...)
	}
	return r, true
}

// putKeyed writes the record of a key; a nil value deletes the key. A call
// whose answer is lost may still take effect.
func (s *storeClient) putKeyed(ctx context.Context, topic, key string, value []byte) error {
	return s.appendKeyed(ctx, url.Values{"Topic": {topic}, "part": {"0"}}, topic, key, value)
}

// putKeyedAt writes the record of a key if the topic ends at a position.
func (s *storeClient) putKeyedAt(ctx context.Context, topic, key string, value []byte, at int64) error {
	return s.appendKeyed(ctx, url.Values{"Topic": {topic}, "part": {"0"}, "At": {strconv.FormatInt(at, 10)}}, topic, key, value)
}

func (s *storeClient) appendKeyed(ctx context.Context, query url.Values, topic, key string, value []byte) error {
	if len(key) > 255 {
		return errors.Errorf("key %q is over 255 bytes; choose a shorter instance name", key)
	}
	content := append([]byte{byte(len(key))}, key...)
	content = append(content, value...)
	record := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
	record = append(record, content...)
	_, err := s.call(ctx, http.MethodPost, pathLogAppend, query, record, storeCallTimeout)
	return errors.Annotate(err, fmt.Sprintf("write %s of %s", key, topic))
}
