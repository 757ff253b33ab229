// Package model defines the plain data types that all layers share: identifiers
// of instances, groups and upstreams, log positions, marks, and the head row,
// which holds the agreed state of a region in the platform's table.
//
// The package only compares, copies, parses and formats its types. It depends on
// no other package of this module.
package model
