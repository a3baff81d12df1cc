package platform

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/gateway"
)

func TestOperatorListsBlockedPartsAndIsToldWhatIsNotBlocked(t *testing.T) {
	router := mux.NewRouter()
	(&operatorHandler{gateway: gateway.New(gateway.Options{Events: events.Discard{}, Metrics: metrics.NewRegistry()})}).register(router)
	for path, want := range map[string]int{"/blocked-parts/7": http.StatusNotFound, "/blocked-parts/xyz": http.StatusBadRequest} {
		answer := httptest.NewRecorder()
		router.ServeHTTP(answer, httptest.NewRequest(http.MethodDelete, path, nil))
		assert.Equal(t, answer.Code, want, path)
	}
	answer := httptest.NewRecorder()
	router.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/blocked-parts", nil))
	assert.Equal(t, answer.Body.String(), "[]")
}
