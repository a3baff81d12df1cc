package clientload

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The crowds. Their bodies together exceed memoryMb, and their connections exceed
// fileDescriptors.
const (
	bodyClients       = 60
	connectionClients = 800
	slowReaders       = 60
	// oneByteBody is the size of bodies that are sent in chunks of one byte, which
	// take six bytes each.
	oneByteBody    = 1 << 20
	oneByteClients = 120
	// oversize is sent in bodies over the limit.
	oversize = 12 << 20
	// holdTime is how long the crowd stays after it has sent everything.
	holdTime = 2 * time.Second
	// endlessTime is how long endless bodies and pipelined requests are sent.
	endlessTime = 5 * time.Second
	dialTimeout = 2 * time.Second
	// sendTimeout bounds how long one client sends, or waits for its response.
	sendTimeout = 15 * time.Second
)

// send is what one client of the crowd does with its connection before it waits.
// An error means that the daemon has refused it.
type send func(conn net.Conn, t *target) error

// runCrowd runs a crowd against the daemon. It checks the bounds and an ordinary
// request while the crowd's connections are still open.
func runCrowd(tb testing.TB, t *target, clients int, act send) {
	tb.Helper()
	done := make(chan struct{})
	var sent, closed sync.WaitGroup
	for range clients {
		sent.Add(1)
		closed.Go(func() {
			finished := sync.OnceFunc(sent.Done)
			defer finished()
			conn, err := net.DialTimeout("tcp", t.address, dialTimeout)
			if err != nil {
				return
			}
			defer conn.Close()
			if conn.SetDeadline(time.Now().Add(sendTimeout)) != nil {
				return
			}
			// The end of the test interrupts a client that is still sending.
			go func() {
				<-done
				conn.Close()
			}()
			if act(conn, t) == nil {
				finished()
				<-done
			}
		})
	}
	allSent := make(chan struct{})
	go func() {
		sent.Wait()
		close(allSent)
	}()
	var hold time.Time
	for ; hold.IsZero() || time.Now().Before(hold); time.Sleep(pollInterval) {
		t.countDescriptors()
		select {
		case <-allSent:
			if hold.IsZero() {
				hold = time.Now().Add(holdTime)
			}
		default:
		}
		if !t.alive() {
			break
		}
	}
	var answered error
	for deadline := time.Now().Add(answerTimeout); t.alive(); time.Sleep(pollInterval) {
		if answered = t.ordinary(); answered == nil || time.Now().After(deadline) {
			break
		}
	}
	t.countDescriptors()
	alive, resident := t.alive(), 0
	if alive {
		resident = t.residentPeak(tb)
	}
	close(done)
	closed.Wait()
	tb.Logf("resident %d of %d MiB, descriptors %d of %d", resident>>20, memoryMb, t.maxDescriptors, fileDescriptors)
	assert.Check(tb, alive, "the process has ended")
	assert.Check(tb, resident <= memoryMb<<20, "resident memory of %d MiB, the settings allow %d", resident>>20, memoryMb)
	assert.Check(tb, t.maxDescriptors <= fileDescriptors, "%d descriptors open, the settings allow %d", t.maxDescriptors, fileDescriptors)
	assert.Check(tb, answered, "an ordinary request is not answered")
}

func write(conn net.Conn, text string) error {
	_, err := io.WriteString(conn, text)
	return err
}

func writeHead(conn net.Conn, t *target, headers string) error {
	return write(conn, t.head()+headers+"\r\n")
}

const chunked = "Transfer-Encoding: chunked\r\n"

// writeChunks sends a body of total bytes in chunks of the given size, without the
// last chunk.
func writeChunks(conn net.Conn, total, size int, extension string) error {
	one := fmt.Sprintf("%x%s\r\n%s\r\n", size, extension, strings.Repeat("x", size))
	repeat := max(1, (64<<10)/len(one))
	block := bytes.Repeat([]byte(one), repeat)
	for sent := 0; sent < total; sent += size * repeat {
		if _, err := conn.Write(block); err != nil {
			return err
		}
	}
	return nil
}

func writeBytes(conn net.Conn, total int) error {
	block := bytes.Repeat([]byte("x"), 64<<10)
	for sent := 0; sent < total; sent += len(block) {
		if _, err := conn.Write(block[:min(len(block), total-sent)]); err != nil {
			return err
		}
	}
	return nil
}

func announce(length int) string { return fmt.Sprintf("Content-Length: %d\r\n", length) }

// Guards against bodies that are announced over the limit being read and held.
func TestBodiesAnnouncedOverTheLimit(t *testing.T) {
	runCrowd(t, startPlatform(t), bodyClients, func(conn net.Conn, t *target) error {
		if err := writeHead(conn, t, announce(16*oversize)); err != nil {
			return err
		}
		return writeBytes(conn, oversize)
	})
}

// Guards against bodies of unknown length being held up to a size above the limit.
func TestBodiesSentOverTheLimit(t *testing.T) {
	runCrowd(t, startPlatform(t), bodyClients, func(conn net.Conn, t *target) error {
		if err := writeHead(conn, t, chunked); err != nil {
			return err
		}
		return writeChunks(conn, oversize, 1<<20, "")
	})
}

func sendLargeChunks(conn net.Conn, t *target) error {
	if err := writeHead(conn, t, chunked); err != nil {
		return err
	}
	return writeChunks(conn, maxBodyBytes, 1<<20, "")
}

