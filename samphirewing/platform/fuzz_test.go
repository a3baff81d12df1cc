package platform

import "testing"

// The parsers of what others write must reject malformed input without a panic.

func FuzzDecodeRecords(f *testing.F) {
	f.Add([]byte{}, int64(0))
	f.Add(append(make([]byte, readHeaderBytes), 0, 0, 0, 3, 1, 'k', 'v'), int64(7))
	f.Add(append(make([]byte, readHeaderBytes), 0xff, 0xff, 0xff, 0xff), int64(-1))
	f.Fuzz(func(t *testing.T, content []byte, from int64) {
		answer, err := decodeRecords(content, from)
		if err == nil && answer.next < from {
			t.Fatalf("next offset %d after %d; %d records", answer.next, from, len(answer.records))
		}
	})
}

func FuzzDecodeEndpoint(f *testing.F) {
	f.Add([]byte(`{"Service":"s","Address":"10.0.0.1:80","State":"ready","Slots":6,"born":1}`))
	f.Add([]byte(`{"Service":1,"Address":null,"State":[]}`))
	f.Add([]byte(`{"Service":"s","Address":"10.0.0.1:80","State":"ready","Slots":-9223372036854775808}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		// Only a panic is a failure.
		_, _ = decodeEndpoint("e", text)
	})
}

func FuzzDecodeConfiguration(f *testing.F) {
	f.Add([]byte(`{"Version":7,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/a/","RouteType":"streaming","TimeoutMs":6000,"Service":"s"}],"Services":[{"Name":"s"}],"Tenants":[{"Name":"t","ApiKeys":["k"],"RatePerS":1,"Burst":1}]}`))
	f.Add([]byte(`{"Version":-1,"Routes":[null],"Services":[null],"Tenants":[null]}`))
	f.Fuzz(func(_ *testing.T, text []byte) {
		// Only a panic is a failure.
		_, _ = decodeConfiguration(text)
	})
}

func FuzzParseSettings(f *testing.F) {
	f.Add([]byte("NodeName: a\nInternalPorts: [1, 2]\nLimits: {CpuShare: 0.5, Cores: 1}\n"))
	f.Add([]byte("NodeName: {a: b}\nInternalPorts: x\n"))
	f.Fuzz(func(_ *testing.T, text []byte) {
		// Only a panic is a failure.
		_, _ = parseSettings(text)
	})
}
