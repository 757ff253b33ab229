package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// operation is one operation of a client, over all its attempts.
type operation struct {
	sentAt time.Time
	write  bool
	served bool
	data   string
	ackAt  time.Time
	// via is the instance that answered last, and answer what it said.
	via, answer string
}

// route is a kind of request of the deployment.
type route struct {
	host, kind string
	perSecond  int
	writes     float64
	deadline   time.Duration
	staleness  int
	timeout    int
}

var routes = []route{
	{host: "latest", kind: "primary", perSecond: 20, writes: 0.2, deadline: time.Second, timeout: 800},
	{host: "bounded", kind: "bounded_staleness", perSecond: 20, deadline: 3 * time.Second, staleness: 1500, timeout: 1200},
	{host: "session", kind: "read_your_writes", perSecond: 60, writes: 0.12, deadline: time.Second, staleness: 2500, timeout: 800},
}

// clients send operations at a steady rate until stop is closed.
type clients struct {
	instances []*instance
	stop      chan struct{}

	mu   sync.Mutex
	done []*operation
	wait sync.WaitGroup
	last int
}

func (c *clients) run() {
	for _, r := range routes {
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			ticker := time.NewTicker(time.Second / time.Duration(r.perSecond))
			defer ticker.Stop()
			for {
				select {
				case <-c.stop:
					return
				case <-ticker.C:
					c.wait.Add(1)
					go func() {
						defer c.wait.Done()
						c.operate(r)
					}()
				}
			}
		}()
	}
}

// operate sends one operation. It is sent again to another instance after a promise
// that nothing was kept or, if it only reads, after any failure.
func (c *clients) operate(r route) {
	o := &operation{sentAt: time.Now(), write: rand.Float64() < r.writes}
	end := o.sentAt.Add(r.deadline)
	for attempt := range 3 {
		c.mu.Lock()
		c.last++
		id := fmt.Sprintf("%016x", c.last)
		c.mu.Unlock()
		at := c.pick()
		if at == nil {
			o.answer = "no instance in rotation"
			break
		}
		text := "READ item"
		if o.write {
			o.data = "d" + id
			text = "WRITE item " + o.data
		}
		o.via = at.name
		o.answer = send(at.callers, r.host, id, text, end)
		if strings.HasPrefix(o.answer, "COMPLETE ") && o.answer != "COMPLETE -" {
			o.served, o.ackAt = true, time.Now()
			break
		}
		promise := strings.HasPrefix(o.answer, "ERROR BUSY") || strings.HasPrefix(o.answer, "ERROR ABORTED") || strings.HasPrefix(o.answer, "no connection")
		if o.write && !promise || attempt == 2 {
			break
		}
		time.Sleep(100 * time.Millisecond)
		if !time.Now().Before(end) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = append(c.done, o)
}

func (c *clients) pick() *instance {
	var usable []*instance
	for _, i := range c.instances {
		if i.inRotation() {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		usable = c.instances
	}
	return usable[rand.IntN(len(usable))]
}

// send opens a session for one statement and returns the line that ends its answer.
func send(address, host, id, text string, end time.Time) string {
	socket, err := net.DialTimeout("tcp", address, time.Until(end))
	if err != nil {
		return "no connection"
	}
	defer func() { _ = socket.Close() }()
	_ = socket.SetDeadline(end)
	reader := bufio.NewReader(socket)
	_, _ = socket.Write([]byte("START " + host + " reviewer\r\n"))
	line, err := reader.ReadString('\n')
	if err != nil {
		return "no answer to START"
	}
	if !strings.HasPrefix(line, "READY") {
		return strings.TrimSpace(line)
	}
	_, _ = socket.Write([]byte("QUERY " + id + " " + text + "\r\n"))
	answer := "no answer"
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return "no answer"
		}
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "COMPLETE ") || strings.HasPrefix(line, "ERROR ") {
			answer = line
		}
		if strings.HasPrefix(line, "READY ") {
			_, _ = socket.Write([]byte("TERMINATE\r\n"))
			return answer
		}
	}
}
