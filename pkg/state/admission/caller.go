package admission

import (
	"slices"
	"time"
)

// caller is the state of one caller in a queue.
type caller struct {
	key    callerKey
	weight int
	// startTag is the virtual time at which the caller's next unit starts. Each
	// unit advances it by its service time divided by the weight.
	startTag time.Duration
	// connections holds the connections with queued units in the order of their
	// turns.
	connections []*connection
	// queued and running are the numbers of the caller's units.
	queued  int
	running int
}

// connection holds the queued units of one client connection, the oldest first.
type connection struct {
	id    ConnectionID
	units []Unit
}

func (c *caller) enqueue(u Unit) {
	c.queued++
	for _, conn := range c.connections {
		if conn.id == u.Connection {
			conn.units = append(conn.units, u)
			return
		}
	}
	c.connections = append(c.connections, &connection{id: u.Connection, units: []Unit{u}})
}

// dequeue removes and returns the first unit of the first connection, and moves
// that connection to the end.
func (c *caller) dequeue() Unit {
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

// removeNewest removes and returns the newest unit of the connection with the
// most units.
func (c *caller) removeNewest() Unit {
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

// remove removes a queued unit. It reports whether the unit was found.
func (c *caller) remove(id UnitID) bool {
	for i, conn := range c.connections {
		index := slices.IndexFunc(conn.units, func(u Unit) bool { return u.ID == id })
		if index < 0 {
			continue
		}
		conn.units = slices.Delete(conn.units, index, index+1)
		if len(conn.units) == 0 {
			c.connections = slices.Delete(c.connections, i, i+1)
		}
		c.queued--
		return true
	}
	return false
}

// units returns the queued units of all connections.
func (c *caller) units() []Unit {
	var all []Unit
	for _, conn := range c.connections {
		all = append(all, conn.units...)
	}
	return all
}

// removeExpired removes and returns the units whose deadline has passed.
func (c *caller) removeExpired(now time.Duration) []Unit {
	var expired []Unit
	for _, u := range c.units() {
		if now >= u.Deadline {
			c.remove(u.ID)
			expired = append(expired, u)
		}
	}
	return expired
}
