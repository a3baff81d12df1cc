package configstore_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/state/configstore"
)

// fillStore returns a store of n objects, each about the size of an
// organisation.
func fillStore(tb testing.TB, n int) *configstore.Store {
	s := configstore.NewStore(nil)
	for i := range n {
		c := configstore.ChangeSet{
			ID: fmt.Sprintf("create-%d", i), Author: "operator", Statement: fmt.Sprintf("create organisation organisation-%05d weight 1", i),
			Writes: []configstore.Write{{Key: configstore.Key(fmt.Sprintf("organisation/organisation-%05d", i)), Value: make([]byte, 120)}},
		}
		v, err := s.Apply(configstore.Revision(i+1), time.Unix(int64(i), 0), c)
		assert.NilError(tb, err)
		assert.Assert(tb, v.Accepted)
	}
	return s
}

var benchSizes = []int{2425, 9700, 38800}

func BenchmarkApply(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fillStore(b, n)
			revision := configstore.Revision(n)
			for b.Loop() {
				revision++
				key := configstore.Key(fmt.Sprintf("organisation/organisation-%05d", int(revision)%n))
				o, _ := s.View().Get(key)
				_, err := s.Apply(revision, time.Unix(int64(revision), 0), configstore.ChangeSet{
					ID: fmt.Sprint(revision), Requires: []configstore.Precondition{{Key: key, Revision: o.Revision}},
					Writes: []configstore.Write{{Key: key, Value: o.Value}},
				})
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := fillStore(b, n)
			var data []byte
			for b.Loop() {
				var err error
				data, err = s.Snapshot()
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "bytes")
			b.ReportMetric(float64(len(configstore.SplitSnapshot("s", s.Revision(), data))), "chunks")
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			data, err := fillStore(b, n).Snapshot()
			assert.NilError(b, err)
			for b.Loop() {
				_, err := configstore.RestoreStore(nil, data)
				assert.NilError(b, err)
			}
		})
	}
}

func BenchmarkStoreMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			var s *configstore.Store
			for b.Loop() {
				s = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				s = fillStore(b, n)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
			runtime.KeepAlive(s)
		})
	}
}
