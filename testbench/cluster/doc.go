// Package cluster runs the stand-ins and instances of gypsumdock as processes
// on loopback addresses, with fault-injecting proxies between them.
package cluster
