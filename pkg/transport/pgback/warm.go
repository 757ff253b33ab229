package pgback

import "context"

// warmer opens connections ahead of need, one at a time.
type warmer struct {
	// want is what the pool was last asked for.
	want    origin
	running bool
}

// note records what the pool is asked for, unless it is older than what is known.
func (w *warmer) note(want origin) {
	if want.generation >= w.want.generation {
		w.want = want
	}
}

// keepWarm starts the warmer when fewer connections are idle than wanted.
func (p *pool) keepWarm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.warm.running || !p.isCold() {
		return
	}
	p.warm.running = true
	go p.runWarmer()
}

// isCold reports whether another connection should be opened ahead of need.
func (p *pool) isCold() bool {
	hasRoom := p.open < p.limit && !p.closed
	return hasRoom && p.warm.want.upstream != nil && len(p.idle) < p.minIdle
}

func (p *pool) runWarmer() {
	for p.warmOne() {
	}
}

// warmOne opens a connection and reports whether to go on. After a failure the
// next use of the pool starts the warmer again.
func (p *pool) warmOne() bool {
	p.mu.Lock()
	if !p.isCold() {
		p.warm.running = false
		p.mu.Unlock()
		return false
	}
	p.open++
	want := p.warm.want
	p.mu.Unlock()
	c, err := p.dial(context.Background(), want)
	if err != nil {
		p.mu.Lock()
		p.warm.running = false
		p.mu.Unlock()
		return false
	}
	p.put(c)
	return true
}
