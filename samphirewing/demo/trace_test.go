package demo

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// The response continues the trace of the caller's traceparent header.
func TestTraceContextIsPropagatedAndReturned(t *testing.T) {
	t.Parallel()
	const traceID = "0af7651916cd43dd8448eb211c80319c"
	s, err := Start(context.Background(), Options{Deployment: Parapluie, Speedup: testSpeedup})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	body := `{"model":"mender-small","max_tokens":8,"messages":[{"role":"user","content":"label"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+s.Daemons[0].Addresses().Caller+"/v1/chat/completions", bytes.NewBufferString(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer demo-medina")
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Traceparent", "00-"+traceID+"-b7ad6b7169203331-01")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, len(response.Header.Get("Traceparent")) > 0)
	assert.Equal(t, response.Header.Get("Traceparent")[3:35], traceID)
}
