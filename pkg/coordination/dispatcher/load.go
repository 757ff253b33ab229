package dispatcher

import "gypsumdock/pkg/state/model"

// Load returns the number of units of a group that hold a connection, and of
// those in the queue.
func (d *Dispatcher) Load(id model.GroupID) (running, waiting int) {
	g := d.group(id)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.decisions.Running(), g.decisions.Waiting()
}
