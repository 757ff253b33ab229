package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is an item of a service that one writer counts up. Its reads on a primary
// route must show the newest acknowledged count.
type item struct {
	group string
	name  string
	// acknowledged is the highest count whose write was acknowledged.
	acknowledged atomic.Int64
	acks         atomic.Int64
	refused      atomic.Int64
	lastAck      atomic.Int64
	mu           sync.Mutex
	// acked holds when the data of each acknowledged write was acknowledged.
	acked map[string]time.Time
}

// acknowledge records the acknowledgement of a write.
func (it *item) acknowledge(count int64) {
	it.mu.Lock()
	defer it.mu.Unlock()
	if it.acked == nil {
		it.acked = map[string]time.Time{}
	}
	it.acked[it.data(count)] = time.Now()
	it.acknowledged.Store(count)
	it.acks.Add(1)
	it.lastAck.Store(time.Now().UnixNano())
}

func (it *item) data(count int64) string {
	return it.group + "." + it.name + "." + strconv.FormatInt(count, 10)
}

// countOf returns the count in the data of a row.
func countOf(rows []string) int64 {
	if len(rows) == 0 {
		return 0
	}
	parts := strings.Split(rows[0], ".")
	count, _ := strconv.ParseInt(parts[len(parts)-1], 10, 64)
	return count
}

// traffic is the clients of a case.
type traffic struct {
	s       *System
	items   []*item
	stop    chan struct{}
	clients sync.WaitGroup
	mu      sync.Mutex
	broken  []string
	// reads counts the answered reads by instance.
	reads map[string]int
}

func newTraffic(s *System) *traffic {
	return &traffic{s: s, stop: make(chan struct{}), reads: map[string]int{}}
}

func (t *traffic) end() {
	close(t.stop)
	t.clients.Wait()
}

func (t *traffic) ended() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

func (t *traffic) violate(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, fmt.Sprintf(format, args...))
}

// write counts the item up, through one instance after the other. A session that
// fails is opened anew at the next instance.
func (t *traffic) write(it *item, first int) {
	t.clients.Go(func() {
		var c *Client
		at := first
		for count := int64(1); !t.ended(); count++ {
			time.Sleep(15 * time.Millisecond)
			if c == nil {
				var err error
				at++
				if c, err = dial(t.s.instances[at%len(t.s.instances)], it.group+"-p", "writer-"+it.name); err != nil {
					c = nil
					continue
				}
			}
			reply := c.do("WRITE " + it.name + " " + it.data(count))
			if reply.ok() {
				it.acknowledge(count)
				continue
			}
			it.refused.Add(1)
			c.close()
			c = nil
		}
		if c != nil {
			c.close()
		}
	})
}

// writeAt counts the item up through one instance.
func (t *traffic) writeAt(it *item, instance *Instance) {
	t.items = append(t.items, it)
	t.clients.Go(func() {
		var c *Client
		for count := int64(1); !t.ended(); count++ {
			time.Sleep(20 * time.Millisecond)
			if c == nil {
				var err error
				if c, err = dial(instance, it.group+"-p", "writer-"+it.name); err != nil {
					c = nil
					continue
				}
			}
			reply := c.do("WRITE " + it.name + " " + it.data(count))
			if reply.ok() {
				it.acknowledge(count)
				continue
			}
			it.refused.Add(1)
			c.close()
			c = nil
		}
		if c != nil {
			c.close()
		}
	})
}

// read reads the item on its primary route at one instance, and checks that the
// answer holds what was acknowledged before the statement was sent.
func (t *traffic) read(it *item, at *Instance) {
	t.clients.Go(func() {
		var c *Client
		for !t.ended() {
			time.Sleep(10 * time.Millisecond)
			if c == nil {
				var err error
				if c, err = dial(at, it.group+"-p", "reader-"+it.name); err != nil {
					c = nil
					continue
				}
			}
			before := it.acknowledged.Load()
			reply := c.do("READ " + it.name)
			if !reply.ok() {
				c.close()
				c = nil
				continue
			}
			t.mu.Lock()
			t.reads[at.name]++
			t.mu.Unlock()
			t.check(it, at, before, reply)
		}
		if c != nil {
			c.close()
		}
	})
}

// check checks the answer to a read. Writes that a promotion took back don't count.
func (t *traffic) check(it *item, at *Instance, before int64, reply Reply) {
	found := countOf(reply.rows)
	g := t.s.groups[it.group]
	g.mu.Lock()
	defer g.mu.Unlock()
	for count := before; count > found; count-- {
		data := it.data(count)
		if g.rolledBack[data] || !g.committed(data) {
			continue
		}
		t.violate("STALE: a read on the primary route of %s at %s, signed %s, shows %s, though %s was acknowledged before it was sent",
			it.group, at.name, reply.signature, it.data(found), data)
		return
	}
}

// committed reports whether the newest primary's log holds the data. g.mu is held.
func (g *Group) committed(data string) bool {
	leader := g.leader()
	if leader == nil {
		return false
	}
	for i := len(leader.log) - 1; i >= 0; i-- {
		for _, written := range leader.log[i].writes {
			if written == data {
				return true
			}
		}
	}
	return false
}

// checkGroups takes over what the cloud API has found.
func (t *traffic) checkGroups() {
	for _, name := range t.s.names {
		g := t.s.groups[name]
		g.mu.Lock()
		for _, text := range g.violations {
			t.violate("%s", text)
		}
		g.mu.Unlock()
	}
}

// thawSlack is the time after the end of a disruption of the sender or the link in
// which a commit at an old primary is excused.
const thawSlack = 300 * time.Millisecond

// checkAcknowledged finds the acknowledged writes that an old primary committed after
// a promotion had taken effect.
func (t *traffic) checkAcknowledged() {
	for _, it := range t.items {
		g := t.s.groups[it.group]
		g.mu.Lock()
		it.mu.Lock()
		for data, at := range it.acked {
			committed, beside := g.beside[data]
			if !beside || committed.Before(g.calmSince) {
				continue
			}
			t.violate("ONE: %s was committed at the old primary after the promotion, and acknowledged %.0f ms after the link was whole again; rolled back: %t",
				data, float64(at.Sub(g.calmSince.Add(-thawSlack)).Milliseconds()), g.rolledBack[data])
		}
		it.mu.Unlock()
		g.mu.Unlock()
	}
}
