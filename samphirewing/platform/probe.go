package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/transport/forward"
)

// maxReportBytes bounds the report of an endpoint that is read.
const maxReportBytes = 64 << 10

// EncodeProbe returns a request for the endpoint's report. It has no request ID and names
// no instance, so that endpoints without reports reject it.
func (dialect) EncodeProbe(e endpointset.Endpoint) forward.Request {
	return forward.Request{
		Method: http.MethodGet, Host: e.Address, Target: pathReport,
		Header: http.Header{headerExpectInstance: {noInstance}},
	}
}

// Identify compares the start time in a report, and the endpoint's name where an answer
// has one, with the endpoint's entry. The name alone doesn't tell two starts apart.
func (dialect) Identify(e endpointset.Endpoint, a *forward.Response) forward.Identity {
	if name := a.Header.Get(headerInstance); name != "" && name != string(e.Name) {
		return forward.IdentityOther
	}
	if a.Status != http.StatusOK || a.Length < 0 || a.Length > maxReportBytes || e.StartedUnixMs == 0 {
		return forward.IdentityUnknown
	}
	var report struct {
		Born *int64 `json:"born"`
	}
	body, err := io.ReadAll(a.Body)
	if err != nil || json.Unmarshal(body, &report) != nil || report.Born == nil {
		return forward.IdentityUnknown
	}
	if *report.Born != e.StartedUnixMs {
		return forward.IdentityOther
	}
	return forward.IdentitySame
}
