package gateway

import (
	"io"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
)

// MaxBodyBytes returns the configuration's limit for bodies, or zero if there is none.
func (g *Gateway) MaxBodyBytes() int64 {
	if table := g.table.Load(); table != nil {
		return table.Limits.MaxBodyBytes
	}
	return 0
}

// answerPrefix is the part of an answer that is read before any of it is forwarded.
type answerPrefix struct {
	data []byte
	// complete is set if the answer has no more.
	complete bool
	account  *memorybudget.Account
	reserved int64
}

// release returns the memory of the prefix. Further calls do nothing.
func (p *answerPrefix) release() {
	p.account.Release(memorybudget.Response, p.reserved)
	p.reserved = 0
}

// readPrefix reads an answer up to maxBufferedAnswerBytes. It stops earlier when the
// memory for responses is in use: the rest is then forwarded as it arrives, and a
// truncated answer can't be replaced. An error is one of reading.
func (g *Gateway) readPrefix(body io.Reader) (*answerPrefix, error) {
	p := &answerPrefix{account: g.options.Memory}
	for size := readBufferBytes; len(p.data) < maxBufferedAnswerBytes; size = min(2*size, maxBufferedAnswerBytes) {
		if len(p.data) > 0 && !p.account.Reserve(memorybudget.Response, int64(size)) {
			return p, nil
		}
		if len(p.data) == 0 {
			p.account.Count(memorybudget.Response, int64(size))
		}
		p.reserved += int64(size)
		grown := make([]byte, size)
		n := copy(grown, p.data)
		p.account.Release(memorybudget.Response, int64(cap(p.data)))
		p.reserved -= int64(cap(p.data))
		p.data = grown[:n]
		if err := p.fill(body); err != nil {
			p.release()
			return nil, err
		}
		if p.complete {
			return p, nil
		}
	}
	return p, nil
}

// fill reads into the rest of data's capacity. Only io.EOF completes the answer; a
// truncated one fails with another error.
func (p *answerPrefix) fill(body io.Reader) error {
	for len(p.data) < cap(p.data) {
		n, err := body.Read(p.data[len(p.data):cap(p.data)])
		p.data = p.data[:len(p.data)+n]
		if err == io.EOF {
			p.complete = true
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}
