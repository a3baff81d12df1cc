package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// Guards against chunks that are not read being left out of the account, and against
// their memory not being returned.
func TestAnswerCountsChunksUntilNobodyReadsThem(t *testing.T) {
	account := memorybudget.New(1 << 20)
	a := newAnswer("r", callerapi.Submission{}, time.Hour, nil)
	a.memory = account
	a.Attach()
	a.appendChunk("some text", 2)
	used := account.Used(memorybudget.Response)
	assert.Assert(t, used >= int64(len("some text")))
	a.finish(callerapi.Result{}, time.Now())
	assert.Equal(t, account.Used(memorybudget.Response), used)
	a.Detach()
	assert.Equal(t, account.Used(memorybudget.Response), int64(0))
}
