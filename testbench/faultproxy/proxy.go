// Package faultproxy is a TCP proxy that injects network faults: silence in
// one direction or both, resets, delays and truncated streams.
package faultproxy

import (
	"context"
	"net"
	"sync"
	"time"
)

// Direction is a direction of traffic through a proxy.
type Direction int

// The directions of traffic.
const (
	// ToServer is from the client that connected to the target.
	ToServer Direction = iota
	// ToClient is from the target to the client.
	ToClient
	directions
)

// Unlimited is the limit of a stream that is not truncated.
const Unlimited int64 = -1

// Proxy forwards connections to one target. Its methods are safe for
// concurrent use. Close ends it.
type Proxy struct {
	target   string
	listener net.Listener
	alive    context.Context
	stop     context.CancelFunc
	tasks    sync.WaitGroup

	mu sync.Mutex
	// open is closed while the direction is not silent.
	open  [directions]chan struct{}
	delay [directions]time.Duration
	limit [directions]int64
	// refusing resets each new connection.
	refusing bool
	links    map[*link]struct{}
}

// Start listens on listen, IP:port, and forwards to target.
func Start(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, links: make(map[*link]struct{})}
	p.alive, p.stop = context.WithCancel(context.Background())
	for direction := range directions {
		p.open[direction] = make(chan struct{})
		close(p.open[direction])
		p.limit[direction] = Unlimited
	}
	p.tasks.Add(1)
	go func() {
		defer p.tasks.Done()
		p.accept()
	}()
	return p, nil
}

// Address returns the address to connect to.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close closes the listener and all connections and waits for their
// goroutines.
func (p *Proxy) Close() error {
	p.stop()
	err := p.listener.Close()
	p.closeLinks()
	p.tasks.Wait()
	return err
}

// Silence holds back all bytes of a direction, also on connections to come, as
// a partition does: the sender sees no error, and what it sent arrives once
// the direction heals.
func (p *Proxy) Silence(direction Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.open[direction]) {
		p.open[direction] = make(chan struct{})
	}
}

// Reset closes all connections with a reset and refuses new ones.
func (p *Proxy) Reset() {
	p.mu.Lock()
	p.refusing = true
	p.mu.Unlock()
	p.closeLinks()
}

// Drop closes all connections with a reset; new ones pass.
func (p *Proxy) Drop() { p.closeLinks() }

// Delay adds to the latency of a direction.
func (p *Proxy) Delay(direction Direction, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay[direction] = delay
}

// Truncate lets each connection pass limit further bytes in a direction and
// then closes it. Unlimited ends the fault for new connections.
func (p *Proxy) Truncate(direction Direction, limit int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit[direction] = limit
	for each := range p.links {
		each.setLimit(direction, limit)
	}
}

// Heal ends all faults.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = false
	for direction := range directions {
		if !isClosed(p.open[direction]) {
			close(p.open[direction])
		}
		p.delay[direction] = 0
		p.limit[direction] = Unlimited
		for each := range p.links {
			each.setLimit(direction, Unlimited)
		}
	}
}

func isClosed(gate chan struct{}) bool {
	select {
	case <-gate:
		return true
	default:
		return false
	}
}

func (p *Proxy) closeLinks() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for each := range p.links {
		each.reset()
	}
}

// pass waits until the direction is not silent; false means that the link was
// closed.
func (p *Proxy) pass(ctx context.Context, direction Direction) bool {
	for {
		p.mu.Lock()
		gate := p.open[direction]
		p.mu.Unlock()
		if isClosed(gate) {
			return ctx.Err() == nil
		}
		select {
		case <-gate:
		case <-ctx.Done():
			return false
		}
	}
}

func (p *Proxy) delayOf(direction Direction) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay[direction]
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			p.serve(client.(*net.TCPConn))
		}()
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	l := newLink(p, client)
	if !p.register(l) {
		l.reset()
		return
	}
	defer p.forget(l)
	if !p.pass(l.alive, ToServer) {
		return
	}
	var dialer net.Dialer
	server, err := dialer.DialContext(l.alive, "tcp", p.target)
	if err != nil {
		l.reset()
		return
	}
	l.run(server.(*net.TCPConn))
}

func (p *Proxy) register(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusing || p.alive.Err() != nil {
		return false
	}
	for direction := range directions {
		l.setLimit(direction, p.limit[direction])
	}
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
	l.cancel()
}
