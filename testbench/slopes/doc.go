// Package slopes measures what one more instance and one more group cost: it
// runs clusters of several sizes as processes, reads their counters over a
// window, and fits a plane through the points.
package slopes
