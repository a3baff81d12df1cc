package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/fault"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/samphirewing/transport/jsoncall"
	"github.com/samphirewing/samphirewing/transport/oneshot"
	"github.com/samphirewing/samphirewing/transport/platformclient/platformwire"
)

const maxAppendAnswerBytes = 16 << 10

// Log is the client of the log service. It is safe for concurrent use.
type Log struct {
	options Options
	appends *oneshot.Client
	reads   *jsoncall.Client
}

var _ eventlog.Log = (*Log)(nil)

// NewLog returns the client of the log service at a base URL such as
// "http://127.0.0.1:8080".
func NewLog(baseURL string, options Options) *Log {
	if options.Events == nil {
		options.Events = events.Discard{}
	}
	return &Log{
		options: options,
		appends: oneshot.New(baseURL, oneshot.Options{
			ConnectTimeout: options.timeout(),
			HeaderTimeout:  options.timeout(),
			IdleTimeout:    options.timeout(),
		}),
		reads: jsoncall.New(baseURL, options.timeout()),
	}
}

// Append sends the record at most once.
func (l *Log) Append(ctx context.Context, stream eventlog.Stream, data []byte) (eventlog.Offset, error) {
	offset, err := l.append(ctx, stream, data)
	if errors.Is(err, eventlog.ErrIndeterminate) {
		l.options.Events.Emit(eventAppendLost, events.F("stream", stream), events.F("error", err.Error()))
	}
	return offset, err
}

func (l *Log) append(ctx context.Context, stream eventlog.Stream, data []byte) (eventlog.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, l.options.timeout())
	defer cancel()
	response, err := l.appends.Send(ctx, oneshot.Request{
		Method: http.MethodPost,
		Path:   streamPath(stream),
		Header: http.Header{"Content-Type": {"application/octet-stream"}},
		Body:   data,
	})
	if errors.Is(err, oneshot.ErrNotSent) {
		return 0, fault.New(eventlog.ErrUnavailable, err)
	}
	if err != nil {
		return 0, fault.New(eventlog.ErrIndeterminate, err)
	}
	return readAppended(response)
}

func readAppended(response *oneshot.Response) (eventlog.Offset, error) {
	data, err := response.ReadAll(maxAppendAnswerBytes)
	if err != nil {
		return 0, fault.New(eventlog.ErrIndeterminate, err)
	}
	switch status := response.Status; {
	case status == http.StatusOK:
	case status == http.StatusServiceUnavailable, status < http.StatusInternalServerError:
		return 0, fault.Newf(eventlog.ErrUnavailable, "status %d", status)
	default:
		return 0, fault.Newf(eventlog.ErrIndeterminate, "status %d", status)
	}
	var appended platformwire.AppendResponse
	if err := json.Unmarshal(data, &appended); err != nil {
		return 0, fault.New(eventlog.ErrIndeterminate, err)
	}
	if appended.Offset <= 0 {
		return 0, fault.Newf(eventlog.ErrIndeterminate, "answer carries no offset")
	}
	return appended.Offset, nil
}

// Read returns records from an offset on.
func (l *Log) Read(ctx context.Context, stream eventlog.Stream, from eventlog.Offset, limit int) (eventlog.Batch, error) {
	path := fmt.Sprintf("%s?from=%d&limit=%d", streamPath(stream), from, limit)
	answer, err := l.reads.Call(ctx, http.MethodGet, path, nil)
	if err != nil {
		return eventlog.Batch{}, fault.New(eventlog.ErrUnavailable, err)
	}
	if answer.Status != http.StatusOK && answer.Status != http.StatusGone {
		return eventlog.Batch{}, fault.Newf(eventlog.ErrUnavailable, "status %d", answer.Status)
	}
	batch, err := decodeBatch(answer, from)
	if err != nil {
		return eventlog.Batch{}, fault.New(eventlog.ErrUnavailable, err)
	}
	if answer.Status == http.StatusGone {
		return batch, fault.Newf(eventlog.ErrExpired, "offset %d, oldest %d", from, batch.Oldest)
	}
	return batch, nil
}

func decodeBatch(answer jsoncall.Answer, from eventlog.Offset) (eventlog.Batch, error) {
	var wire platformwire.Batch
	if err := answer.Decode(&wire); err != nil {
		return eventlog.Batch{}, err
	}
	batch := eventlog.Batch{Oldest: wire.Oldest, Next: wire.Next}
	for _, r := range wire.Records {
		batch.Records = append(batch.Records, eventlog.Record(r))
	}
	return batch, checkBatch(batch, from)
}

// checkBatch checks what eventlog.Batch promises, so that a fold above never
// sees records of another place or out of order.
func checkBatch(b eventlog.Batch, from eventlog.Offset) error {
	if b.Oldest < 1 || b.Oldest > b.Next {
		return errors.Errorf("oldest offset %d, next %d", b.Oldest, b.Next)
	}
	if len(b.Records) > 0 && from < b.Oldest {
		return errors.Errorf("records from offset %d, oldest %d", from, b.Oldest)
	}
	for i, r := range b.Records {
		if r.Offset != from+eventlog.Offset(i) {
			return errors.Errorf("record %d of the answer has offset %d, asked from %d", i, r.Offset, from)
		}
	}
	if end := from + eventlog.Offset(len(b.Records)); len(b.Records) > 0 && end > b.Next {
		return errors.Errorf("records up to offset %d, next %d", end-1, b.Next)
	}
	return nil
}

func streamPath(stream eventlog.Stream) string {
	return platformwire.PathStreams + url.PathEscape(string(stream))
}
