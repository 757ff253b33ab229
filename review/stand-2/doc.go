// Command stand-2 plays the cases of the second review that are scripts. It starts
// the hosted program as processes before stand-ins for the platform's store, the
// cloud API and one database group, and sends requests to them. It uses nothing but
// the standard library.
package main
