// Package imports contains tests of the source code as a whole: that packages
// import only their own or lower layers (see CONTRIBUTING.md), and that every
// event and metric of the catalogues is used.
package imports
