package main

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// recoveryTime is recovery_s of a small deployment.
const recoveryTime = 12 * time.Second

// drainTime is drain_timeout_ms of a small deployment, and a little longer.
const drainTime = 7500 * time.Millisecond

var errNotSwitched = errors.New("a leaving primary was not replaced in time")

// tally counts the requests of a part of a case.
type tally struct{ sent, served atomic.Int64 }

func (c *tally) share() float64 { return float64(c.served.Load()) / float64(max(c.sent.Load(), 1)) }

// mixedTraffic sends reads and writes on all routes of all services, through all
// instances, and counts them in the tally that is current.
func mixedTraffic(s *System, current *atomic.Pointer[tally], stop chan struct{}) *sync.WaitGroup {
	var clients sync.WaitGroup
	for _, group := range s.names {
		for _, route := range []string{"-p", "-w", "-b"} {
			for _, at := range s.instances {
				clients.Go(func() { mixedClient(group, route, at, current, stop) })
			}
		}
	}
	return &clients
}

func mixedClient(group, route string, at *Instance, current *atomic.Pointer[tally], stop chan struct{}) {
	var c *Client
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		counted := current.Load()
		counted.sent.Add(1)
		if c == nil {
			var err error
			if c, err = dial(at, group+route, "mixed"); err != nil {
				c = nil
				continue
			}
		}
		text := "READ plug"
		if route != "-b" && n%5 == 0 {
			text = fmt.Sprintf("WRITE plug %s.%s.%d", group, at.name, n)
		}
		if reply := c.do(text); reply.ok() {
			counted.served.Add(1)
			continue
		}
		c.close()
		c = nil
	}
}

// restoredAndKilled replaces the primaries as planned work, brings the store back from
// a copy that is some seconds old, and kills all processes, which start again.
// Without trouble the store stays as it is; the rest is the same.
func restoredAndKilled(s *System, trouble bool) ([]string, error) {
	var current atomic.Pointer[tally]
	before, between, after := &tally{}, &tally{}, &tally{}
	current.Store(before)
	stop := make(chan struct{})
	clients := mixedTraffic(s, &current, stop)
	time.Sleep(4 * time.Second)
	for _, name := range s.names {
		if err := s.groups[name].addReplica(zones[0]); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	copied := s.store.Copy()
	var leaving []*Database
	for _, name := range s.names {
		old := s.groups[name].Leader()
		old.setDraining()
		leaving = append(leaving, old)
	}
	left := time.Now().Add(drainTime)
	time.Sleep(3500 * time.Millisecond)
	for _, name := range s.names {
		if leader := s.groups[name].Leader(); leader == nil || leader.draining {
			return nil, errNotSwitched
		}
	}
	if trouble {
		s.rec.Logf("store", "goes away")
		s.store.SetAway(true)
		time.Sleep(time.Second)
		s.store.Restore(copied)
		s.store.SetAway(false)
		s.rec.Logf("store", "is back")
	}
	time.Sleep(time.Until(left))
	for _, old := range leaving {
		old.leave()
	}
	time.Sleep(4 * time.Second)
	current.Store(between)
	// The final fault: all processes are killed.
	for _, i := range s.instances {
		i.signal(syscall.SIGKILL)
	}
	for _, i := range s.instances {
		i.wait(5 * time.Second)
	}
	time.Sleep(700 * time.Millisecond)
	for _, i := range s.instances {
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(recoveryTime)
	current.Store(after)
	time.Sleep(30 * time.Second)
	close(stop)
	clients.Wait()
	s.rec.Logf("check", "served before the final fault: %d of %d; in the %v after it: %d of %d; in the 30 s after that: %d of %d",
		before.served.Load(), before.sent.Load(), recoveryTime, between.served.Load(), between.sent.Load(), after.served.Load(), after.sent.Load())
	var broken []string
	for _, name := range s.names {
		g := s.groups[name]
		g.mu.Lock()
		broken = append(broken, g.violations...)
		g.mu.Unlock()
	}
	if before.share() >= 0.25 && after.share() < 0.25 {
		broken = append(broken, fmt.Sprintf("RECOVER: from %v after the processes are back, %d of %d requests are served in 30 s; before the final fault %d of %d were",
			recoveryTime, after.served.Load(), after.sent.Load(), before.served.Load(), before.sent.Load()))
	}
	return broken, nil
}
