// Package platformd is a stand-in for the platform's services: a transactional
// table, an object store and a lagging list of instances, over the protocol of
// docs/PLATFORM.md. Faults are set, and requests are counted, at control paths
// of the same listener.
package platformd
