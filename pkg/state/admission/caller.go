package admission

import (
	"slices"
	"time"
)

// caller is the state of one caller in a queue.
type caller struct {
	key    callerKey
	weight int
	// tag is the virtual time at which the caller's next unit starts.
	tag time.Duration
	// connections holds those with waiting units; the first is next.
	connections []*connection
	queued      int
	running     int
}

type connection struct {
	id    ConnectionID
	units []Unit
}

func (c *caller) add(u Unit) {
	c.queued++
	for _, conn := range c.connections {
		if conn.id == u.Connection {
			conn.units = append(conn.units, u)
			return
		}
	}
	c.connections = append(c.connections, &connection{id: u.Connection, units: []Unit{u}})
}

// take removes the first unit of the first connection, which then goes last.
func (c *caller) take() Unit {
	conn := c.connections[0]
	c.connections = c.connections[1:]
	u := conn.units[0]
	conn.units = conn.units[1:]
	if len(conn.units) > 0 {
		c.connections = append(c.connections, conn)
	}
	c.queued--
	return u
}

// takeNewest removes the newest unit of the connection with most units.
func (c *caller) takeNewest() Unit {
	longest := 0
	for i, conn := range c.connections {
		if len(conn.units) >= len(c.connections[longest].units) {
			longest = i
		}
	}
	conn := c.connections[longest]
	u := conn.units[len(conn.units)-1]
	c.remove(u.ID)
	return u
}

func (c *caller) remove(id UnitID) bool {
	for i, conn := range c.connections {
		at := slices.IndexFunc(conn.units, func(u Unit) bool { return u.ID == id })
		if at < 0 {
			continue
		}
		conn.units = slices.Delete(conn.units, at, at+1)
		if len(conn.units) == 0 {
			c.connections = slices.Delete(c.connections, i, i+1)
		}
		c.queued--
		return true
	}
	return false
}

func (c *caller) units() []Unit {
	var all []Unit
	for _, conn := range c.connections {
		all = append(all, conn.units...)
	}
	return all
}

func (c *caller) takeExpired(now time.Duration) []Unit {
	var expired []Unit
	for _, u := range c.units() {
		if now >= u.Deadline {
			c.remove(u.ID)
			expired = append(expired, u)
		}
	}
	return expired
}
