//go:build race

package search_test

// The race detector slows the search down, so it runs fewer schedules.
// defaultSeeds is the number of schedules that the search runs, ruleOffSeeds
// the largest number with a safety rule off, and gapSeeds the number of
// failovers for each gapCase.
const (
	defaultSeeds = 200
	ruleOffSeeds = 2000
	gapSeeds     = 8
)