// Guards against the memory of chunked bodies within the limit that never end.
func TestBodiesInLargeChunks(t *testing.T) {
	runCrowd(t, startPlatform(t), bodyClients, sendLargeChunks)
}

// Guards against the memory and processor time of bodies in chunks of one byte.
func TestBodiesInOneByteChunks(t *testing.T) {
	runCrowd(t, startPlatform(t), oneByteClients, func(conn net.Conn, t *target) error {
		if err := writeHead(conn, t, chunked); err != nil {
			return err
		}
		return writeChunks(conn, oneByteBody, 1, "")
	})
}

// Guards against bodies that are sent without end.
func TestEndlessBodies(t *testing.T) {
	runCrowd(t, startPlatform(t), bodyClients, func(conn net.Conn, t *target) error {
		if err := writeHead(conn, t, chunked); err != nil {
			return err
		}
		for end := time.Now().Add(endlessTime); time.Now().Before(end); {
			if err := writeChunks(conn, 1<<20, 1<<10, ""); err != nil {
				return err
			}
		}
		return nil
	})
}

func sendAllButTheLastByte(conn net.Conn, t *target) error {
	if err := writeHead(conn, t, announce(maxBodyBytes)); err != nil {
		return err
	}
	return writeBytes(conn, maxBodyBytes-1)
}

// Guards against bodies that stop one byte before their end on an open connection.
func TestBodiesThatStopJustShort(t *testing.T) {
	runCrowd(t, startPlatform(t), bodyClients, sendAllButTheLastByte)
}

// Guards against bodies that hold connections by one byte per second.
func TestBodiesOfOneBytePerSecond(t *testing.T) {
	runCrowd(t, startPlatform(t), connectionClients, func(conn net.Conn, t *target) error {
		if err := writeHead(conn, t, announce(maxBodyBytes)); err != nil {
			return err
		}
		for range 5 {
			if err := write(conn, "x"); err != nil {
				return err
			}
			time.Sleep(time.Second)
		}
		return nil
	})
}

// Guards against announced bodies that never begin.
func TestBodiesThatNeverBegin(t *testing.T) {
	runCrowd(t, startPlatform(t), connectionClients, func(conn net.Conn, t *target) error {
		return writeHead(conn, t, announce(maxBodyBytes))
	})
}

// Guards against the memory of bodies with chunk extensions whose trailers never
// end.
func TestBodiesWithTrailersAndChunkExtensions(t *testing.T) {
	runCrowd(t, startPlatform(t), bodyClients, func(conn net.Conn, t *target) error {
		if err := writeHead(conn, t, chunked+"Trailer: X-Sum\r\n"); err != nil {
			return err
		}
		if err := writeChunks(conn, maxBodyBytes, 64<<10, ";name=value"); err != nil {
			return err
		}
		return write(conn, "0;name=value\r\nX-Sum: "+strings.Repeat("1", 2<<10))
	})
}

// Guards against the descriptors of one peer with many connections that have begun
// a request.
func TestManyConnectionsFromOnePeer(t *testing.T) {
	runCrowd(t, startPlatform(t), connectionClients, func(conn net.Conn, t *target) error {
		return write(conn, t.head())
	})
}

// Guards against the descriptors of idle connections.
func TestIdleConnections(t *testing.T) {
	runCrowd(t, startPlatform(t), connectionClients, func(conn net.Conn, t *target) error {
		if err := write(conn, "GET /none/1 HTTP/1.1\r\nHost: none\r\nX-Attempt-Id: idle\r\n\r\n"); err != nil {
			return err
		}
		_, err := conn.Read(make([]byte, 64<<10))
		return err
	})
}

// Guards against the memory of large requests that are pipelined without reading
// the responses.
func TestPipelinedRequests(t *testing.T) {
	runCrowd(t, startPlatform(t), bodyClients, func(conn net.Conn, t *target) error {
		for end := time.Now().Add(endlessTime); time.Now().Before(end); {
			if err := writeHead(conn, t, announce(maxBodyBytes)); err != nil {
				return err
			}
			if err := writeBytes(conn, maxBodyBytes); err != nil {
				return err
			}
		}
		return nil
	})
}

// Guards against callers that do not read their responses, which must neither fill
// the memory nor keep the endpoints' slots.
func TestSlowReaders(t *testing.T) {
	slow := startPlatform(t)
	slow.ordinary = slow.ordinaryStream
	runCrowd(t, slow, slowReaders, func(conn net.Conn, t *target) error {
		head := platformHead(t.bigAnswer)
		if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
			return err
		}
		if err := write(conn, head+announce(4)+"\r\nbody"); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, make([]byte, 1<<10))
		return err
	})
}

// Guards the product's own interface against bodies that stop one byte before
// their end.
func TestCallerAPIBodiesThatStopJustShort(t *testing.T) {
	runCrowd(t, startCallerAPI(t), bodyClients, sendAllButTheLastByte)
}

// Guards the product's own interface against chunked bodies that never end.
func TestCallerAPIBodiesInLargeChunks(t *testing.T) {
	runCrowd(t, startCallerAPI(t), bodyClients, sendLargeChunks)
}

// Guards the product's own interface against announced bodies that never begin.
func TestCallerAPIBodiesThatNeverBegin(t *testing.T) {
	runCrowd(t, startCallerAPI(t), connectionClients, func(conn net.Conn, t *target) error {
		return writeHead(conn, t, announce(maxBodyBytes))
	})
}
