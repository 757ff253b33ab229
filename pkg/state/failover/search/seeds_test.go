//go:build !race

package search_test

// defaultSeeds is the number of schedules, offSeeds bounds those with a rule
// off, gapSeeds is the number of failovers for each case.
const (
	defaultSeeds = 1500
	offSeeds     = 5000
	gapSeeds     = 40
)
