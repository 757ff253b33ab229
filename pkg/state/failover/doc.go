// Package failover decides who may write to a group, and replaces a primary
// that failed. It is deterministic: an event and the time go in, actions come
// out.
package failover
