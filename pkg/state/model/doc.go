// Package model holds the plain data types that every layer shares: the names
// of instances, groups and upstreams, log positions, marks, and the head row
// that the platform keeps for a region.
//
// The package has no behaviour beyond comparison and formatting, and depends
// on nothing else in this module.
package model
