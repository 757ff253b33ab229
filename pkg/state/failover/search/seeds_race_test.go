//go:build race

package search_test

// The race detector slows the search down, so it runs fewer schedules.
// defaultSeeds is the number of schedules, offSeeds bounds those with a rule
// off, gapSeeds is the number of failovers for each case.
const (
	defaultSeeds = 200
	offSeeds     = 2000
	gapSeeds     = 8
)
