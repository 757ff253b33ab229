// Package region holds the control state of an instance on a platform that
// keeps the configuration and the list of upstreams: one goroutine follows
// both, agrees with the other instances on the primary of each group, and
// publishes a snapshot for the path of statements.
package region
