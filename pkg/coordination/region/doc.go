// Package region runs the control loop of an instance on a platform whose store
// holds the configuration and the list of upstreams. One goroutine follows both
// tables, agrees with the other instances on the primary of each group, and
// publishes a snapshot by which traffic routes statements.
//
// Only one instance of a region, the reader, polls the store; the others query
// the reader. Package control is the counterpart for platforms on which an
// operator publishes the configuration as a bundle.
package region
