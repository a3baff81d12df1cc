package platform

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/samphirewing/samphirewing/telemetry"
)

const (
	// ErrStoreUnavailable means that the store did nothing, or can't be
	// reached; the call may be repeated later.
	ErrStoreUnavailable = errors.ConstError("the metadata store is not available; try again later")
	// ErrStoreBusy means that the shared call rate is used up.
	ErrStoreBusy = errors.ConstError("the metadata store refuses calls over its rate; slow down")
	// ErrExpired means that the records asked for are no longer kept.
	ErrExpired = errors.ConstError("the records have expired; read the newest record of each key instead")
)

const (
	// storeCallTimeout bounds a call that doesn't wait: the store answers in
	// milliseconds, and in a few hundred when it is slow.
	storeCallTimeout = 1500 * time.Millisecond
	// storeWaitSlack is what a waiting read may take beyond its wait.
	storeWaitSlack = 700 * time.Millisecond
	// storeConnectTimeout bounds a dial to the store.
	storeConnectTimeout = time.Second
	maxStoreAnswerBytes = 8 << 20
	lengthBytes         = 4
	// readHeadBytes is the end and the first kept offset before the records.
	readHeadBytes = 16
)

// keyedRecord is one record of a keyed topic. A nil Value drops the key.
type keyedRecord struct {
	Key    string
	Value  []byte
	Offset int64
}

// storeClient speaks to the metadata store. It is safe for concurrent use.
type storeClient struct {
	address string
	http    *http.Client
	calls   func(call string) metrics.Counter
}

func newStoreClient(address string, registry metrics.Registry) *storeClient {
	dialer := &net.Dialer{Timeout: storeConnectTimeout}
	transport := &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxIdleConnsPerHost: 4, IdleConnTimeout: 10 * time.Second,
	}
	return &storeClient{
		address: address, http: &http.Client{Transport: transport},
		calls: func(call string) metrics.Counter {
			return telemetry.Counter(registry, "store_calls_total", telemetry.L("call", call))
		},
	}
}

// close ends kept connections, which may have gone silent.
func (s *storeClient) close() { s.http.CloseIdleConnections() }

func (s *storeClient) call(ctx context.Context, method, path string, query url.Values, body []byte, limit time.Duration) (int, []byte, error) {
	s.calls(path).Inc(1)
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+s.address+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Trace(err)
	}
	// Without GetBody the transport can't repeat an append on its own.
	request.GetBody = nil
	response, err := s.http.Do(request)
	if err != nil {
		s.close()
		return 0, nil, errors.WithType(errors.Annotatef(err, "store call %s", path), ErrStoreUnavailable)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxStoreAnswerBytes))
	if err != nil {
		s.close()
		return 0, nil, errors.WithType(errors.Annotatef(err, "store call %s", path), ErrStoreUnavailable)
	}
	return response.StatusCode, answer, storeStatus(path, response.StatusCode, answer)
}

func storeStatus(path string, status int, answer []byte) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusGone:
		return ErrExpired
	case http.StatusTooManyRequests:
		return ErrStoreBusy
	default:
		err := errors.Errorf("store call %s: status %d: %.200s", path, status, answer)
		return errors.WithType(err, ErrStoreUnavailable)
	}
}

// newest returns the newest record of each key of a topic, and the offset at
// which later records begin.
func (s *storeClient) newest(ctx context.Context, topic string) ([]keyedRecord, int64, error) {
	var all []keyedRecord
	end := int64(-1)
	after := ""
	for {
		query := url.Values{"Topic": {topic}, "part": {"0"}}
		if after != "" {
			query.Set("After", after)
		}
		_, answer, err := s.call(ctx, http.MethodGet, pathLogNewest, query, nil, storeCallTimeout)
		if err != nil {
			return nil, 0, err
		}
		var page struct {
			Items []struct {
				Key    string
				Value  []byte
				Offset int64
			}
			HasMore   bool
			EndOffset int64
		}
		if err := json.Unmarshal(answer, &page); err != nil {
			return nil, 0, errors.WithType(errors.Annotate(err, "newest records"), ErrStoreUnavailable)
		}
		// Pages are read one after another: records between the first page and
		// the last are read again from the first page's end.
		if end < 0 {
			end = page.EndOffset
		}
		for _, item := range page.Items {
			all = append(all, keyedRecord{Key: item.Key, Value: item.Value, Offset: item.Offset})
			after = item.Key
		}
		if !page.HasMore || len(page.Items) == 0 {
			return all, end, nil
		}
	}
}

// read waits for records of a keyed topic from an offset on. It returns the
// records and the offset that follows the last of them.
func (s *storeClient) read(ctx context.Context, topic string, from int64, wait time.Duration) ([]keyedRecord, int64, error) {
	query := url.Values{
		"Topic": {topic}, "part": {"0"}, "From": {strconv.FormatInt(from, 10)},
		"WaitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	_, answer, err := s.call(ctx, http.MethodGet, pathLogRead, query, nil, wait+storeWaitSlack)
	if err != nil {
		return nil, 0, err
	}
	records, next, err := decodeRecords(answer, from)
	if err != nil {
		return nil, 0, errors.WithType(err, ErrStoreUnavailable)
	}
	return records, next, nil
}

func decodeRecords(answer []byte, from int64) ([]keyedRecord, int64, error) {
	if len(answer) < readHeadBytes {
		return nil, 0, errors.Errorf("read answer of %d bytes is too short", len(answer))
	}
	first := int64(binary.BigEndian.Uint64(answer[8:]))
	// Records before the first kept one are not sent.
	next := max(from, first)
	rest := answer[readHeadBytes:]
	var all []keyedRecord
	for len(rest) > 0 {
		if len(rest) < lengthBytes {
			return nil, 0, errors.New("record length is cut off")
		}
		n := int(binary.BigEndian.Uint32(rest))
		rest = rest[lengthBytes:]
		if n > len(rest) {
			return nil, 0, errors.Errorf("record of %d bytes is cut off", n)
		}
		if r, ok := decodeKeyed(rest[:n], next); ok {
			all = append(all, r)
		}
		rest = rest[n:]
		next++
	}
	return all, next, nil
}

// decodeKeyed reads a key's length, the key, and the value.
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

// putKeyed writes the record of a key; a nil value drops the key. A call whose
// answer is lost may still take effect.
func (s *storeClient) putKeyed(ctx context.Context, topic, key string, value []byte) error {
	if len(key) > 255 {
		return errors.Errorf("key %q is over 255 bytes; choose a shorter instance name", key)
	}
	content := append([]byte{byte(len(key))}, key...)
	content = append(content, value...)
	record := binary.BigEndian.AppendUint32(nil, uint32(len(content)))
	record = append(record, content...)
	query := url.Values{"Topic": {topic}, "part": {"0"}}
	_, _, err := s.call(ctx, http.MethodPost, pathLogAppend, query, record, storeCallTimeout)
	return errors.Annotate(err, fmt.Sprintf("write %s of %s", key, topic))
}
