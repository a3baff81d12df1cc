// Package operator is a stand-in for the platform's operator: it publishes
// configurations in the metadata store.
package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/samphirewing/samphirewing/standin/metastore"
)

// Names in the published configurations.
const (
	Host         = "demo.example"
	APIKey       = "demo-key"
	Organisation = "shop"
	Engines      = "engines"
	Orders       = "orders"

	// ConfigTopic and ConfigKey locate the configuration in the metadata store.
	ConfigTopic = "keyed.op"
	ConfigKey   = "config"
)

// Operator publishes configurations. It is safe for concurrent use.
type Operator struct {
	store *metastore.Store

	mu      sync.Mutex
	version int
	// text is the latest configuration.
	text []byte
}

// New returns an operator that has published nothing.
func New(store *metastore.Store) *Operator { return &Operator{store: store} }

// Publish writes the next version of the configuration and returns its number.
// The change function, if any, modifies the document first.
func (o *Operator) Publish(change func(document map[string]any)) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	document := newConfiguration(o.version)
	if change != nil {
		change(document)
	}
	text, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	o.text = text
	o.store.Put(ConfigTopic, ConfigKey, text)
	return o.version
}

// Rewrite writes the latest configuration once more, as after a restore of the store.
func (o *Operator) Rewrite() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Put(ConfigTopic, ConfigKey, o.text)
}

// Tenant is one organisation of a configuration, for SetTenants.
type Tenant struct {
	Name string
	Keys []string
	// Rate and Burst are its quota, in tokens per second and tokens. A zero
	// rate means no quota.
	Rate, Burst float64
}

// SetTenants replaces a document's organisations.
func SetTenants(document map[string]any, tenants ...Tenant) {
	var all []any
	for _, t := range tenants {
		entry := map[string]any{"Name": t.Name, "ApiKeys": t.Keys, "UncachedTokens": 200}
		if t.Rate > 0 {
			entry["RatePerS"], entry["Burst"] = t.Rate, t.Burst
		}
		all = append(all, entry)
	}
	document["Tenants"] = all
}

// AddRoutes adds routes that no caller uses, of some 180 bytes each.
func AddRoutes(document map[string]any, n int) {
	for i := range n {
		name := fmt.Sprintf("unused-%d", i)
		document["Routes"] = append(document["Routes"].([]any), newRoute(name, "idempotent", Orders, 2, false))
	}
}

// AddService adds a plain service and a route to it, for calls that run at most once.
func AddService(document map[string]any, service, name string, timeout time.Duration) {
	r := newRoute(name, "non_idempotent", service, 1, false)
	r["TimeoutMs"], r["TargetLatencyMs"] = timeout.Milliseconds(), timeout.Milliseconds()
	document["Routes"] = append(document["Routes"].([]any), r)
	document["Services"] = append(document["Services"].([]any), map[string]any{"Name": service})
}

func newRoute(name, kind, service string, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"Name": name, "Host": Host, "PathPrefix": "/" + name + "/", "RouteType": kind, "TimeoutMs": 8000,
		"TargetLatencyMs": 500, "Priority": 1, "Service": service, "MaxAttempts": attempts, "Resumable": resumable, "GapTargetMs": 300,
	}
}

func newConfiguration(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{
			newRoute("draft", "streaming", Engines, 2, true), newRoute("suggest", "streaming", Engines, 1, false),
			newRoute("confirm", "non_idempotent", Orders, 1, false), newRoute("lookup", "idempotent", Orders, 2, false),
		},
		"Services": []any{
			map[string]any{"Name": Engines, "Engine": map[string]any{"Slots": 8, "KvCapacity": 400000, "Stride": 5}},
			map[string]any{"Name": Orders},
		},
		"Limits":  map[string]any{"MaxBodyBytes": 1 << 20},
		"Tenants": []any{map[string]any{"Name": Organisation, "ApiKeys": []string{APIKey}, "UncachedTokens": 200}},
	}
}

// WriteExamples prints example shell commands for a daemon's addresses.
func WriteExamples(w io.Writer, directory, frontend string) {
	fmt.Fprintf(w, "\nAddresses to use\n  curl 'http://%s/samphirewing/resolve?Name=%s'\n", directory, Host)
	fmt.Fprintf(w, "\nA stream\n  curl -N -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'X-Attempt-Id: one' -H 'X-Deadline-Ms: 5000' -d brief http://%s/draft/1\n", Host, APIKey, frontend)
	fmt.Fprintf(w, "\nA call that runs at most once\n  curl -H 'Host: %s' -H 'Authorization: Bearer %s' -H 'X-Attempt-Id: two' -H 'X-Deadline-Ms: 1500' -d order http://%s/confirm/1\n", Host, APIKey, frontend)
}
