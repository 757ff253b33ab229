package platformd

import (
	"strings"
	"sync"
)

// Counts are the numbers of requests since the start, by the key's prefix up
// to its first slash. Requests that were refused are not counted.
type Counts struct {
	Reads  map[string]int `json:"reads"`
	Writes map[string]int `json:"writes"`
	// LostAnswers is the number of commits whose answer was lost.
	LostAnswers int `json:"lost_answers"`
}

type counters struct {
	mu     sync.Mutex
	reads  map[string]int
	writes map[string]int
}

func newCounters() *counters {
	return &counters{reads: make(map[string]int), writes: make(map[string]int)}
}

func prefixOf(key string) string {
	if slash := strings.IndexByte(key, '/'); slash >= 0 {
		return key[:slash+1]
	}
	return key
}

func (c *counters) read(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads[prefixOf(key)]++
}

func (c *counters) write(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes[prefixOf(key)]++
}

func (c *counters) snapshot(lost int) Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{Reads: make(map[string]int), Writes: make(map[string]int), LostAnswers: lost}
	for prefix, count := range c.reads {
		counts.Reads[prefix] = count
	}
	for prefix, count := range c.writes {
		counts.Writes[prefix] = count
	}
	return counts
}
