package main

import (
	"fmt"
	"syscall"
	"time"
)

// restoredAndDark replaces a primary that has gone dark, brings the store back from
// a copy that is some seconds old, and kills the process of one machine. Then the old
// primary is reached again. It is the primary until a second after it reaches the new
// one.
func restoredAndDark(s *System, trouble bool) ([]string, error) {
	t := newTraffic(s)
	g := s.groups["alpha"]
	var items []*item
	for n, at := range s.instances {
		it := &item{group: "alpha", name: fmt.Sprintf("plug%d", n+1)}
		items = append(items, it)
		t.writeAt(it, at)
	}
	old := g.databases[0]
	time.Sleep(5 * time.Second)
	before := s.store.Copy()
	if trouble {
		old.setDark(true)
	}
	darkUntil := time.Now().Add(7 * time.Second)
	time.Sleep(2500 * time.Millisecond)
	if trouble {
		s.rec.Logf("store", "goes away")
		s.store.SetAway(true)
		time.Sleep(time.Second)
		s.store.Restore(before)
		s.store.SetAway(false)
		s.rec.Logf("store", "is back")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		i := s.instances[0]
		i.signal(syscall.SIGKILL)
		i.wait(5 * time.Second)
		time.Sleep(300 * time.Millisecond)
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(darkUntil))
	if trouble {
		old.setDark(false)
	}
	time.Sleep(10 * time.Second)
	t.end()
	for _, it := range items {
		s.rec.Logf("check", "%s: %d writes acknowledged, %d refused or lost, the newest %.1f s ago",
			it.name, it.acks.Load(), it.refused.Load(), time.Since(time.Unix(0, it.lastAck.Load())).Seconds())
	}
	t.checkGroups()
	t.checkAcknowledged()
	return t.broken, nil
}
