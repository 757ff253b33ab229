//go:build !race

package search_test

// defaultSeeds is the number of schedules; offSeeds bounds those with a rule off.
const (
	defaultSeeds = 3000
	offSeeds     = 20000
)
