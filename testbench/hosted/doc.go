// Package hosted is a stand-in for the users' platform, within the process of
// a test: the metadata store, databases that speak the line protocol, and the
// call that promotes them. It is as small as the tests need.
package hosted
