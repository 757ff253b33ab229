package main

import (
	"syscall"
	"time"
)

// restoredStore replaces a crashed primary, brings the store back from a copy that
// is some seconds old, and then stops and starts the machines in turn.
func restoredStore(s *System, trouble bool) ([]string, error) {
	t := newTraffic(s)
	it := &item{group: "alpha", name: "plug"}
	t.write(it, 0)
	for _, at := range s.instances {
		t.read(it, at)
	}
	g := s.groups["alpha"]
	pause := func(d time.Duration) { time.Sleep(d) }
	pause(5 * time.Second)
	before := s.store.Copy()
	if trouble {
		g.databases[0].crash()
	}
	pause(2500 * time.Millisecond)
	if trouble {
		if err := g.databases[0].start(); err != nil {
			return nil, err
		}
	}
	pause(time.Second)
	if trouble {
		s.rec.Logf("store", "goes away")
		s.store.SetAway(true)
		pause(time.Second)
		s.store.Restore(before)
		s.store.SetAway(false)
		s.rec.Logf("store", "is back")
	}
	pause(6 * time.Second)
	if trouble {
		for _, i := range s.instances {
			i.signal(syscall.SIGTERM)
			if !i.wait(6 * time.Second) {
				i.signal(syscall.SIGKILL)
				i.wait(5 * time.Second)
			}
			pause(500 * time.Millisecond)
			if err := i.start(); err != nil {
				return nil, err
			}
			pause(4 * time.Second)
		}
	}
	pause(8 * time.Second)
	t.end()
	s.rec.Logf("check", "%d writes acknowledged, %d refused or lost, the newest %.1f s ago; reads %v",
		it.acks.Load(), it.refused.Load(), time.Since(time.Unix(0, it.lastAck.Load())).Seconds(), t.reads)
	t.checkGroups()
	return t.broken, nil
}
