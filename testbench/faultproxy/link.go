package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	chunkBytes = 32 << 10
	// queuedChunks bounds what is on its way in one direction of a link.
	queuedChunks = 64
)

// chunk is data on its way; it is delivered at due.
type chunk struct {
	data []byte
	due  time.Time
}

// link is one proxied connection.
type link struct {
	proxy  *Proxy
	client *net.TCPConn
	alive  context.Context
	cancel context.CancelFunc
	limit  [directions]atomic.Int64

	mu     sync.Mutex
	server *net.TCPConn
}

func newLink(p *Proxy, client *net.TCPConn) *link {
	l := &link{proxy: p, client: client}
	l.alive, l.cancel = context.WithCancel(p.alive)
	return l
}

func (l *link) setLimit(direction Direction, limit int64) { l.limit[direction].Store(limit) }

// reset closes both sides without waiting for unsent data.
func (l *link) reset() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, side := range []*net.TCPConn{l.client, l.server} {
		if side != nil {
			_ = side.SetLinger(0)
			_ = side.Close()
		}
	}
}

// run copies both directions until both have ended.
func (l *link) run(server *net.TCPConn) {
	l.mu.Lock()
	l.server = server
	l.mu.Unlock()
	stop := context.AfterFunc(l.alive, l.reset)
	defer stop()
	defer server.Close()
	defer l.client.Close()
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		l.copy(ToServer, l.client, server)
	}()
	go func() {
		defer both.Done()
		l.copy(ToClient, server, l.client)
	}()
	both.Wait()
}

// copy moves one direction; the end of the stream is passed on in its turn.
func (l *link) copy(direction Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queuedChunks)
	go l.read(direction, from, queue)
	for next := range queue {
		if !l.deliver(direction, next, to) {
			l.reset()
			break
		}
	}
	for range queue {
		continue
	}
	_ = to.CloseWrite()
}

func (l *link) read(direction Direction, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		data := make([]byte, chunkBytes)
		count, err := from.Read(data)
		if count > 0 {
			queue <- chunk{data: data[:count], due: time.Now().Add(l.proxy.delayOf(direction))}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes a chunk once it is due and the direction is open; false ends
// the link.
func (l *link) deliver(direction Direction, next chunk, to *net.TCPConn) bool {
	if wait := time.Until(next.due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-l.alive.Done():
			return false
		}
	}
	if !l.proxy.pass(l.alive, direction) {
		return false
	}
	data, cut := l.truncated(direction, next.data)
	if _, err := to.Write(data); err != nil {
		return false
	}
	if cut {
		_ = to.Close()
	}
	return !cut
}

// truncated applies the limit of a direction to data.
func (l *link) truncated(direction Direction, data []byte) ([]byte, bool) {
	left := l.limit[direction].Load()
	if left == Unlimited {
		return data, false
	}
	if int64(len(data)) <= left {
		l.limit[direction].CompareAndSwap(left, left-int64(len(data)))
		return data, false
	}
	return data[:left], true
}
