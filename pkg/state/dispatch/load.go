package dispatch

// Running returns the number of units that hold a connection.
func (g *Group) Running() int {
	running := 0
	for _, candidate := range g.upstreams {
		running += candidate.inUse
	}
	return running
}
