package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// Guide lists the addresses of a running system.
type Guide struct {
	Deployment    string        `json:"deployment"`
	Daemons       []GuideDaemon `json:"daemons"`
	Log           string        `json:"log"`
	List          string        `json:"list"`
	WeightStore   string        `json:"weight_store"`
	StandIns      string        `json:"stand_ins"`
	OperatorToken string        `json:"operator_token"`
}

// GuideDaemon lists the addresses of one daemon.
type GuideDaemon struct {
	Instance string `json:"instance"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
}

// WriteJSON prints the addresses as one JSON object.
func (s *System) WriteJSON(w io.Writer) error {
	guide := Guide{
		Deployment:    s.deployment.name,
		Log:           s.LogServer.URL(),
		List:          s.List.URL(),
		WeightStore:   s.Weights.URL(),
		StandIns:      s.Directory.URL(),
		OperatorToken: OperatorToken,
	}
	for _, d := range s.Daemons {
		a := d.Addresses()
		guide.Daemons = append(guide.Daemons, GuideDaemon{
			Instance: string(d.Self().ID),
			Caller:   "http://" + a.Caller,
			Operator: "http://" + a.Operator,
		})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(guide)
}

// WriteGuide prints the addresses and example commands.
func (s *System) WriteGuide(w io.Writer) {
	fmt.Fprintf(w, "samphirewing demo, deployment %s\n\n", s.deployment.name)
	for _, d := range s.Daemons {
		a := d.Addresses()
		fmt.Fprintf(w, "  %s  callers http://%s  operators http://%s\n", d.Self().ID, a.Caller, a.Operator)
	}
	fmt.Fprintf(w, "  log %s  list %s  weight store %s\n", s.LogServer.URL(), s.List.URL(), s.Weights.URL())
	fmt.Fprintf(w, "  %d engines, %d services; their fault switches: curl %s/stand-ins\n\n", len(s.Engines), len(s.Services), s.Directory.URL())
	samples := s.deployment.samples
	caller := s.Daemons[0].Addresses().Caller
	fmt.Fprintf(w, "Entry list:\n  curl http://%s/v1/entries\n\n", caller)
	fmt.Fprintf(w, "A streamed model request:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'X-Tier: %s' -H 'Content-Type: application/json' -d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":64,\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}'\n\n",
		caller, bearerToken(samples.organisation), samples.tier, s.deployment.engines.models[0], samples.prompt)
	fmt.Fprintf(w, "A call that runs at most once:\n  curl http://%s/v1/services/%s -H 'Authorization: Bearer %s' -H 'X-Tier: %s' -H 'Idempotency-Key: first-try' -H 'Idempotency-Issued: %s' -H 'Content-Type: application/json' -d '%s'\n\n",
		caller, samples.service, bearerToken(samples.organisation), samples.tier, time.Now().UTC().Format(time.RFC3339), samples.body)
	fmt.Fprintf(w, "Load:\n  go run ./samphirewing/cmd/samphirewing load --entry %s --stand-ins %s --file examples/%s.jsonl\n\n", caller, s.Directory.URL(), s.deployment.name)
	fmt.Fprintf(w, "Statements:\n  go run ./samphirewing/cmd/samphirewing do --operator http://%s --token %s 'show endpoints'\n\n",
		s.Daemons[0].Addresses().Operator, OperatorToken)
	fmt.Fprintln(w, "Interrupt to stop.")
}
