//go:build !race

package search_test

// defaultSeeds is the number of schedules that the search runs, ruleOffSeeds
// the largest number with a safety rule off, and gapSeeds the number of
// failovers for each gapCase.
const (
	defaultSeeds = 1500
	ruleOffSeeds = 5000
	gapSeeds     = 40
)
