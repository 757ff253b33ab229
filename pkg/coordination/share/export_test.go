package share

// Waiting returns the number of callers that wait for the next request.
func (c *Call[T]) Waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting)
}
