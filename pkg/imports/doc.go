// Package imports holds the check of the direction of imports between layers;
// see CONTRIBUTING.md.
package imports
