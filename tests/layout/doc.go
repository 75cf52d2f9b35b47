// Package layout tests the structure of the source tree: which packages may
// import which, and where names of the platform may appear.
package layout
