// Package imports holds the checks of the code as a whole: the direction of
// imports between layers (see CONTRIBUTING.md), and that the catalogues of
// events and metrics hold nothing that no code writes.
package imports
